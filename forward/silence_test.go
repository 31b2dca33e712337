package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// silence is longer than the idle timeout of the tests' routes and leaves enough
// of their timeout to complete the answer.
const silence = minIdleTimeout + 300*time.Millisecond

// silentStream answers with a stream of four events and is silent before the
// event at, or before the response head if at is 0. It resumes streams.
func silentStream(at int) func(int, *http.Request, io.Writer) bool {
	return func(_ int, r *http.Request, w io.Writer) bool {
		from := 1
		if last := r.Header.Get("Last"); last != "" {
			if _, err := fmt.Sscan(last, &from); err != nil {
				return false
			}
			from++
		}
		if at == 0 {
			time.Sleep(silence) // the silence of the server
		}
		head := &strings.Builder{}
		streamEvents(head, r.Header.Get("Id"), 1, 0, false)
		if _, err := io.WriteString(w, head.String()); err != nil {
			return false
		}
		for i := from; i <= 4; i++ {
			if i == at {
				time.Sleep(silence) // the silence of the server
			}
			e := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
			if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e); err != nil {
				return false
			}
		}
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err == nil
	}
}

// Guards against a stream that fails because its server is silent for a while,
// although the server goes on and no other server could.
func TestServeStreamOutlastsSilentServer(t *testing.T) {
	tests := []struct {
		name        string
		maxAttempts int
		servers     int // all of them silent
		silentAt    int
		requests    int // that all servers receive
	}{
		{"one attempt, before the head", 1, 2, 0, 1},
		{"one attempt, before the first event", 1, 2, 1, 1},
		{"one attempt, between events", 1, 2, 3, 1},
		{"two attempts, one server", 2, 1, 3, 1},
		{"last attempt, before the head", 2, 2, 0, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var servers []*server
			for range tt.servers {
				servers = append(servers, startServer(t, silentStream(tt.silentAt)))
			}
			f := newFixture(t, servers...)
			c := f.call("s", &route.Route{Name: "s", Kind: route.Stream, MaxAttempts: tt.maxAttempts, Resumable: true})
			c.Route.Timeout = 2*silence + time.Second
			rec, aborted, err := f.serve(c)
			assert.NilError(t, err)
			assert.Assert(t, !aborted)
			assert.Equal(t, rec.Body.String(), "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n")
			requests := 0
			for _, s := range servers {
				requests += s.requests()
			}
			assert.Equal(t, requests, tt.requests)
		})
	}
}

// Guards against a stream that waits for a silent server although another one can
// resume it.
func TestServeStreamLeavesSilentServer(t *testing.T) {
	for _, at := range []int{0, 3} {
		t.Run(fmt.Sprint("silent before event ", at), func(t *testing.T) {
			t.Parallel()
			stop := make(chan struct{})
			t.Cleanup(func() { close(stop) })
			first := startServer(t, func(_ int, r *http.Request, w io.Writer) bool {
				if at > 0 {
					streamEvents(w, r.Header.Get("Id"), 1, at-1, false)
				}
				<-stop
				return false
			})
			f := newFixture(t, first)
			c := f.call("s", &route.Route{Name: "s", Kind: route.Stream, MaxAttempts: 2, Resumable: true})
			second := startServer(t, silentStream(-1))
			time.AfterFunc(minIdleTimeout/2, func() { f.setServers(first, second) })
			rec, aborted, err := f.serve(c)
			assert.NilError(t, err)
			assert.Assert(t, !aborted)
			assert.Equal(t, strings.Count(rec.Body.String(), "data:"), 4)
			assert.Equal(t, first.requests(), 1)
			assert.Equal(t, second.requests(), 1)
		})
	}
}

// startSilentServer starts a server that accepts no connection. The kernel
// completes the first one and drops later attempts to connect.
func startSilentServer(t *testing.T) *server {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	assert.NilError(t, err)
	assert.NilError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, syscall.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "silent server")
	defer file.Close()
	l, err := net.FileListener(file)
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	return &server{listener: l}
}

// Guards against a stream that reaches more servers than its route allows,
// because a server that is silent towards new connections too counts as ended.
func TestServeStreamCountsSilentServers(t *testing.T) {
	t.Parallel()
	servers := []*server{startSilentServer(t), startSilentServer(t), startSilentServer(t)}
	f := newFixture(t, servers...)
	c := f.call("s", &route.Route{Name: "s", Kind: route.Stream, MaxAttempts: 2, Resumable: true})
	c.Route.Timeout = 2*minIdleTimeout + 4*probeTimeout
	_, _, err := f.serve(c)
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	connections := 0
	for _, s := range servers {
		l := s.listener.(*net.TCPListener)
		assert.NilError(t, l.SetDeadline(time.Now().Add(100*time.Millisecond)))
		if c, err := l.Accept(); err == nil {
			connections++
			c.Close()
		}
	}
	assert.Equal(t, connections, 2)
}
