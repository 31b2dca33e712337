package schedule

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// prefixAffinity sends requests with the same shared prefix to the same few
// home servers, and each session to one of them, so that the prefill is done
// once and the prefix cache is reused. All hosts of a data centre rank the
// servers in the same order, by a rendezvous hash and without communication.
//
// It is meant for many programs that share a few long prompts. If the requests
// were spread evenly, every server would prefill every prefix, and a session
// whose turns arrive at different hosts would be prefilled again on each turn.
type prefixAffinity struct {
	// homeServers is the number of home servers among which the sessions of one
	// prefix are distributed.
	homeServers int
	// homeMaxUtilisation is the highest utilisation, including the new run, at
	// which home chooses a server. Above it, the next server in the ranking of
	// the prefix is used, since the prefills of other runs delay each token.
	homeMaxUtilisation float64
	// stayMaxUtilisation is the utilisation, including the new run, up to which
	// a session stays on its last server, unless that server is slow, not
	// eligible or has failed.
	stayMaxUtilisation float64
	// moveMaxRatio is the highest ratio of the utilisation of another server to
	// that of the overloaded last server at which a session moves. Prefilling a
	// session again takes as long as several turns and delays all other runs of
	// the new server, so moves for a small gain would keep all servers
	// overloaded.
	moveMaxRatio float64
	// localDataCentre is the data centre whose servers are preferred; empty for
	// none.
	localDataCentre string
	// fallback chooses the server of requests without a prefix.
	fallback router
}

// WithPrefixAffinity routes requests by the first part of their prompt. Servers
// of dataCentre are preferred unless it is empty.
func WithPrefixAffinity(dataCentre string) Option {
	return func(s *Scheduler) {
		s.router = prefixAffinity{homeServers: 3, homeMaxUtilisation: 0.35, stayMaxUtilisation: 1.25, moveMaxRatio: 0.3, localDataCentre: dataCentre, fallback: s.router}
	}
}

func (p prefixAffinity) choose(s *Scheduler, c *call) choice {
	if c.Affinity == 0 {
		return p.fallback.choose(s, c)
	}
	if c.pool.uneven() {
		return p.finishFirst(s, c)
	}
	suffix := p.moveReason(s, c)
	if suffix == "" {
		return choice{server: c.lastServer, reason: "cached-prefix"}
	}
	reason := "prefix-home" + suffix
	v := p.home(s, c)
	if v == nil {
		reason = "less-full" + suffix
		v = p.powerOfTwoChoices(s, c)
	}
	if suffix == lastCrowdedSuffix && (v == nil || v.utilisationAfterNext() > p.moveMaxRatio*c.lastServer.utilisationAfterNext()) {
		return choice{server: c.lastServer, reason: "cached-prefix"}
	}
	if v == nil {
		return p.fallback.choose(s, c)
	}
	return choice{server: v, reason: reason}
}

// lastCrowdedSuffix is the suffix of the reason of a session that leaves an
// overloaded server.
const lastCrowdedSuffix = "-last-crowded"

// moveReason returns why a session should leave its last server, as a suffix of
// the reason of the decision. It returns an empty string if it should stay.
func (p prefixAffinity) moveReason(s *Scheduler, c *call) string {
	v := c.lastServer
	switch {
	case v == nil || !c.pool.key.servedBy(&v.Server):
		return "-new-here"
	case c.avoids(v):
		return "-last-failed"
	case !v.healthy(s.now):
		return "-last-slow"
	case !c.pool.isEligible(v) || !c.mayRunOn(v):
		return "-last-closed"
	case v.utilisationAfterNext() > p.stayMaxUtilisation:
		return lastCrowdedSuffix
	default:
		return ""
	}
}

// home returns the home server of the session. If that one is unusable, it
// returns the first usable server in the ranking of the prefix, or nil. Servers
// above homeMaxUtilisation are unusable.
func (p prefixAffinity) home(s *Scheduler, c *call) *server {
	ranked := p.rank(c)
	homeIndex := 0
	if n := min(p.homeServers, len(ranked)); n > 0 {
		homeIndex = int(c.Session % uint64(n))
	}
	usable := func(v *server) bool {
		return c.pool.isEligible(v) && v.utilisationAfterNext() <= p.homeMaxUtilisation && v.healthy(s.now) && c.mayRunOn(v) && !c.avoids(v)
	}
	if homeIndex < len(ranked) && usable(ranked[homeIndex].server) {
		return ranked[homeIndex].server
	}
	for _, r := range ranked {
		if usable(r.server) {
			return r.server
		}
	}
	return nil
}

// rank returns the available servers of the pool in the ranking of the prefix.
func (p prefixAffinity) rank(c *call) []rankedServer {
	ranked := make([]rankedServer, 0, len(c.pool.members))
	for _, v := range c.pool.members {
		if v.available() {
			ranked = append(ranked, rankedServer{v, p.rankServer(c.Affinity, v)})
		}
	}
	slices.SortFunc(ranked, func(a, b rankedServer) int {
		if a.before(b.affinityRank) {
			return -1
		}
		return 1
	})
	return ranked
}

type rankedServer struct {
	server *server
	affinityRank
}

// powerOfTwoChoices returns the server with the lower utilisation of two random
// eligible ones. It skips servers that are unhealthy, that the call avoids or
// on which it may not run, and returns nil if neither is usable. Load information is
// delayed: if every host chose the least loaded server, all would choose the
// same one.
func (p prefixAffinity) powerOfTwoChoices(s *Scheduler, c *call) *server {
	var best *server
	for range 2 {
		if len(c.pool.eligible) == 0 {
			return nil
		}
		v := c.pool.eligible[s.random.IntN(len(c.pool.eligible))]
		if !c.mayRunOn(v) || c.avoids(v) || !v.healthy(s.now) {
			continue
		}
		if best == nil || v.utilisationAfterNext() < best.utilisationAfterNext() {
			best = v
		}
	}
	return best
}

// affinityRank is the sort key of a server in the ranking of one prefix.
// Servers of the preferred data centre come first.
type affinityRank struct {
	remote bool
	hash   uint64
}

func (r affinityRank) before(o affinityRank) bool {
	if r.remote != o.remote {
		return o.remote
	}
	return r.hash > o.hash
}

// rankServer returns the rank of a server for a prefix. It uses a rendezvous
// hash: adding or removing a server only affects the prefixes that rank it
// among their home servers.
func (p prefixAffinity) rankServer(affinity uint64, v *server) affinityRank {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], affinity)
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(v.ID)
	return affinityRank{remote: p.localDataCentre != "" && v.DataCentre != p.localDataCentre, hash: d.Sum64()}
}

// utilisationAfterNext returns the estimated utilisation of the server with one
// more run.
func (v *server) utilisationAfterNext() float64 {
	return float64(v.inFlight+v.remoteInFlight+1) / float64(v.slots())
}

// healthy reports whether the server is neither slow nor in backoff after a
// failure.
func (v *server) healthy(now time.Duration) bool {
	return !v.speed.slow && now >= v.speed.backoffUntil
}

func (p *pool) isEligible(v *server) bool {
	m := v.membershipOf(p)
	return m != nil && m.eligibleIndex >= 0
}

// SetRemoteInFlight sets the number of runs of all other hosts by server ID.
// Servers that are missing from the map have none.
func (s *Scheduler) SetRemoteInFlight(now time.Duration, runs map[string]int) {
	s.advance(now)
	for _, v := range s.serverOrder {
		if n := runs[v.ID]; n != v.remoteInFlight {
			v.remoteInFlight = n
			s.updateEligibility(v)
		}
	}
}

// InFlight returns the number of runs of this host by server ID. Servers
// without runs are left out.
func (s *Scheduler) InFlight() map[string]int {
	out := map[string]int{}
	for _, v := range s.serverOrder {
		if v.inFlight > 0 {
			out[v.ID] = v.inFlight
		}
	}
	return out
}
