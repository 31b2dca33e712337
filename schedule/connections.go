package schedule

import (
	"slices"
	"time"
)

const (
	// connectionReuse is how long after a run its connection can be expected to
	// take another one. Entry hosts use no connection for a request that cannot be
	// repeated if it has been idle for 2 s.
	connectionReuse = 1800 * time.Millisecond
	// connectSeconds is the cost of a run that has to open a connection, in seconds:
	// some round trips, and a slot that the server holds for it.
	connectSeconds = 0.003
	// maxIdleConnections is the number of idle connections to a server that are
	// remembered.
	maxIdleConnections = 8
	// maxRecent is the number of servers of a pool that are remembered because of
	// their open connections.
	maxRecent = 6
)

// openConnections estimates which connections of this host to a server are open
// and idle, from the ends of its runs. The newest one is used first.
//
// With many hosts and many servers, most pairs meet less often than a connection
// is kept, and each second request would open one, at the cost of the caller and
// of the server.
type openConnections struct {
	idleSince [maxIdleConnections]time.Duration
	n         int
}

// put records that a run has ended and left its connection idle.
func (o *openConnections) put(now time.Duration) {
	if o.n == maxIdleConnections {
		copy(o.idleSince[:], o.idleSince[1:])
		o.n--
	}
	o.idleSince[o.n] = now
	o.n++
}

// take removes the newest idle connection, if any is left.
func (o *openConnections) take(now time.Duration) {
	if !o.open(now) {
		o.n = 0
		return
	}
	o.n--
}

// open reports whether an idle connection is left.
func (o *openConnections) open(now time.Duration) bool {
	return o.n > 0 && now-o.idleSince[o.n-1] <= connectionReuse
}

// markRecent records that a run of this host on a server of the pool has ended.
func (p *pool) markRecent(v *server) {
	if v.removed || len(p.recent) > 0 && p.recent[len(p.recent)-1] == v {
		return
	}
	p.recent = slices.DeleteFunc(p.recent, func(o *server) bool { return o == v })
	if len(p.recent) == maxRecent {
		p.recent = slices.Delete(p.recent, 0, 1)
	}
	p.recent = append(p.recent, v)
}
