package engine

import (
	"context"
	"time"
)

const pollTimeout = 2 * time.Second

// WatcherCallbacks are the callbacks of a Watcher; nil callbacks are skipped.
// They are called one at a time and must not block.
type WatcherCallbacks struct {
	// Load receives every load report.
	Load func(Load)
	// Event receives every cache event that is not lost, exactly once and in
	// order.
	Event func(CacheEvent)
	// Gap receives the first and last sequence numbers of lost events, before
	// Event receives the event after them.
	Gap func(first, last int64)
	// Restarted receives the new incarnation after a restart of the engine,
	// which invalidates all earlier cache events.
	Restarted func(incarnation string)
	// Failed receives a *verdict.Error for every failed poll.
	Failed func(error)
}

// Watcher polls the load report and the cache events of one engine.
type Watcher struct {
	client    *Client
	address   string
	interval  time.Duration
	callbacks WatcherCallbacks
	cancel    context.CancelFunc
	done      chan struct{}

	incarnation string
	next        int64 // sequence number to request
}

// NewWatcher starts polling the engine at address, immediately and then once
// per interval.
func NewWatcher(c *Client, address string, interval time.Duration, callbacks WatcherCallbacks) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{
		client:    c,
		address:   address,
		interval:  interval,
		callbacks: callbacks.withDefaults(),
		cancel:    cancel,
		done:      make(chan struct{}),
		next:      1,
	}
	go w.run(ctx)
	return w
}

func (c WatcherCallbacks) withDefaults() WatcherCallbacks {
	if c.Load == nil {
		c.Load = func(Load) {}
	}
	if c.Event == nil {
		c.Event = func(CacheEvent) {}
	}
	if c.Gap == nil {
		c.Gap = func(int64, int64) {}
	}
	if c.Restarted == nil {
		c.Restarted = func(string) {}
	}
	if c.Failed == nil {
		c.Failed = func(error) {}
	}
	return c
}

// Close stops polling and waits for a running callback to return.
func (w *Watcher) Close() {
	w.cancel()
	<-w.done
}

func (w *Watcher) run(ctx context.Context) {
	defer close(w.done)
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	for {
		if err := w.poll(ctx); err != nil && ctx.Err() == nil {
			w.callbacks.Failed(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *Watcher) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := w.client.Load(ctx, w.address)
	if err != nil {
		return err
	}
	w.callbacks.Load(load)
	for {
		page, err := w.client.CacheEvents(ctx, w.address, w.next)
		if err != nil {
			return err
		}
		requested := w.next
		w.handlePage(page)
		if w.next == requested {
			return nil
		}
	}
}

// handlePage passes a page of events to the callbacks. After a restart of the
// engine, it sets next to 1 and discards the page unless it was requested from
// 1, so that the events of the new incarnation are read from the first one.
func (w *Watcher) handlePage(page CacheEvents) {
	if page.Incarnation != w.incarnation {
		restarted, requested := w.incarnation != "", w.next
		w.incarnation, w.next = page.Incarnation, 1
		if restarted {
			w.callbacks.Restarted(page.Incarnation)
		}
		if requested != 1 {
			return
		}
	}
	for _, e := range page.Events {
		if e.Sequence < w.next {
			continue
		}
		if e.Sequence > w.next {
			w.callbacks.Gap(w.next, e.Sequence-1)
		}
		w.next = e.Sequence + 1
		w.callbacks.Event(e)
	}
}
