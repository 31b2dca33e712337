package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/membership"
)

// Guards against a frozen server that handles requests, and against one that
// stays frozen after the fault is cleared.
func TestFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewFaultInjector(Faults{Freeze: true})
		served := false
		h := s.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served = true }), false)
		go h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil))
		synctest.Wait()
		assert.Assert(t, !served && s.Frozen())
		s.Set(Faults{})
		synctest.Wait()
		assert.Assert(t, served)
	})
}

// Guards against a slow factor without effect.
func TestSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewFaultInjector(Faults{Slow: 5})
		start := time.Now()
		assert.NilError(t, s.Wait(t.Context(), time.Second))
		assert.Equal(t, time.Since(start), 5*time.Second) // virtual time
	})
}

// Guards against fault switches that callers can reach where they are not
// enabled, and against misspelt field names that are ignored.
func TestFaultSwitchesOverHTTP(t *testing.T) {
	s := NewFaultInjector(Faults{})
	tests := []struct {
		admin  bool
		method string
		body   string
		status int
		want   string
	}{
		{false, http.MethodPut, `{"slow":5}`, http.StatusNotFound, "not found"},
		{true, http.MethodPut, `{"slow":5}`, http.StatusOK, `{"slow":5}`},
		{true, http.MethodGet, "", http.StatusOK, `{"slow":5}`},
		{true, http.MethodPut, `{"slow":-5}`, http.StatusBadRequest, `field "slow": -5: want 0 or more`},
		{true, http.MethodPost, `{"slwo":5}`, http.StatusBadRequest, `unknown field "slwo"`},
		{true, http.MethodDelete, "", http.StatusMethodNotAllowed, "want GET, PUT or POST"},
	}
	for _, tt := range tests {
		w := httptest.NewRecorder()
		r := httptest.NewRequestWithContext(t.Context(), tt.method, FaultsPath, strings.NewReader(tt.body))
		s.Wrap(http.NotFoundHandler(), tt.admin).ServeHTTP(w, r)
		assert.Equal(t, w.Code, tt.status)
		assert.Assert(t, strings.Contains(w.Body.String(), tt.want), w.Body.String())
	}
	assert.Equal(t, s.Faults().Slow, 5.0)
}

type testBackend struct {
	http.Handler
	faults *FaultInjector
}

func (b testBackend) Faults() *FaultInjector { return b.faults }

func (b testBackend) Announcement() membership.Announcement {
	return membership.Announcement{Server: "b-1"}
}

// Guards against a crash that leaves idle connections open, and against a
// shutdown that interrupts a request in progress.
func TestServer(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	handling, proceed := make(chan struct{}), make(chan struct{})
	b := testBackend{faults: NewFaultInjector(Faults{}), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			close(handling)
			<-proceed
		}
		_, _ = io.WriteString(w, "ok")
	})}
	s := Start(l, b, Settings{RenewalMilliseconds: 1000})

	var d net.Dialer
	idle, err := d.DialContext(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	defer idle.Close()
	_, err = io.WriteString(idle, "GET / HTTP/1.1\r\nHost: b\r\n\r\n")
	assert.NilError(t, err)
	_, err = io.ReadAtLeast(idle, make([]byte, 4096), len("HTTP/1.1 200 OK"))
	assert.NilError(t, err)
	b.faults.Crash()
	_, _ = io.Copy(io.Discard, idle) // returns once the connection is closed

	body := make(chan string)
	go func() {
		r, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+l.Addr().String()+"/wait", nil)
		r.Close = true
		resp, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			body <- err.Error()
			return
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		body <- string(text)
	}()
	<-handling
	closed := make(chan error)
	go func() { closed <- s.Close(context.Background()) }()
	for refused := 0; refused < 100; { // after 100 refusals, a shutdown that interrupts requests would have done so
		c, err := d.DialContext(t.Context(), "tcp", l.Addr().String())
		if err != nil {
			refused++
			continue
		}
		c.Close()
	}
	close(proceed)
	assert.Equal(t, <-body, "ok")
	assert.NilError(t, <-closed)
}
