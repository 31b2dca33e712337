package schedule

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// prefixAffinity sends requests with the same shared prefix to the same few
// servers, so that the prefix is read once and stays cached, and grows the set
// of these servers with the load. All hosts order the servers in the same way,
// without talking to each other.
//
// It answers a load of many programs over few long shared prompts: spread
// evenly, every server would read every prefix, and shared caches would hold
// little else.
type prefixAffinity struct {
	// crowded is the occupancy up to which the first servers in the order of
	// the prefix are filled before the next ones get work.
	crowded float64
	// stay is the occupancy up to which a program stays on the server of its
	// last call.
	stay float64
	// local is the data centre whose servers come first; empty for none.
	local string
	// fallback chooses for requests without a prefix.
	fallback router
}

// WithPrefixAffinity groups requests by the first part of their prompt on
// servers of the data centre first, if it is given.
func WithPrefixAffinity(dataCentre string) Option {
	return func(s *Scheduler) {
		s.router = prefixAffinity{crowded: 0.5, stay: 0.85, local: dataCentre, fallback: s.router}
	}
}

func (p prefixAffinity) choose(s *Scheduler, c *call) choice {
	if c.Affinity == 0 {
		return p.fallback.choose(s, c)
	}
	if v := c.last; v != nil && c.pool.isOpen(v) && v.full() <= p.stay && v.steady(s.now) && !c.avoids(v) {
		return choice{server: v, reason: "cached-prefix"}
	}
	var first, least *server
	var firstRank rank
	for _, v := range c.pool.open {
		if c.runOn(v) != nil || c.avoids(v) {
			continue
		}
		if least == nil || v.full() < least.full() {
			least = v
		}
		if v.full() >= p.crowded || !v.steady(s.now) {
			continue
		}
		if r := p.rank(c.Affinity, v); first == nil || r.before(firstRank) {
			first, firstRank = v, r
		}
	}
	switch {
	case first != nil:
		return choice{server: first, reason: "prefix-home"}
	case least != nil:
		return choice{server: least, reason: "least-occupied"}
	default:
		return p.fallback.choose(s, c)
	}
}

// rank orders the servers for one prefix.
type rank struct {
	remote bool
	hash   uint64
}

func (r rank) before(o rank) bool {
	if r.remote != o.remote {
		return o.remote
	}
	return r.hash > o.hash
}

// rank is a rendezvous hash: a server that comes or goes moves only the
// prefixes that it is the first for.
func (p prefixAffinity) rank(affinity uint64, v *server) rank {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], affinity)
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(v.ID)
	return rank{remote: p.local != "" && v.DataCentre != p.local, hash: d.Sum64()}
}

// full is the part of the slots that all hosts have taken, counting one more
// run.
func (v *server) full() float64 { return float64(v.inFlight+v.others+1) / float64(v.slots()) }

// steady returns whether the server works at its usual speed.
func (v *server) steady(now time.Duration) bool {
	return !v.speed.slow && now >= v.speed.heldUntil
}

func (p *pool) isOpen(v *server) bool {
	m := v.membershipOf(p)
	return m != nil && m.open >= 0
}

// SetOthers sets the runs of all other hosts, by server. Servers that are not
// named have none.
func (s *Scheduler) SetOthers(now time.Duration, runs map[string]int) {
	s.advance(now)
	for _, v := range s.serverOrder {
		if n := runs[v.ID]; n != v.others {
			v.others = n
			s.refresh(v)
		}
	}
}

// Runs returns the runs of this host, by server.
func (s *Scheduler) Runs() map[string]int {
	out := map[string]int{}
	for _, v := range s.serverOrder {
		if v.inFlight > 0 {
			out[v.ID] = v.inFlight
		}
	}
	return out
}
