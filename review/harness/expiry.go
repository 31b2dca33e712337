package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// earlyExpiry: an entry host freezes and wakes again while turns of programs end.
// Their conversations are continued less than retention_s after they were answered
// whole. Rule LOST.
func earlyExpiry(r *run) int {
	const (
		retention = 60 * time.Second
		freeze    = 3200 * time.Millisecond
		freezes   = 5
		clients   = 64
		// askAfter is when a turn is continued, after it was answered whole.
		askAfter = retention - 1500*time.Millisecond
	)
	r.deploy(3, map[string]any{
		"version": 1, "limits": limits,
		"routes": []any{map[string]any{
			"name": "r-consult", "host": host, "path_prefix": "/consult/", "kind": "stream", "timeout_ms": 4000, "target_latency_ms": 200,
			"priority": 0, "service": "llm", "max_attempts": 2, "retain_history": true, "retention_s": retention.Seconds(), "sticky": true, "resumable": false, "target_gap_ms": 400,
		}},
		"services": []any{map[string]any{
			"name": "llm", "health_path": "/health", "max_connections": 429, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 24, "kv_cache_tokens": 760200, "kv_token_bytes": 163840, "link_mbps": 1500000.0, "moves": true, "backups": true, "tokens_per_event": 18,
				"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
			},
		}},
	})
	for i := range 4 {
		s := &server{run: r, id: fmt.Sprintf("i-llm-%d", i+1), service: "llm", address: r.address(), slots: 24, queue: 72}
		s.stream = func(s *server, c net.Conn, q *http.Request, _ []byte) {
			id := q.Header.Get("X-Sycamoreline-Request-Id")
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Sycamoreline-Request-Id: %s\r\nX-Sycamoreline-Response-Signature: sig-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, id)
			for n := range 3 {
				time.Sleep(5 * time.Millisecond)
				fmt.Fprintf(c, "id: %d\ndata: piece %d of %s\n\n", n+1, n+1, id)
			}
		}
		s.start()
		go s.announce()
	}
	turn := func(entry *process, id, program, previous string) answer {
		h := map[string]string{
			"X-Sycamoreline-Model": "m", "X-Sycamoreline-Token-Usage": "100,54", "X-Sycamoreline-Token-Budget": "4608", "X-Sycamoreline-Program-Id": program,
			"X-Sycamoreline-Session-Id": "s-" + program, "X-Sycamoreline-Program-Deadline-Ms": "90000", "X-Sycamoreline-Prompt-Prefix": "5c1e07a2:100",
		}
		if previous != "" {
			h["X-Sycamoreline-Previous-Turn"] = previous
		}
		return r.send(entry, request{method: http.MethodPost, path: "/consult/1", id: id, header: h, body: []byte("input of " + id + "\n"), deadline: 4 * time.Second})
	}
	for i, p := range r.entries {
		n := 0
		r.await(20*time.Second, "service served", func() bool {
			n++
			return turn(p, fmt.Sprintf("warm-%d-%d", i, n), fmt.Sprintf("warm-%d-%d", i, n), "").status == 200
		})
	}
	frozen := r.entries[0]
	var mu sync.Mutex
	type kept struct {
		id, program string
		ended       time.Time
	}
	var turns []kept // turns that were answered whole, over a freeze or now and then
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i := range clients {
		wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id, program, began := fmt.Sprintf("t-%d-%d", i, n), fmt.Sprintf("p-%d-%d", i, n), time.Now()
				a := turn(frozen, id, program, "")
				if a.status == 200 && a.complete && (time.Since(began) > time.Second || n%40 == 0) {
					mu.Lock()
					turns = append(turns, kept{id, program, time.Now()})
					mu.Unlock()
				}
			}
		})
	}
	for i := range freezes {
		time.Sleep(1500 * time.Millisecond)
		if r.trouble {
			r.log("freeze %d of entry host %s", i+1, frozen.ip)
			frozen.signal(syscall.SIGSTOP)
		}
		time.Sleep(freeze)
		if r.trouble {
			r.log("entry host %s wakes", frozen.ip)
			frozen.signal(syscall.SIGCONT)
		}
	}
	time.Sleep(time.Second)
	close(stop)
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.log("%d turns that were answered whole will be continued %v after", len(turns), askAfter)
	lost, served, others := 0, 0, 0
	var count sync.Mutex
	var asks sync.WaitGroup
	for _, t := range turns {
		asks.Go(func() {
			time.Sleep(time.Until(t.ended.Add(askAfter)))
			sent := time.Since(t.ended)
			a := turn(r.entries[1], "next-"+t.id, t.program, t.id)
			after := time.Since(t.ended)
			count.Lock()
			defer count.Unlock()
			switch {
			case a.status == 200:
				served++
			case (a.status == 404 || a.status == 410) && after < retention:
				lost++
				r.log("LOST: next-%s continues %s, which was answered whole %v ago, and is answered %d", t.id, t.id, sent.Round(time.Millisecond), a.status)
			default:
				others++
			}
		})
	}
	asks.Wait()
	r.log("%d turns continued: %d served, %d answered 404 or 410 within retention_s, %d otherwise", len(turns), served, lost, others)
	switch {
	case lost > 0:
		return broken
	case served == 0:
		return unable
	default:
		return held
	}
}
