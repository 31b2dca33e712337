package schedule

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// prefixAffinity sends requests with the same shared prefix to the same few
// servers, and each line of turns to one of them, so that prompts are read once
// and stay cached. All hosts order the servers in the same way, without talking
// to each other.
//
// It answers a load of many programs over few long shared prompts: spread
// evenly, every server would read every prefix, and a line of turns that moves
// from host to host would be read anew each time.
type prefixAffinity struct {
	// homeServers is the number of servers that share the lines of one prefix.
	homeServers int
	// homeMaxUtilization is the occupancy from which work goes to the next server in the
	// order of the prefix: the prompts that others read delay each token.
	homeMaxUtilization float64
	// stayMaxUtilization is the occupancy up to which a line stays on its last server in any
	// case.
	stayMaxUtilization float64
	// moveMaxRatio is the occupancy of another server, as a part of that of the last one,
	// from which a line leaves a crowded server for it. A conversation that is
	// read anew takes as long as several turns and delays all other runs of its
	// new server: lines that leave for little keep all servers crowded.
	moveMaxRatio float64
	// localDataCentre is the data centre whose servers come first; empty for none.
	localDataCentre string
	// fallback chooses for requests without a prefix.
	fallback router
}

// WithPrefixAffinity groups requests by the first part of their prompt, on
// servers of the data centre first if it is given.
func WithPrefixAffinity(dataCentre string) Option {
	return func(s *Scheduler) {
		s.router = prefixAffinity{homeServers: 3, homeMaxUtilization: 0.35, stayMaxUtilization: 1.25, moveMaxRatio: 0.3, localDataCentre: dataCentre, fallback: s.router}
	}
}

func (p prefixAffinity) choose(s *Scheduler, c *call) choice {
	if c.Affinity == 0 {
		return p.fallback.choose(s, c)
	}
	moved := p.moveReason(s, c)
	if moved == "" {
		return choice{server: c.lastServer, reason: "cached-prefix"}
	}
	reason := "prefix-home" + moved
	v := p.home(s, c)
	if v == nil {
		reason = "less-full" + moved
		v = p.powerOfTwoChoices(s, c)
	}
	if moved == lastCrowdedSuffix && (v == nil || v.utilizationAfterNext() > p.moveMaxRatio*c.lastServer.utilizationAfterNext()) {
		return choice{server: c.lastServer, reason: "cached-prefix"}
	}
	if v == nil {
		return p.fallback.choose(s, c)
	}
	return choice{server: v, reason: reason}
}

// lastCrowdedSuffix is the end of the reason of a line that leaves a crowded server.
const lastCrowdedSuffix = "-last-crowded"

// moveReason returns why a line cannot stay on its last server, as the end of the
// decision's reason, or nothing if it can.
func (p prefixAffinity) moveReason(s *Scheduler, c *call) string {
	v := c.lastServer
	switch {
	case v == nil:
		return "-new-here"
	case c.avoids(v):
		return "-last-failed"
	case !v.healthy(s.now):
		return "-last-slow"
	case !c.pool.isEligible(v):
		return "-last-closed"
	case v.utilizationAfterNext() > p.stayMaxUtilization:
		return lastCrowdedSuffix
	default:
		return ""
	}
}

// home returns the server of the line among the first ones of its prefix, or
// the first of the others that is not crowded.
func (p prefixAffinity) home(s *Scheduler, c *call) *server {
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
	first := 0
	if n := min(p.homeServers, len(ranked)); n > 0 {
		first = int(c.Session % uint64(n))
	}
	usable := func(v *server) bool {
		return c.pool.isEligible(v) && v.utilizationAfterNext() <= p.homeMaxUtilization && v.healthy(s.now) && c.runOn(v) == nil && !c.avoids(v)
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
	affinityRank
}

// powerOfTwoChoices returns the less full one of two random servers. All hosts see the
// load of a moment ago: if each took the least loaded server, they would all
// take the same one.
func (p prefixAffinity) powerOfTwoChoices(s *Scheduler, c *call) *server {
	var best *server
	for range 2 {
		if len(c.pool.eligible) == 0 {
			return nil
		}
		v := c.pool.eligible[s.random.IntN(len(c.pool.eligible))]
		if c.runOn(v) != nil || c.avoids(v) || !v.healthy(s.now) {
			continue
		}
		if best == nil || v.utilizationAfterNext() < best.utilizationAfterNext() {
			best = v
		}
	}
	return best
}

// rankServer orders the servers for one prefix.
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

// rankServer is a rendezvous hash: a server that comes or goes moves only the
// prefixes that it is the first for.
func (p prefixAffinity) rankServer(affinity uint64, v *server) affinityRank {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], affinity)
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(v.ID)
	return affinityRank{remote: p.localDataCentre != "" && v.DataCentre != p.localDataCentre, hash: d.Sum64()}
}

// utilizationAfterNext is the part of the slots that all hosts have taken, counting one more
// run.
func (v *server) utilizationAfterNext() float64 { return float64(v.inFlight+v.remoteInFlight+1) / float64(v.slots()) }

// healthy returns whether the server works at its usual speed.
func (v *server) healthy(now time.Duration) bool {
	return !v.speed.slow && now >= v.speed.backoffUntil
}

func (p *pool) isEligible(v *server) bool {
	m := v.membershipOf(p)
	return m != nil && m.eligibleIndex >= 0
}

// SetRemoteInFlight sets the runs of all other hosts, by server. Servers that are not
// named have none.
func (s *Scheduler) SetRemoteInFlight(now time.Duration, runs map[string]int) {
	s.advance(now)
	for _, v := range s.serverOrder {
		if n := runs[v.ID]; n != v.remoteInFlight {
			v.remoteInFlight = n
			s.updateEligibility(v)
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
