// Command harness-2 runs the scripts of the second review against the processes of
// the system on loopback addresses. Its argument is the name of a case.
package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of the scripts.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// testCase plays a case. It returns whether the rule was broken.
type testCase func(ctx context.Context, d *deployment, trouble bool) (bool, error)

type setup struct {
	entries int
	memory  memory
	servers int
	slots   int // of a server; 0 for defaultSlots
	events  int // of the longest answer; 0 for minEvents
	endOver bool
	play    testCase
}

// minEvents is the number of events of an ordinary answer.
const minEvents = 5

// tailorpaws is the memory of the machines of the site tailorpaws.
var tailorpaws = memory{entry: 120, control: 280, ledger: 144}

var cases = map[string]setup{
	"config-races":     {entries: 1, memory: tailorpaws, servers: 1, endOver: true, play: configRaces},
	"lost-reservation": {entries: 7, memory: tailorpaws, servers: 1, slots: 4, play: lostReservation},
	"program-ids":      {entries: 2, memory: tailorpaws, servers: 1, play: programIDs},
	"stuck-bodies":     {entries: 1, memory: tailorpaws, servers: 2, play: stuckBodies},
	"unread-answers":   {entries: 2, memory: tailorpaws, servers: 2, events: 300, play: unreadAnswers},
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE RECORD")
		return cannotRun
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return cannotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	signals, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(signals, 110*time.Second)
	defer cancel()
	d, err := newDeployment(r, c.entries, c.memory, c.endOver)
	if d != nil {
		defer d.close()
	}
	result := false
	if err == nil {
		result, err = d.play(ctx, c, os.Getenv("TROUBLE") != "0")
	}
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return cannotRun
	case result:
		r.printf("the rule was broken")
		fmt.Println("broken")
		return broken
	default:
		r.printf("the rule held")
		fmt.Println("held")
		return held
	}
}

func (d *deployment) play(ctx context.Context, c setup, trouble bool) (bool, error) {
	d.record.printf("disruption: %t", trouble)
	background, cancel := context.WithCancel(ctx)
	defer cancel()
	var err error
	if d.servers, err = d.startServers(background, c.servers, max(minEvents, c.events), cmp.Or(c.slots, defaultSlots)); err != nil {
		return false, err
	}
	start, cancelStart := context.WithTimeout(ctx, 20*time.Second)
	defer cancelStart()
	if err := d.configure(start, configurationFor(1, 0, "", cmp.Or(c.slots, defaultSlots))); err != nil {
		return false, fmt.Errorf("first configuration: %w", err)
	}
	if err := d.awaitReady(start); err != nil {
		return false, err
	}
	client := newClient(2)
	if id, err := d.retry(start, client, d.of("entry")[0], turn{id: "first", program: "first", session: "5e", budget: 1000, most: 100, body: []byte("hello")}, 40); err != nil {
		return false, fmt.Errorf("first turn %s: %w", id, err)
	}
	d.record.printf("the deployment serves")
	result, err := c.play(ctx, d, trouble)
	d.summary()
	if err == nil && ctx.Err() != nil {
		err = errors.Join(errors.New("out of time"), ctx.Err())
	}
	return result, err
}
