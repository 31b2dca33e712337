package schedule

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// prefixAffinity sends requests with the same shared prefix to the same few
// home servers, and each session to one of them, so that the prefill is
// done once and the prefix cache is reused. All hosts rank the servers by the
// same rendezvous hash, without any communication.
//
// It is meant for many programs that share a few long prompts. If they were
// spread evenly, every server would prefill every prefix, and a session
// whose turns arrive at different hosts would be prefilled again on each turn.
type prefixAffinity struct {
	// homes is the number of home servers among which the sessions of one
	// prefix are distributed.
	homes int
	// crowded is the highest utilisation at which a server gets sessions
	// that it has not cached. Above it, the next server in the ranking of the
	// prefix is used, since the prefills of other runs delay each token.
	crowded float64
	// stay is the utilisation up to which a session always stays on its
	// last server.
	stay float64
	// gain is the highest ratio of the utilisation of another server to that of
	// the last server at which a session moves. Prefilling a session
	// again takes as long as several turns and delays all other runs of the new
	// server, so moves for a small gain would keep all servers overloaded.
	gain float64
	// local is the data centre whose servers are preferred; empty for none.
	local string
	// fallback chooses the server of requests without a prefix.
	fallback router
}

// WithPrefixAffinity routes requests by the first part of their prompt. Servers
// of dataCentre are preferred unless it is empty.
func WithPrefixAffinity(dataCentre string) Option {
	return func(s *Scheduler) {
		s.router = prefixAffinity{homes: 3, crowded: 0.35, stay: 1.25, gain: 0.3, local: dataCentre, fallback: s.router}
	}
}

func (p prefixAffinity) choose(s *Scheduler, c *call) choice {
	if c.Affinity == 0 {
		return p.fallback.choose(s, c)
	}
	moveReason := p.mustMove(s, c)
	if moveReason == "" {
		return choice{server: c.last, reason: "cached-prefix"}
	}
	reason := "prefix-home" + moveReason
	v := p.home(s, c)
	if v == nil {
		reason = "less-full" + moveReason
		v = p.lessFull(s, c)
	}
	if moveReason == lastCrowded && (v == nil || v.full() > p.gain*c.last.full()) {
		return choice{server: c.last, reason: "cached-prefix"}
	}
	if v == nil {
		return p.fallback.choose(s, c)
	}
	return choice{server: v, reason: reason}
}

// lastCrowded is the suffix of the reason of a session that leaves an
// overloaded server.
const lastCrowded = "-last-crowded"

// mustMove returns why a session cannot stay on its last server, as a suffix
// of the reason of the decision. It returns an empty string if it can stay.
func (p prefixAffinity) mustMove(s *Scheduler, c *call) string {
	v := c.last
	switch {
	case v == nil:
		return "-new-here"
	case c.avoids(v):
		return "-last-failed"
	case !v.steady(s.now):
		return "-last-slow"
	case !c.pool.isOpen(v):
		return "-last-closed"
	case v.full() > p.stay:
		return lastCrowded
	default:
		return ""
	}
}

// home returns the home server of the session. If that one is unusable or
// above the utilisation limit, it returns the first usable server in the ranking
// of the prefix, or nil.
func (p prefixAffinity) home(s *Scheduler, c *call) *server {
	ranked := make([]rankedServer, 0, len(c.pool.members))
	for _, v := range c.pool.members {
		if v.available() {
			ranked = append(ranked, rankedServer{v, p.rank(c.Affinity, v)})
		}
	}
	slices.SortFunc(ranked, func(a, b rankedServer) int {
		if a.before(b.rank) {
			return -1
		}
		return 1
	})
	first := 0
	if n := min(p.homes, len(ranked)); n > 0 {
		first = int(c.Line % uint64(n))
	}
	usable := func(v *server) bool {
		return c.pool.isOpen(v) && v.full() <= p.crowded && v.steady(s.now) && c.runOn(v) == nil && !c.avoids(v)
	}
	if first < len(ranked) && usable(ranked[first].server) {
		return ranked[first].server
	}
	for _, r := range ranked {
		if usable(r.server) {
			return r.server
		}
	}
	return nil
}

type rankedServer struct {
	server *server
	rank
}

// lessFull returns the server with the lower utilisation of two random ones (the
// power of two choices). Load information is delayed: hosts that all chose the
// least loaded server would all choose the same one.
func (p prefixAffinity) lessFull(s *Scheduler, c *call) *server {
	var best *server
	for range 2 {
		if len(c.pool.open) == 0 {
			return nil
		}
		v := c.pool.open[s.random.IntN(len(c.pool.open))]
		if c.runOn(v) != nil || c.avoids(v) || !v.steady(s.now) {
			continue
		}
		if best == nil || v.full() < best.full() {
			best = v
		}
	}
	return best
}

// rank is the position of a server in the ranking of one prefix. Servers of the
// preferred data centre come first.
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

// rank computes a rendezvous hash: adding or removing a server only affects the
// prefixes that rank it among their home servers.
func (p prefixAffinity) rank(affinity uint64, v *server) rank {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], affinity)
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(v.ID)
	return rank{remote: p.local != "" && v.DataCentre != p.local, hash: d.Sum64()}
}

// full returns the estimated utilisation of the server with one more run.
func (v *server) full() float64 { return float64(v.inFlight+v.others+1) / float64(v.slots()) }

// steady reports whether the server is neither slow nor in backoff after a
// failure.
func (v *server) steady(now time.Duration) bool {
	return !v.speed.slow && now >= v.speed.heldUntil
}

func (p *pool) isOpen(v *server) bool {
	m := v.membershipOf(p)
	return m != nil && m.open >= 0
}

// SetOthers sets the number of runs of all other hosts by server ID. Servers
// that are missing from the map have none.
func (s *Scheduler) SetOthers(now time.Duration, runs map[string]int) {
	s.advance(now)
	for _, v := range s.serverOrder {
		if n := runs[v.ID]; n != v.others {
			v.others = n
			s.refresh(v)
		}
	}
}

// Runs returns the number of runs of this host by server ID. Servers without
// runs are left out.
func (s *Scheduler) Runs() map[string]int {
	out := map[string]int{}
	for _, v := range s.serverOrder {
		if v.inFlight > 0 {
			out[v.ID] = v.inFlight
		}
	}
	return out
}
