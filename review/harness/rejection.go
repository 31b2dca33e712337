package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// repeatedRejection: one of two servers sends 25 in 1,000 of its answers a second time,
// late. Groups of non-idempotent requests come that it can't take all at once, so that
// it rejects some of them. Rule TWICE.
func repeatedRejection(r *run) int {
	r.deploy(3, map[string]any{
		"version": 1, "limits": limits,
		"routes": []any{map[string]any{
			"name": "r-hold", "host": host, "path_prefix": "/hold/", "kind": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 200,
			"priority": 0, "service": "app", "max_attempts": 2, "retain_history": false, "retention_s": 60.0, "sticky": false, "resumable": false, "target_gap_ms": 400,
		}},
		"services": []any{
			map[string]any{"name": "app", "health_path": "/health", "max_connections": 214, "protocol": "h1", "tls": false},
			map[string]any{"name": "other", "health_path": "/health", "max_connections": 214, "protocol": "h1", "tls": false},
		},
	})
	var mu sync.Mutex
	runs := map[string][]string{}
	var garbling bool
	var servers []*server
	for i, service := range []string{"app", "other"} {
		s := &server{run: r, id: "i-" + service, service: service, address: r.address(), slots: 2, queue: 1, work: 26 * time.Millisecond}
		s.ran = func(s *server, id string, _ *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			runs[id] = append(runs[id], s.id)
		}
		if i == 0 {
			s.extra = func(*server, int) bool {
				mu.Lock()
				defer mu.Unlock()
				return garbling && rand.Float64() < 0.025
			}
		}
		s.start()
		go s.announce()
		servers = append(servers, s)
	}
	for _, p := range r.entries {
		n := 0
		r.await(20*time.Second, "service served", func() bool {
			n++
			return r.send(p, request{method: http.MethodPost, path: "/hold/1", id: fmt.Sprintf("warm-%s-%d", p.ip, n), deadline: 2 * time.Second}).status == 200
		})
	}
	answers := map[string]int{}
	var wait sync.WaitGroup
	const bursts, groups, group = 18, 33, 9
	for b := range bursts {
		r.log("burst %d of 5 s: %d requests at once, every 150 ms; answers sent twice by %s: %v", b+1, group, servers[0].id, r.trouble)
		mu.Lock()
		garbling = r.trouble
		mu.Unlock()
		for i := range groups * group {
			if i%group == 0 {
				time.Sleep(150 * time.Millisecond)
			}
			id := fmt.Sprintf("q-%d-%04d", b, i)
			wait.Go(func() {
				a := r.send(r.entries[i%3], request{method: http.MethodPost, path: "/hold/1", id: id, deadline: 2 * time.Second})
				mu.Lock()
				defer mu.Unlock()
				answers[id] = a.status
			})
		}
		mu.Lock()
		garbling = false
		mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
	wait.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	twice, refused, served := 0, 0, 0
	for id, list := range runs {
		if len(list) > 1 {
			twice++
			r.log("TWICE: %s ran %d times, on %v; its client got %d", id, len(list), list, answers[id])
		}
	}
	for id, s := range answers {
		switch {
		case s == 200:
			served++
		case s == 503 && len(runs[id]) > 0:
			refused++
			r.log("REFUSED: %s was answered 503 and has run on %v", id, runs[id])
		}
	}
	servers[0].mu.Lock()
	r.log("%d requests, %d served; server %s sent %d of %d answers twice; %d requests ran more than once, %d refused ones ran", len(answers), served, servers[0].id, servers[0].extras, servers[0].answers, twice, refused)
	servers[0].mu.Unlock()
	if served < 100 {
		return unable
	}
	if twice+refused > 0 {
		return broken
	}
	return held
}
