package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// lostReservation begins a program, and kills the entry host to which it sends its
// second turn while the turn waits for a place on the server. The client then sends
// the turn again through all entry hosts, once the process is back. Without the disruption nothing is
// killed, and the first try is served.
func lostReservation(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	const (
		budget = 900 // the program's; a turn takes 90
		most   = 576 // of a turn
		tries  = 12
	)
	entries := d.of("entry")
	program := turn{program: "program", session: "5e", budget: budget, most: most, body: []byte("first input")}
	program.id = "first-turn"
	first, err := d.retry(ctx, newClient(1), entries[0], program, 5)
	if err != nil {
		return false, fmt.Errorf("first turn: %w", err)
	}
	time.Sleep(time.Second) // its tokens are settled

	// Turns of other programs take the places of the server for a while.
	var busy sync.WaitGroup
	d.servers[0].setPause(2 * time.Second)
	for i := range 2 * d.servers[0].slots {
		busy.Go(func() {
			id := fmt.Sprintf("other-%d", i)
			if _, err := d.send(ctx, newClient(1), entries[i%len(entries)], turn{id: id, program: id, session: fmt.Sprint(i), budget: 10_000, most: 100, body: []byte("x")}); err != nil {
				d.record.printf("turn %s of another program: %v", id, err)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	d.servers[0].setPause(0)
	program.id, program.previous, program.body = "second-turn", first, []byte("second input")
	answered := make(chan string, 1)
	go func() {
		a, err := d.send(ctx, newClient(1), entries[0], program)
		answered <- fmt.Sprintf("status %d, complete %t, error %v", a.status, a.complete, err)
	}()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		ran := d.servers[0].hasRun("second-turn")
		entries[0].killed()
		d.record.printf("%s killed while the second turn of the program waits there; has a server run it: %t", entries[0].name, ran)
	}
	d.record.printf("second turn, first try: %s", <-answered)
	busy.Wait()
	if !trouble {
		return !d.servers[0].hasRun("second-turn"), nil
	}

	// The process is back soon. The tries begin later than contact_ms (3 s) after that,
	// with an idle server.
	time.Sleep(500 * time.Millisecond)
	if err := d.start(entries[0], false); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	spent, others := 0, 0
	for i := range tries {
		id := fmt.Sprintf("other-again-%d", i)
		if a, err := d.send(ctx, newClient(1), entries[i%len(entries)], turn{id: id, program: id, session: "77", budget: budget, most: most, body: []byte("x")}); err == nil && a.status == 200 && a.complete {
			others++
		}
		program.id = fmt.Sprintf("second-turn-again-%d", i)
		a, err := d.send(ctx, newClient(1), entries[i%len(entries)], program)
		d.record.printf("second turn, sent again as %s: status %d, error %v, run by a server: %t: %.150s", program.id, a.status, err, d.servers[0].hasRun(program.id), a.body)
		if a.status == 402 {
			spent++
		}
		if a.status == 200 {
			break
		}
		time.Sleep(400 * time.Millisecond)
	}
	d.record.printf("%d of %d tries of the kept conversation were answered 402; %d first turns of other programs were served beside them", spent, tries, others)
	return spent >= 5 && others >= spent-1, nil
}
