package engine

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	maxLoggedEvents = 4096
	maxPageEvents   = 1000
)

// cacheLog records cache events and publishes each one after a delay. It drops
// a random fraction of them, as set by lossPerThousand, and the older half of
// the events when there are maxLoggedEvents.
type cacheLog struct {
	mu              sync.Mutex
	delay           time.Duration
	lossPerThousand int
	random          *rand.Rand
	lastSequence    int64
	events          []loggedEvent
}

type loggedEvent struct {
	CacheEvent
	at time.Time
}

func newCacheLog(delay time.Duration, lossPerThousand int) *cacheLog {
	return &cacheLog{delay: delay, lossPerThousand: lossPerThousand, random: rand.New(rand.NewPCG(1, 2))}
}

func (l *cacheLog) add(kind, program string, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSequence++
	if l.random.IntN(1000) < l.lossPerThousand {
		return
	}
	if len(l.events) == maxLoggedEvents {
		l.events = append(l.events[:0], l.events[maxLoggedEvents/2:]...)
	}
	e := CacheEvent{Sequence: l.lastSequence, Kind: kind, Program: program, Tokens: tokens}
	l.events = append(l.events, loggedEvent{CacheEvent: e, at: time.Now()})
}

// page returns up to maxPageEvents published events, starting at sequence
// number from, and the sequence number to request next.
func (l *cacheLog) page(from int64) ([]CacheEvent, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	events, next := []CacheEvent{}, from
	for _, e := range l.events {
		if len(events) == maxPageEvents || time.Since(e.at) < l.delay {
			break
		}
		if e.Sequence >= from {
			events = append(events, e.CacheEvent)
			next = e.Sequence + 1
		}
	}
	return events, next
}

// loadHistory records the load and reports the value of lag ago.
type loadHistory struct {
	mu      sync.Mutex
	lag     time.Duration
	samples []loadSample // oldest first
}

type loadSample struct {
	Load
	at time.Time
}

func newLoadHistory(lag time.Duration, idle Load) *loadHistory {
	return &loadHistory{lag: lag, samples: []loadSample{{Load: idle, at: time.Now()}}}
}

func (h *loadHistory) record(l Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.prune()
	h.samples = append(h.samples, loadSample{Load: l, at: time.Now()})
}

func (h *loadHistory) report() Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.prune()
	return h.samples[0].Load
}

// prune drops the samples before the latest one that is at least lag old.
func (h *loadHistory) prune() {
	cutoff := time.Now().Add(-h.lag)
	n := 0
	for n+1 < len(h.samples) && !h.samples[n+1].at.After(cutoff) {
		n++
	}
	h.samples = append(h.samples[:0], h.samples[n:]...)
}
