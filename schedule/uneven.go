package schedule

const (
	// unevenHomes is the number of home servers of a prefix in a pool of servers of
	// different speeds. With the three of other pools, all may be slow ones.
	unevenHomes = 6
	// unevenSamples is the number of random servers that are considered as well.
	unevenSamples = 2
	// ownTokenShare is the share of a prompt that is its own on a server that has
	// cached the shared prefix.
	ownTokenShare = 0.07
	// prefillWeight is the weight of a prefill, which delays other runs as well.
	prefillWeight = 2.0
	// unevenLoadWeight is the relative slowdown of a run on a fully utilised server.
	unevenLoadWeight = 1.5
	// stayBonus is the relative gain from which a session leaves its last server.
	stayBonus = 0.3
	// remotePenalty is the relative cost of a server of another data centre.
	remotePenalty = 0.5
)

// finishFirst chooses the server on which the call is expected to finish first,
// among the last one of its session, the home servers of its prefix and random
// ones.
//
// It answers servers of different speeds: homes are chosen regardless of speed, so
// that sessions on slow servers would take twice as long to their end while others
// are idle.
func (p prefixAffinity) finishFirst(s *Scheduler, c *call) choice {
	var best choice
	lowest := 0.0
	consider := func(v *server, uncached, factor float64, reason string) {
		if !c.pool.isEligible(v) || !v.healthy(s.now) || !c.mayRunOn(v) || c.avoids(v) {
			return
		}
		if cost := factor * c.expectedSeconds(v, uncached); best.server == nil || cost < lowest {
			best, lowest = choice{server: v, reason: reason}, cost
		}
	}
	factor := func(v *server) float64 {
		if p.localDataCentre != "" && v.DataCentre != p.localDataCentre {
			return 1 + remotePenalty
		}
		return 1
	}
	prompt := float64(c.PromptTokens)
	if v := c.lastServer; v != nil && c.pool.key.servedBy(&v.Server) {
		consider(v, 0, 1-stayBonus, "cached-prefix")
	}
	ranked := p.rank(c)
	n := min(unevenHomes, len(ranked))
	for i := range n {
		v := ranked[(int(c.Session%uint64(n))+i)%n].server
		consider(v, ownTokenShare*prompt, factor(v), "prefix-home-finish")
	}
	for range min(unevenSamples, len(c.pool.eligible)) {
		v := c.pool.eligible[s.random.IntN(len(c.pool.eligible))]
		consider(v, prompt, factor(v), "earliest-finish")
	}
	if best.server == nil {
		return p.fallback.choose(s, c)
	}
	return best
}

// expectedSeconds returns the expected time of the call on a server, in weighted
// seconds, with a number of prompt tokens that are not cached there.
func (c *call) expectedSeconds(v *server, uncached float64) float64 {
	k := c.pool.costs
	used := float64(v.inFlight+v.remoteInFlight) / float64(v.slots())
	decode := k.meanOutputTokens * k.secondsPerToken * (1 + unevenLoadWeight*used)
	wait := max(0, used-1) * k.meanRunSeconds
	return (prefillWeight*uncached*k.prefillPerToken + decode + wait) / v.relativeSpeed()
}
