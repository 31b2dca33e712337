package schedule

// queue is the queue of one pool. Each team has a queue of its own, ordered by
// rank; teams share the slots by weight.
type queue struct {
	teams   map[string]*teamQueue
	waiting []*teamQueue // teams with waiting calls
	// inFlight is the number of runs of all teams, and weight the sum of the
	// weights of the active teams, those with waiting calls or runs.
	inFlight int
	weight   float64
	length   int // waiting calls
	// teamShares is false if calls are ordered by rank alone, regardless of
	// their teams.
	teamShares bool
	// shared is true if teams share the servers of all hosts, see SetShares.
	shared bool
}

// teamQueue holds the waiting calls and the in-flight count of one team.
type teamQueue struct {
	weight       float64
	shares       *team
	calls        indexedHeap
	inFlight     int
	waitingIndex int // index in queue.waiting, or -1
}

// byUrgency is the order of the calls of one team.
func byUrgency(a, b *call) bool {
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	return byRank(a, b)
}

// byShare is the order of the next calls of two teams that share the servers. The
// teams within their share are equal, so that their calls go in order of arrival:
// least service first would move calls with little time left behind those of teams
// with less traffic.
func byShare(a, b *call) bool {
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	x, y := max(1, a.team.shares.excess), max(1, b.team.shares.excess)
	if x != y {
		return x < y
	}
	return byRank(a, b)
}

func byRank(a, b *call) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.serial < b.serial
}

func (q *queue) team(name string, weight float64) *teamQueue {
	t := q.teams[name]
	if t == nil {
		t = &teamQueue{weight: weight, waitingIndex: -1}
		t.calls.less = byUrgency
		t.calls.setIndex = func(c *call, i int) { c.queueIndex = i }
		if q.teams == nil {
			q.teams = map[string]*teamQueue{}
		}
		q.teams[name] = t
	}
	if t.weight != weight {
		if t.active() {
			q.weight += weight - t.weight
		}
		t.weight = weight
	}
	return t
}

func (t *teamQueue) active() bool { return t.inFlight > 0 || t.calls.len() > 0 }

// update applies f to a team and updates the totals of the queue.
func (q *queue) update(t *teamQueue, f func()) {
	wasActive, length := t.active(), t.calls.len()
	f()
	q.length += t.calls.len() - length
	if isActive := t.active(); isActive != wasActive {
		if isActive {
			q.weight += t.weight
		} else {
			q.weight -= t.weight
		}
	}
	q.updateWaiting(t)
}

// updateWaiting adds the team to the list of waiting teams or removes it.
func (q *queue) updateWaiting(t *teamQueue) {
	switch {
	case t.calls.len() > 0 && t.waitingIndex < 0:
		t.waitingIndex = len(q.waiting)
		q.waiting = append(q.waiting, t)
	case t.calls.len() == 0 && t.waitingIndex >= 0:
		last := len(q.waiting) - 1
		q.waiting[t.waitingIndex] = q.waiting[last]
		q.waiting[t.waitingIndex].waitingIndex = t.waitingIndex
		q.waiting = q.waiting[:last]
		t.waitingIndex = -1
	}
}

func (q *queue) push(c *call)   { q.update(c.team, func() { c.team.calls.push(c) }) }
func (q *queue) remove(c *call) { q.update(c.team, func() { c.team.calls.remove(c.queueIndex) }) }

func (q *queue) started(c *call) {
	q.inFlight++
	q.update(c.team, func() { c.team.inFlight++ })
}

func (q *queue) ended(c *call) {
	q.inFlight--
	q.update(c.team, func() { c.team.inFlight-- })
}

// next returns the team whose call runs next. Teams below their share of the
// slots in use come first, ordered by the rank of their calls. Teams above it
// follow, ordered by their runs per weight, so that they borrow only slots that
// no other team is entitled to.
func (q *queue) next() *teamQueue {
	var best *teamQueue
	for _, t := range q.waiting {
		if best == nil || q.before(t, best) {
			best = t
		}
	}
	return best
}

func (q *queue) before(a, b *teamQueue) bool {
	if q.shared {
		return byShare(a.calls.head(), b.calls.head())
	}
	if !q.teamShares {
		return byRank(a.calls.head(), b.calls.head())
	}
	belowA, belowB := q.belowShare(a), q.belowShare(b)
	if belowA != belowB {
		return belowA
	}
	if !belowA {
		useA, useB := float64(a.inFlight)/a.weight, float64(b.inFlight)/b.weight
		if useA != useB {
			return useA < useB
		}
	}
	return byRank(a.calls.head(), b.calls.head())
}

func (q *queue) belowShare(t *teamQueue) bool {
	return float64(t.inFlight)*q.weight < float64(q.inFlight+1)*t.weight
}
