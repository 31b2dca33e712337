package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a backend server. It runs a number of requests at a time, queues a few
// more and rejects the others.
type server struct {
	run     *run
	id      string
	service string
	address string
	born    int64
	slots   int
	queue   int
	work    time.Duration
	// extra reports whether an answer is sent a second time, late: when the next
	// request comes on its connection.
	extra func(s *server, status int) bool
	// stream writes the answer to a request of a stream route.
	stream func(s *server, c net.Conn, q *http.Request, body []byte)
	// ran is called when a request begins to run.
	ran func(s *server, request string, q *http.Request)

	listener net.Listener
	places   chan struct{} // running and queued
	running  chan struct{}

	mu       sync.Mutex
	sequence int64
	answers  int
	extras   int
	leaving  chan struct{}
}

func (s *server) start() {
	l, err := net.Listen("tcp", s.address)
	must(err)
	s.listener = l
	s.born = time.Now().UnixMilli()
	s.places, s.running = make(chan struct{}, s.slots+s.queue), make(chan struct{}, s.slots)
	s.leaving = make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
}

// beat returns the next heartbeat.
func (s *server) beat(state string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return map[string]any{
		"service": s.service, "address": s.address, "zone": "zone-0", "version": "v1", "slots": s.slots, "state": state, "cold_remaining_ms": 0,
		"sequence": s.sequence, "born": s.born,
	}
}

// announce sends heartbeats until the server leaves. A host that doesn't answer is
// followed by the next one.
func (s *server) announce() {
	at := 0
	for {
		for range s.run.control {
			if s.run.call(s.run.control[at], http.MethodPut, "/instances/"+s.id, s.beat("ready")) == 200 {
				break
			}
			at = (at + 1) % len(s.run.control)
		}
		select {
		case <-s.leaving:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	b := bufio.NewReader(c)
	var late []byte
	for {
		if _, err := b.Peek(1); err != nil {
			return
		}
		if late != nil {
			_, _ = c.Write(late)
			late = nil
		}
		q, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		id := q.Header.Get("X-Sycamoreline-Request-Id")
		status, answer := s.handle(c, q, id, body)
		if answer == nil {
			return // a stream, which ends with its connection
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		s.mu.Lock()
		s.answers++
		again := s.extra != nil && s.extra(s, status)
		if again {
			s.extras++
		}
		s.mu.Unlock()
		if again {
			late = answer
			s.run.log("server %s answered %s with %d and will send this answer again", s.id, id, status)
		}
	}
}

// handle runs or rejects a request.
func (s *server) handle(c net.Conn, q *http.Request, id string, body []byte) (int, []byte) {
	if q.URL.Path == "/health" {
		return 200, []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Sycamoreline-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id))
	}
	if want := q.Header.Get("X-Sycamoreline-Expect-Instance"); want != "" && want != s.id {
		return 421, []byte(fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nX-Sycamoreline-Instance-Id: %s\r\nX-Sycamoreline-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id, id))
	}
	select {
	case s.places <- struct{}{}:
	default:
		s.run.log("server %s rejects %s: full, not run", s.id, id)
		return 503, []byte(fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Sycamoreline-Not-Executed: 1\r\nX-Sycamoreline-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id))
	}
	defer func() { <-s.places }()
	s.running <- struct{}{}
	defer func() { <-s.running }()
	s.run.log("server %s runs %s", s.id, id)
	if s.ran != nil {
		s.ran(s, id, q)
	}
	if s.stream != nil {
		s.stream(s, c, q, body)
		return 0, nil
	}
	time.Sleep(s.work)
	text := "done by " + s.id + " for " + id
	return 200, []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Sycamoreline-Request-Id: %s\r\nX-Sycamoreline-Response-Signature: sig-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(text), text))
}
