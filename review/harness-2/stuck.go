package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// head returns the head of a turn with a body of n bytes.
func head(id, program string, n int) string {
	return "POST " + turnPath + "x HTTP/1.1\r\nHost: " + hostName + "\r\nX-Sycamoreline-Request-Id: " + id + "\r\nX-Sycamoreline-Program-Id: " + program +
		"\r\nX-Sycamoreline-Session-Id: 5e\r\nX-Sycamoreline-Program-Deadline-Ms: 20000\r\nX-Sycamoreline-Deadline-Ms: 4000\r\nX-Sycamoreline-Model: m\r\n" +
		"X-Sycamoreline-Token-Budget: 1000000\r\nX-Sycamoreline-Token-Usage: 100,6000\r\nX-Sycamoreline-Prompt-Prefix: 5c1e07a2:800,5e:100\r\n" +
		"Content-Type: application/json\r\nContent-Length: " + strconv.Itoa(n) + "\r\n\r\n"
}

// ordinary sends one ordinary turn after the other to an entry host, each with one
// retry on a new connection, as clients do. It returns how many were served and how
// many failed.
func (d *deployment) ordinary(ctx context.Context, entry *process, name string, each time.Duration, count int) (served, failed int) {
	for i := range count {
		if ctx.Err() != nil {
			break
		}
		c := newClient(1)
		id := fmt.Sprintf("%s-%d", name, i)
		if _, err := d.retry(ctx, c, entry, turn{id: id, program: id, session: "0d", budget: 1000, most: 100, body: text(17_000)}, 2); err != nil {
			failed++
			d.record.printf("%s: an ordinary turn was not served: %v", id, err)
		} else {
			served++
		}
		c.CloseIdleConnections()
		time.Sleep(each)
	}
	return served, failed
}

// stuckBodies opens connections that send the head of a proper request and not its
// short body. Without the disruption they send the body too.
func stuckBodies(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	const (
		connections = 1000
		bodyBytes   = 1000
	)
	entry := d.of("entry")[0]
	before, lost := d.ordinary(ctx, entry, "before", 100*time.Millisecond, 10)
	d.record.printf("before: %d ordinary turns served, %d not", before, lost)
	var mu sync.Mutex
	var open []net.Conn
	closed := 0
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	for i := range connections {
		c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", entry.address(callerPort))
		if err != nil {
			closed++
			continue
		}
		open = append(open, c)
		request := head(fmt.Sprintf("slow-%d", i), fmt.Sprintf("slow-%d", i), bodyBytes)
		if !trouble {
			request += string(text(bodyBytes))
		}
		_, _ = io.WriteString(c, request)
		go func() {
			_, _ = io.Copy(io.Discard, c) // until it is closed
			mu.Lock()
			defer mu.Unlock()
			closed++
		}()
		if i%50 == 49 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	started := time.Now()
	mu.Lock()
	d.record.printf("%d connections opened, of which the host has closed %d", connections, closed)
	mu.Unlock()
	time.Sleep(2 * time.Second)
	served, failed := d.ordinary(ctx, entry, "during", 500*time.Millisecond, 60)
	mu.Lock()
	d.record.printf("for %s after that: %d ordinary turns served, %d not; %d connections closed by the host", time.Since(started).Round(time.Second), served, failed, closed)
	mu.Unlock()
	return failed > served, nil
}

// unreadAnswers has clients that send turns to one entry host and read no answers,
// and ordinary callers at another one. Without the disruption the clients read.
func unreadAnswers(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	const (
		clients = 72 // more than the servers have slots
		turns   = 40 // of a client; the answers are more than sockets keep
	)
	entries := d.of("entry")
	before, lost := d.ordinary(ctx, entries[1], "before", 100*time.Millisecond, 10)
	d.record.printf("before: %d ordinary turns served, %d not", before, lost)
	flood, cancel := context.WithTimeout(ctx, 95*time.Second)
	defer cancel()
	var wait sync.WaitGroup
	for i := range clients {
		wait.Go(func() { d.unreadingClient(flood, entries[0], i, turns, !trouble) })
	}
	// All turns end by their deadline, 4 s after they were sent. None is on the servers
	// when the ordinary ones come.
	time.Sleep(12 * time.Second)
	ran := d.ran()
	same, notSame := d.ordinary(flood, entries[0], "same-host", 200*time.Millisecond, 6)
	other, notOther := d.ordinary(flood, entries[1], "other-host", 200*time.Millisecond, 12)
	d.record.printf("ordinary turns with %d clients at %s: %d served and %d not at %s, %d served and %d not at %s; the servers ran %d turns meanwhile",
		clients, entries[0].name, same, notSame, entries[0].name, other, notOther, entries[1].name, d.ran()-ran)
	cancel()
	wait.Wait()
	return notSame > same || notOther > other, nil
}

// unreadingClient sends turns on a connection, as long as the host takes them, and
// keeps the connection open.
func (d *deployment) unreadingClient(ctx context.Context, entry *process, number, turns int, reads bool) {
	nc, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", entry.address(callerPort))
	if err != nil {
		d.record.printf("client %d: %v", number, err)
		return
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	if reads {
		go func() { _, _ = io.Copy(io.Discard, nc) }()
	}
	body := text(200)
	for i := range turns {
		id := fmt.Sprintf("unread-%d-%d", number, i)
		if _, err := io.WriteString(nc, head(id, id, len(body))+string(body)); err != nil {
			return
		}
		if reads {
			time.Sleep(500 * time.Millisecond)
		}
	}
	<-ctx.Done()
}
