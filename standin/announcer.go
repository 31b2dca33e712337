// Package standin contains what the stand-ins (simulated backend servers)
// share: announcement to entry hosts, fault injection, and an HTTP server with
// both. The protocols are in the packages of the stand-ins, such as engine and
// service. Start reading at the function Start.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/membership"
)

// leaveTimeout bounds the final announcement, which reports that the server is
// leaving.
const leaveTimeout = 2 * time.Second

// Announcer sends the announcement of a backend server to entry hosts at
// regular intervals.
type Announcer struct {
	announcement func() membership.Announcement
	interval     time.Duration
	paused       func() bool
	onError      func(host string, err error)
	transport    *http.Transport
	stop         chan struct{}
	wg           sync.WaitGroup
}

// AnnouncerOption configures an Announcer.
type AnnouncerOption func(*Announcer)

// WithAnnounceDial sets the function that opens connections. The default dials
// TCP.
func WithAnnounceDial(d backend.Dial) AnnouncerOption {
	return func(a *Announcer) { a.transport = backend.NewTransport(d) }
}

// WithPause skips the periodic announcements while paused returns true. The
// final announcement is always sent.
func WithPause(paused func() bool) AnnouncerOption {
	return func(a *Announcer) { a.paused = paused }
}

// WithAnnounceErrors sets a callback for announcements that fail or that an
// entry host rejects.
func WithAnnounceErrors(report func(host string, err error)) AnnouncerOption {
	return func(a *Announcer) { a.onError = report }
}

// NewAnnouncer starts posting the announcement to every entry host (host:port),
// immediately and then once per interval.
func NewAnnouncer(hosts []string, interval time.Duration, announcement func() membership.Announcement, opts ...AnnouncerOption) *Announcer {
	a := &Announcer{
		announcement: announcement,
		interval:     interval,
		paused:       func() bool { return false },
		onError:      func(string, error) {},
		transport:    backend.NewTransport(nil),
		stop:         make(chan struct{}),
	}
	for _, o := range opts {
		o(a)
	}
	for _, h := range hosts {
		a.wg.Go(func() { a.run(h) })
	}
	return a
}

// Close announces to every entry host that the server is leaving, and waits for
// the responses, at most leaveTimeout after the announcements in progress.
func (a *Announcer) Close() {
	close(a.stop)
	a.wg.Wait()
	a.transport.CloseIdleConnections()
}

func (a *Announcer) run(host string) {
	ticker := time.NewTicker(a.interval)
	defer ticker.Stop()
	for {
		if !a.paused() {
			a.post(host, a.announcement(), a.interval)
		}
		select {
		case <-ticker.C:
		case <-a.stop:
			leaving := a.announcement()
			leaving.Leaving = true
			a.post(host, leaving, leaveTimeout)
			return
		}
	}
}

func (a *Announcer) post(host string, m membership.Announcement, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := a.send(ctx, host, m); err != nil {
		a.onError(host, err)
	}
}

func (a *Announcer) send(ctx context.Context, host string, m membership.Announcement) error {
	body, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/v1/servers", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("entry host %q: %w", host, err)
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := backend.Do(a.transport, r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return backend.ResponseError(resp)
	}
	return nil
}
