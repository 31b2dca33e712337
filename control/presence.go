package control

import (
	"sync"
	"time"
)

// presence remembers which entry hosts a control host has heard of. A process
// that has just started has heard of nobody, so for the time of one lease it
// takes every host to be alive.
type presence struct {
	ttl     time.Duration
	started time.Time

	mu    sync.Mutex
	lastSeen map[presenceMessage]time.Time
}

func newPresence(ttl time.Duration) *presence {
	return &presence{ttl: ttl, started: time.Now(), lastSeen: make(map[presenceMessage]time.Time)}
}

func (p *presence) record(now time.Time, r presenceMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSeen[r] = now
	for k, at := range p.lastSeen {
		if now.Sub(at) > 2*p.ttl {
			delete(p.lastSeen, k)
		}
	}
}

func (p *presence) alive(now time.Time, host, incarnation string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.lastSeen[presenceMessage{Host: host, Incarnation: incarnation}]
	if !ok {
		at = p.started
	}
	return now.Sub(at) <= p.ttl
}
