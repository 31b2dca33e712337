package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// lostBeginning: an entry host is killed in the middle of a turn's stream. The client
// takes the stream up at another entry host with Last-Event-Id and gets the rest. The
// next turn names the one that was answered whole. Rule UNASKED.
func lostBeginning(r *run) int {
	const events = 8
	r.deploy(7, map[string]any{
		"version": 1, "limits": limits,
		"routes": []any{map[string]any{
			"name": "r-consult", "host": host, "path_prefix": "/consult/", "kind": "stream", "timeout_ms": 4000, "target_latency_ms": 200,
			"priority": 0, "service": "llm", "max_attempts": 2, "retain_history": true, "retention_s": 60.0, "sticky": true, "resumable": true, "target_gap_ms": 400,
		}},
		"services": []any{map[string]any{
			"name": "llm", "health_path": "/health", "max_connections": 429, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 24, "kv_cache_tokens": 760200, "kv_token_bytes": 163840, "link_mbps": 1500000.0, "moves": true, "backups": true, "tokens_per_event": 18,
				"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
			},
		}},
	})
	var mu sync.Mutex
	bodies := map[string]string{} // what servers got, by request
	for i := range 3 {
		s := &server{run: r, id: fmt.Sprintf("i-llm-%d", i+1), service: "llm", address: r.address(), slots: 24, queue: 72}
		s.stream = func(s *server, c net.Conn, q *http.Request, body []byte) {
			id := q.Header.Get("X-Sycamoreline-Request-Id")
			mu.Lock()
			bodies[id] = string(body)
			mu.Unlock()
			after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Sycamoreline-Request-Id: %s\r\nX-Sycamoreline-Response-Signature: sig-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, id)
			for n := after + 1; n <= events; n++ {
				time.Sleep(60 * time.Millisecond)
				if _, err := fmt.Fprintf(c, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
					return
				}
			}
		}
		s.start()
		go s.announce()
	}
	header := func(program, previous string) map[string]string {
		h := map[string]string{
			"X-Sycamoreline-Model": "m", "X-Sycamoreline-Token-Usage": "100,144", "X-Sycamoreline-Token-Budget": "4608", "X-Sycamoreline-Program-Id": program,
			"X-Sycamoreline-Session-Id": "s-" + program, "X-Sycamoreline-Program-Deadline-Ms": "30000", "X-Sycamoreline-Prompt-Prefix": "5c1e07a2:100",
		}
		if previous != "" {
			h["X-Sycamoreline-Previous-Turn"] = previous
		}
		return h
	}
	turn := func(entry *process, id, input string, h map[string]string) answer {
		return r.send(entry, request{method: http.MethodPost, path: "/consult/1", id: id, header: h, body: []byte(input), deadline: 4 * time.Second})
	}
	for i, p := range r.entries {
		n := 0
		r.await(20*time.Second, "service served", func() bool {
			n++
			id := fmt.Sprintf("warm-%d-%d", i, n)
			return turn(p, id, "warm\n", header(id, "")).status == 200
		})
	}
	wrong, right := 0, 0
	for k := range 5 {
		program := fmt.Sprintf("p-%d", k)
		victim, other, third := r.entries[k], r.entries[k+1], r.entries[k+2]
		first := fmt.Sprintf("first-%d", k)
		input := fmt.Sprintf("question %d\n", k)
		// The first client attempt.
		seen, got, complete := r.readEvents(victim, first, input, header(program, ""), func(n int) {
			if n == 3 && r.trouble {
				r.log("entry host %s is killed", victim.ip)
				victim.kill()
			}
		})
		answered := first
		r.log("%s: %d events, complete: %v", first, len(got), complete)
		if !complete {
			answered = fmt.Sprintf("again-%d", k)
			h := header(program, "")
			h["Last-Event-Id"], h["Resumes"] = seen, first
			_, rest, whole := r.readEvents(other, answered, input, h, func(int) {})
			r.log("%s takes the stream up after event %s: %d events, complete: %v", answered, seen, len(rest), whole)
			got = append(got, rest...)
			if !whole {
				continue
			}
		}
		if r.trouble {
			victim.notFirst()
			victim.start()
		}
		next := fmt.Sprintf("next-%d", k)
		if a := turn(third, next, "and then?\n", header(program, answered)); a.status != 200 {
			continue
		}
		want := input + strings.Join(got, "\n") + "\n" + "and then?\n"
		mu.Lock()
		have := bodies[next]
		mu.Unlock()
		if len(got) != events {
			r.log("the client got %d of %d events", len(got), events)
			continue
		}
		if have == want {
			right++
			continue
		}
		wrong++
		r.log("UNASKED: the turn %s, which continues %s, is run with the body %q instead of %q", next, answered, have, want)
	}
	r.log("%d turns run with the whole conversation, %d with another body", right, wrong)
	switch {
	case wrong > 0:
		return broken
	case right > 0:
		return held
	default:
		return unable
	}
}

// readEvents sends a request and returns the id of the last event, the data of the
// events, and whether the answer came to its end.
func (r *run) readEvents(entry *process, id, input string, header map[string]string, seen func(n int)) (last string, data []string, complete bool) {
	q, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/consult/1", entry.ip, callerPort), bytes.NewReader([]byte(input)))
	must(err)
	q.Host = host
	for k, v := range header {
		q.Header.Set(k, v)
	}
	q.Header.Set("X-Sycamoreline-Request-Id", id)
	q.Header.Set("X-Sycamoreline-Deadline-Ms", "4000")
	resp, err := (&http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	if err != nil {
		r.log("client: %s got no answer: %v", id, err)
		return "", nil, false
	}
	defer resp.Body.Close()
	r.log("client: %s got %d", id, resp.StatusCode)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if v, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last = v
		}
		if v, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			data = append(data, v)
			seen(len(data))
		}
	}
	return last, data, lines.Err() == nil && resp.StatusCode == 200
}
