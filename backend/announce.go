package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	// PathAnnounce is the path on entry hosts to which backend servers post
	// their announcements.
	PathAnnounce = "/v1/servers"

	maxAnnouncementBytes = 1 << 20
	announceTimeout      = 5 * time.Second
)

// Registrar records an announcement and returns the time within which the
// server must renew it.
type Registrar interface {
	Announce(ctx context.Context, a membership.Announcement) (time.Duration, error)
}

// AnnounceHandler returns a handler that records announcements of backend
// servers with the registrar.
func AnnounceHandler(registrar Registrar) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, err := readAnnouncement(w, r)
		if err != nil {
			verdict.New(verdict.NotRun, verdict.BadRequest, "announcement", verdict.WithCause(err)).Write(w)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), announceTimeout)
		defer cancel()
		ttl, err := registrar.Announce(ctx, a)
		if err != nil {
			verdict.From(err).Write(w)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(struct {
			RenewWithin int64 `json:"renew-within-milliseconds"`
		}{ttl.Milliseconds()})
	})
}

func readAnnouncement(w http.ResponseWriter, r *http.Request) (membership.Announcement, error) {
	var a membership.Announcement
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return a, err
	}
	return a, checkAnnouncement(a)
}

func checkAnnouncement(a membership.Announcement) error {
	switch {
	case a.Server == "":
		return fmt.Errorf("server: empty, want the server's id")
	case a.Incarnation == "":
		return fmt.Errorf("incarnation: empty, want a value that differs for each process")
	case a.Kind != membership.Engine && a.Kind != membership.Service:
		return fmt.Errorf("kind: %q, want %q or %q", a.Kind, membership.Engine, membership.Service)
	case a.Kind == membership.Engine && len(a.Models) == 0:
		return fmt.Errorf("models: empty, want at least one model")
	case a.Kind == membership.Service && a.ServiceName == "":
		return fmt.Errorf("service: empty, want the service's name")
	case a.Slots <= 0:
		return fmt.Errorf("slots: %d, want at least 1", a.Slots)
	case a.CacheTokens < 0:
		return fmt.Errorf("cache-tokens: %d, want at least 0", a.CacheTokens)
	}
	if _, _, err := net.SplitHostPort(a.Address); err != nil {
		return fmt.Errorf("address: %q, want host:port", a.Address)
	}
	return nil
}
