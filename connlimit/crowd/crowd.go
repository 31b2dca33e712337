// Package crowd has crowds of connections for tests of the limits on what
// connections hold. Start reading at Crowd.
package crowd

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/pause"
)

const (
	// Size is the number of connections of a crowd to each port.
	Size = 300
	wait = 5 * time.Second
	// calmPolls polls at pollInterval without use of processor time make a process
	// calm.
	calmPolls    = 5
	pollInterval = 50 * time.Millisecond
	// answerAttempts is the number of times that an ordinary request is sent.
	answerAttempts = 100
)

// Crowd is a number of connections that send the same.
type Crowd struct {
	Name  string
	start string
	rest  string // sent again and again after start
	bytes int    // length of all
}

// All returns the crowds.
func All() []Crowd {
	return []Crowd{
		{"short fields", "GET / HTTP/1.1\r\nHost: a\r\n", "a: b\r\n", 66_000},
		{"various short fields", "GET / HTTP/1.1\r\nHost: a\r\n", shortFields(), 66_000},
		{"one long field", "GET / HTTP/1.1\r\nHost: ", "a", 100_000},
		{"empty lines", "", "\r\n", 66_000},
		{"part of a head", "GET / HTTP/1.1\r\nHost: ", "a", 15 << 10},
		{"chunk extensions", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a", 100_000},
		{"trailers", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n", 100_000},
		{"bodies", "PUT /config HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n", "a", 500_000},
		{"kept", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "", 0},
		{"nothing", "", "", 0},
	}
}

// shortFields returns header fields with different names.
func shortFields() string {
	var b strings.Builder
	for i := range 8000 {
		fmt.Fprintf(&b, "%s:\r\n", strconv.FormatInt(int64(i), 36))
	}
	return b.String()
}

// Process is a process that a crowd meets.
type Process struct {
	PID int
	TLS *tls.Config // nil without TLS
}

func (p Process) dial(ctx context.Context, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: wait}
	if p.TLS == nil {
		return d.DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{NetDialer: d, Config: p.TLS}).DialContext(ctx, "tcp", address)
}

// Bound are the limits that a process must keep.
type Bound struct{ MemoryMB, Descriptors int }

// Meet sends a crowd to addresses, checks the bounds of the process, ends the crowd
// and checks that an ordinary request is answered at the addresses in answering.
func (p Process) Meet(t *testing.T, c Crowd, addresses, answering []string, bound Bound) {
	t.Helper()
	var opened []net.Conn
	for _, a := range addresses {
		opened = append(opened, p.join(t, &c, a)...)
	}
	p.awaitCalm(t)
	descriptors, memory := p.descriptors(t), p.memoryMB(t)
	for _, nc := range opened {
		if nc != nil {
			nc.Close()
		}
	}
	t.Logf("%d MB, %d descriptors", memory, descriptors)
	assert.Check(t, descriptors < bound.Descriptors, "%d descriptors", descriptors)
	assert.Check(t, memory < bound.MemoryMB, "%d MB", memory)
	for _, a := range answering {
		p.awaitAnswer(t, a)
	}
}

// join sends the crowd's bytes on connections to an address, and keeps those open
// that the process does not close.
func (p Process) join(t *testing.T, c *Crowd, address string) []net.Conn {
	text := c.start
	if c.rest != "" {
		text += strings.Repeat(c.rest, 1+c.bytes/len(c.rest))[:c.bytes-len(c.start)]
	}
	opened := make([]net.Conn, Size)
	var wg sync.WaitGroup
	for i := range opened {
		wg.Go(func() {
			nc, err := p.dial(t.Context(), address)
			if err != nil {
				return // the process may refuse it
			}
			opened[i] = nc
			_ = nc.SetDeadline(time.Now().Add(wait))
			_, _ = io.WriteString(nc, text) // the process may close it
			if c.rest == "" && text != "" {
				_, _ = nc.Read(make([]byte, 1))
			}
		})
	}
	wg.Wait()
	return opened
}

// memoryMB returns the largest resident memory that the process has had.
func (p Process) memoryMB(t *testing.T) int {
	_, rest, _ := strings.Cut(p.read(t, "status"), "VmHWM:")
	fields := strings.Fields(rest)
	assert.Assert(t, len(fields) > 0, "the process has ended")
	n, err := strconv.Atoi(fields[0])
	assert.NilError(t, err)
	return n >> 10
}

func (p Process) read(t *testing.T, file string) string {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.PID, file))
	assert.NilError(t, err)
	return string(data)
}

func (p Process) descriptors(t *testing.T) int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID))
	assert.NilError(t, err)
	return len(list)
}

// awaitCalm waits until the process has read what has arrived: it uses hardly any
// processor time.
func (p Process) awaitCalm(t *testing.T) {
	used := func() int {
		fields := strings.Fields(p.read(t, "stat"))
		user, err := strconv.Atoi(fields[13])
		assert.NilError(t, err)
		system, err := strconv.Atoi(fields[14])
		assert.NilError(t, err)
		return user + system
	}
	for calm, last := 0, used(); calm < calmPolls; calm++ {
		assert.Assert(t, pause.For(t.Context(), pollInterval))
		if now := used(); now > last+1 { // heartbeats use some
			calm, last = 0, now
		} else {
			last = now
		}
	}
}

// awaitAnswer waits until an ordinary request is answered.
func (p Process) awaitAnswer(t *testing.T, address string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: p.TLS}, Timeout: wait}
	scheme := "http://"
	if p.TLS != nil {
		scheme = "https://"
	}
	var err error
	for range answerAttempts {
		assert.Assert(t, pause.For(t.Context(), pollInterval)) // the process learns of the crowd's end
		r, requestErr := http.NewRequestWithContext(t.Context(), http.MethodGet, scheme+address+"/", nil)
		assert.NilError(t, requestErr)
		var resp *http.Response
		if resp, err = client.Do(r); err == nil {
			resp.Body.Close()
			return
		}
	}
	t.Errorf("%s does not answer: %v", address, err)
}
