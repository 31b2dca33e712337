package main

import (
	"encoding/json"
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
	crowdMemoryMB = 48
	// crowdSize is the number of connections of a crowd to each port.
	crowdSize = 300
	// maxCrowdDescriptors is above the number of connections that fit into the
	// account of the test's settings, and below the size of the crowd.
	maxCrowdDescriptors = 500
	crowdWait           = 5 * time.Second
)

// crowd is a number of connections that send the same.
type crowd struct {
	name  string
	start string
	rest  string // sent again and again after start
	bytes int    // length of all
}

var crowds = []crowd{
	{"short fields", "GET / HTTP/1.1\r\nHost: a\r\n", "a: b\r\n", 66_000},
	{"various short fields", "GET / HTTP/1.1\r\nHost: a\r\n", shortFields(), 66_000},
	{"one long field", "GET / HTTP/1.1\r\nHost: ", "a", 100_000},
	{"empty lines", "", "\r\n", 66_000},
	{"part of a head", "GET / HTTP/1.1\r\nHost: ", "a", 15 << 10},
	{"chunk extensions", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a", 100_000},
	{"trailers", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n", 100_000},
	{"kept", getRequest, "", 0},
	{"nothing", "", "", 0},
}

// shortFields returns header fields with different names.
func shortFields() string {
	var b strings.Builder
	for i := range 8000 {
		fmt.Fprintf(&b, "%s:\r\n", strconv.FormatInt(int64(i), 36))
	}
	return b.String()
}

// join sends the crowd's bytes on connections to an address, and keeps those open
// that the process does not close.
func (c *crowd) join(t *testing.T, address string) []net.Conn {
	text := c.start
	if c.rest != "" {
		text += strings.Repeat(c.rest, 1+c.bytes/len(c.rest))[:c.bytes-len(c.start)]
	}
	opened := make([]net.Conn, crowdSize)
	var wg sync.WaitGroup
	for i := range opened {
		wg.Go(func() {
			nc, err := (&net.Dialer{Timeout: crowdWait}).DialContext(t.Context(), "tcp", address)
			if err != nil {
				return // the process may refuse it
			}
			opened[i] = nc
			_ = nc.SetDeadline(time.Now().Add(crowdWait))
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
func (p *process) memoryMB(t *testing.T) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	assert.NilError(t, err)
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	fields := strings.Fields(rest)
	assert.Assert(t, len(fields) > 0, "the process has ended; messages: %q", p.receivedMessages())
	n, err := strconv.Atoi(fields[0])
	assert.NilError(t, err)
	return n >> 10
}

func (p *process) descriptors(t *testing.T) int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	assert.NilError(t, err)
	return len(list)
}

// awaitCalm waits until the process has read what has arrived: it uses no processor
// time.
func (p *process) awaitCalm(t *testing.T) {
	used := func() string {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
		assert.NilError(t, err)
		fields := strings.Fields(string(data))
		return strings.Join(fields[13:15], " ")
	}
	for calm, last := 0, used(); calm < 5; {
		assert.Assert(t, pause.For(t.Context(), 50*time.Millisecond))
		now := used()
		if calm++; now != last {
			calm, last = 0, now
		}
	}
}

// Guards against callers that fill the memory of a process, or use up its
// descriptors, without a request that is accepted.
func TestCrowdsAreBounded(t *testing.T) {
	roles := []struct {
		role  string
		ports []int
	}{
		{"entry", []int{testCallersPort, testHealthPort, testMetricsPort}},
		{"control", []int{testControlPort, testMetricsPort, testPeerPort}},
	}
	for i, r := range roles {
		for j := range crowds {
			c := &crowds[j]
			t.Run(r.role+" "+c.name, func(t *testing.T) {
				p := newProcess(t, r.role, fmt.Sprintf("127.48.%d.%d", 2+i, 1+j))
				var settings map[string]any
				assert.NilError(t, json.Unmarshal(p.settings(t), &settings))
				settings["memory-mb"], settings["connection-memory-mb"] = crowdMemoryMB, 4
				data, err := json.Marshal(settings)
				assert.NilError(t, err)
				assert.NilError(t, os.WriteFile(p.settingsPath, data, 0o600))
				p.start(t)
				for _, port := range r.ports {
					p.connect(t, port)
				}
				var crowds [][]net.Conn
				for _, port := range r.ports {
					crowds = append(crowds, c.join(t, p.address(port)))
				}
				p.awaitCalm(t)
				descriptors, memory := p.descriptors(t), p.memoryMB(t)
				t.Logf("%d MB, %d descriptors", memory, descriptors)
				assert.Check(t, descriptors < maxCrowdDescriptors, "%d descriptors", descriptors)
				for _, opened := range crowds {
					for _, nc := range opened {
						if nc != nil {
							nc.Close()
						}
					}
				}
				assert.Check(t, memory < crowdMemoryMB, "%d MB", memory)
				for _, port := range r.ports {
					if port != testPeerPort {
						p.awaitAnswer(t, port)
					}
				}
			})
		}
	}
}

// awaitAnswer waits until an ordinary request is answered.
func (p *process) awaitAnswer(t *testing.T, port int) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: crowdWait}
	var err error
	for range 5 {
		r, requestErr := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+p.address(port)+"/", nil)
		assert.NilError(t, requestErr)
		var resp *http.Response
		if resp, err = client.Do(r); err == nil {
			resp.Body.Close()
			return
		}
	}
	t.Errorf("port %d does not answer: %v", port, err)
}
