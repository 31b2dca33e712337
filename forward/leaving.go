package forward

import (
	"time"

	"github.com/sycamoreline/sycamoreline/registry"
)

// leavingRetention is how long an incarnation that is no longer listed stays
// marked as leaving. Control hosts forget a server that is silent for 2 minutes;
// after that, a delayed announcement lists it as ready again.
const leavingRetention = 10 * time.Minute

// leavingServers holds the incarnations of servers that have said in a response
// that they are leaving. An incarnation never becomes ready again.
type leavingServers map[string]*leavingMark // by server id

type leavingMark struct {
	startedAt int64 // identifies the incarnation; earlier ones have ended
	unlisted  bool
	since     time.Duration // start of the time without a listing, if unlisted
}

// mark marks an incarnation, and reports whether it had not been marked.
func (l leavingServers) mark(now time.Duration, server string, startedAt int64) bool {
	if l.contains(server, startedAt) {
		return false
	}
	l[server] = &leavingMark{startedAt: startedAt, unlisted: true, since: now}
	return true
}

// contains reports whether an incarnation is marked, or is earlier than one that
// is.
func (l leavingServers) contains(server string, startedAt int64) bool {
	m := l[server]
	return m != nil && startedAt <= m.startedAt
}

// update records which incarnations are listed, and removes the marks of those
// that have not been for leavingRetention.
func (l leavingServers) update(now time.Duration, listed map[string]registry.Entry) {
	for id, m := range l {
		e, ok := listed[id]
		switch {
		case ok && e.StartedAt <= m.startedAt:
			m.unlisted = false
		case !m.unlisted:
			m.unlisted, m.since = true, now
		case now-m.since > leavingRetention:
			delete(l, id)
		}
	}
}
