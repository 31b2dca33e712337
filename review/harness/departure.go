package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// forgottenDeparture: a server leaves with DELETE /instances/ID, which is
// acknowledged; all processes of the core are killed and are back within a second;
// then one of its earlier heartbeats arrives, late. Rule DRAIN.
func forgottenDeparture(r *run) int {
	const drain, contact = 2 * time.Second, 3 * time.Second
	r.deploy(2, map[string]any{
		"version": 1, "limits": limits,
		"routes": []any{map[string]any{
			"name": "r-lookup", "host": host, "path_prefix": "/lookup/", "kind": "idempotent", "timeout_ms": 1200, "target_latency_ms": 80,
			"priority": 0, "service": "app", "max_attempts": 2, "retain_history": false, "retention_s": 60.0, "sticky": false, "resumable": false, "target_gap_ms": 400,
		}},
		"services": []any{map[string]any{"name": "app", "health_path": "/health", "max_connections": 214, "protocol": "h1", "tls": false}},
	})
	var mu sync.Mutex
	var left, inTouch time.Time // acknowledgement of the departure, and when all hosts are in touch again
	late := 0
	var servers []*server
	for i := range 3 {
		s := &server{run: r, id: fmt.Sprintf("i-app-%d", i+1), service: "app", address: r.address(), slots: 6, queue: 4, work: 20 * time.Millisecond}
		if i == 0 {
			s.ran = func(_ *server, id string, _ *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				if !left.IsZero() && time.Since(left) > drain && !inTouch.IsZero() && time.Now().After(inTouch) {
					late++
					r.log("DRAIN: %s reaches server i-app-1 %v after the acknowledgement of its departure, %v after all hosts are in touch again",
						id, time.Since(left).Round(time.Millisecond), time.Since(inTouch).Round(time.Millisecond))
				}
			}
		}
		s.start()
		go s.announce()
		servers = append(servers, s)
	}
	leaver := servers[0]
	served := map[bool]int{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 24 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				a := r.send(r.entries[i%2], request{method: http.MethodGet, path: "/lookup/1", id: fmt.Sprintf("q-%d-%05d", i, n), deadline: 1200 * time.Millisecond})
				mu.Lock()
				served[a.status == 200]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(6 * time.Second)

	// A heartbeat is on its way for 4 s. Its sender gets no answer within a second and
	// goes on with other hosts.
	delayed := leaver.beat("ready")
	r.log("i-app-1 sends heartbeat %v, which will arrive late", delayed["sequence"])
	arrival := time.Now().Add(4 * time.Second)
	time.Sleep(1500 * time.Millisecond)

	close(leaver.leaving)
	for i := 0; ; i++ {
		if r.call(r.control[i%3], http.MethodDelete, "/instances/"+leaver.id, nil) == 200 {
			mu.Lock()
			left = time.Now()
			mu.Unlock()
			r.log("the departure of i-app-1 is acknowledged by %s; i-app-1 goes on serving", r.control[i%3].ip)
			break
		}
	}
	time.Sleep(time.Second)
	if r.trouble {
		r.log("all processes of the core are killed")
		for _, p := range r.control {
			p.signal(9)
		}
		for _, p := range r.control {
			<-p.done
			p.notFirst()
		}
		time.Sleep(300 * time.Millisecond)
		for _, p := range r.control {
			p.start()
		}
		r.log("all processes of the core are started again")
	}
	mu.Lock()
	inTouch = time.Now().Add(contact)
	mu.Unlock()
	time.Sleep(time.Until(arrival))
	r.await(3*time.Second, "late heartbeat delivered", func() bool {
		return r.call(r.control[0], http.MethodPut, "/instances/"+leaver.id, delayed) == 200
	})
	r.log("heartbeat %v of i-app-1 arrives at %s", delayed["sequence"], r.control[0].ip)
	time.Sleep(9 * time.Second)
	close(stop)
	clients.Wait()
	leaver.listener.Close()
	mu.Lock()
	defer mu.Unlock()
	r.log("%d requests served, %d not; %d reached i-app-1 later than drain_ms after its acknowledged departure, sent by hosts in touch", served[true], served[false], late)
	switch {
	case served[true] < 500:
		return unable
	case late > 0:
		return broken
	default:
		return held
	}
}
