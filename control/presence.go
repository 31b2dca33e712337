package control

import (
	"sync"
	"time"
)

// presence records when each entry host last reported to this control host.
// After a start no reports are recorded yet, so every host counts as alive for
// one lease TTL.
type presence struct {
	ttl     time.Duration
	started time.Time

	mu       sync.Mutex
	lastSeen map[presenceMessage]time.Time
}

func newPresence(ttl time.Duration) *presence {
	return &presence{ttl: ttl, started: time.Now(), lastSeen: make(map[presenceMessage]time.Time)}
}

func (p *presence) record(now time.Time, m presenceMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSeen[m] = now
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
