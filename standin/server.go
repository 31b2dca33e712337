package standin

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/sycamoreline/sycamoreline/membership"
)

// Backend is a stand-in for a backend server.
type Backend interface {
	http.Handler
	Faults() *FaultInjector
	Announcement() membership.Announcement
}

// Server serves a stand-in over HTTP and announces it.
type Server struct {
	http      *http.Server
	announcer *Announcer
	served    chan struct{}

	mu          sync.Mutex
	connections map[net.Conn]struct{}
}

// Start serves b on l and announces it to the entry hosts in the settings. The
// server takes ownership of l. If the settings have no address, it announces
// the address of l.
func Start(l net.Listener, b Backend, s Settings, opts ...AnnouncerOption) *Server {
	v := &Server{served: make(chan struct{}), connections: map[net.Conn]struct{}{}}
	v.http = &http.Server{Handler: b, ConnState: v.trackConnection}
	b.Faults().OnCrash(v.closeConnections)
	go func() {
		defer close(v.served)
		_ = v.http.Serve(l)
	}()
	announcement := func() membership.Announcement {
		m := b.Announcement()
		if s.Address == "" {
			m.Address = l.Addr().String()
		}
		return m
	}
	opts = append([]AnnouncerOption{WithPause(b.Faults().Frozen)}, opts...)
	v.announcer = NewAnnouncer(s.EntryHosts, s.Renewal(), announcement, opts...)
	return v
}

// Close announces that the server is leaving and waits for the requests in
// progress. When ctx ends, it closes the connections of the remaining requests.
func (v *Server) Close(ctx context.Context) error {
	v.announcer.Close()
	err := v.http.Shutdown(ctx)
	if err != nil {
		_ = v.http.Close()
	}
	<-v.served
	return err
}

func (v *Server) trackConnection(c net.Conn, state http.ConnState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch state {
	case http.StateNew:
		v.connections[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(v.connections, c)
	}
}

func (v *Server) closeConnections() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for c := range v.connections {
		_ = c.Close()
	}
}
