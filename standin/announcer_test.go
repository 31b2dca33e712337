package standin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/membership"
)

// Guards against a server that is not announced repeatedly, and against one
// that continues to receive calls because it ends without announcing that it is
// leaving.
func TestAnnouncerRenewsAndLeaves(t *testing.T) {
	received := make(chan membership.Announcement)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var m membership.Announcement
		if r.URL.Path != "/v1/servers" || json.NewDecoder(r.Body).Decode(&m) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		received <- m
	}))
	defer s.Close()
	a := NewAnnouncer([]string{s.Listener.Addr().String()}, time.Second/10,
		func() membership.Announcement { return membership.Announcement{Server: "e-1"} })
	for range 2 {
		assert.DeepEqual(t, <-received, membership.Announcement{Server: "e-1"})
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		a.Close()
	}()
	for m := range received {
		if m.Leaving {
			break
		}
	}
	<-closed
}
