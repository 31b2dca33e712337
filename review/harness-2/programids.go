package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// programIDs sends turns of programs whose budget holds no turn: each is answered
// 402 and runs nowhere. With the disruption each has another program id.
func programIDs(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	const clients = 256
	started := time.Now()
	var sent atomic.Int64
	var answers statuses
	padding := strings.Repeat("p", 400)
	var wait sync.WaitGroup
	flood, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range clients {
		wait.Go(func() {
			client := newClient(1)
			entry := d.of("entry")[i%len(d.of("entry"))]
			for flood.Err() == nil && time.Since(started) < 80*time.Second {
				n := sent.Add(1)
				program := fmt.Sprintf("%s-%d", padding, i)
				if trouble {
					program = fmt.Sprintf("%s-%d", padding, n)
				}
				a, err := d.send(flood, client, entry, turn{id: fmt.Sprintf("flood-%d", n), program: program, session: "77", budget: 1, most: 100, body: []byte("hello")})
				if flood.Err() != nil {
					return
				}
				answers.add(a, err)
				if err != nil || a.status != 402 {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	ordinary := newClient(1)
	ok, failed := 0, 0
	for time.Since(started) < 80*time.Second && ctx.Err() == nil && len(d.over()) == 0 {
		if _, err := d.retry(ctx, ordinary, d.of("entry")[0], turn{id: fmt.Sprintf("ordinary-%d", ok+failed), program: fmt.Sprintf("o-%d", ok+failed), session: "5e", budget: 1000, most: 100, body: []byte("hello")}, 2); err != nil {
			failed++
			d.record.printf("an ordinary turn failed: %v", err)
		} else {
			ok++
		}
		time.Sleep(500 * time.Millisecond)
	}
	cancel()
	wait.Wait()
	d.record.printf("%d turns without budget sent in %s, answers %s; ordinary turns: %d served, %d failed", sent.Load(), time.Since(started).Round(time.Second), &answers, ok, failed)
	over := d.over()
	if len(over) > 0 {
		fmt.Println("over the memory of their machine:", over)
	}
	return len(over) > 0, nil
}
