package replica

import "time"

// Leading returns the term in which this replica leads the group, and false if
// it is not the leader. If the term has increased since an earlier call, another
// replica may have been leader in between.
func (g *Group) Leading() (term uint64, ok bool) {
	term = g.leaderTerm.Load()
	return term, term != 0
}

// LeadingSince returns the time since which this replica leads in its current
// term, or a later time. It is meaningful only if Leading returns true before and
// after it.
func (g *Group) LeadingSince() time.Time {
	if t := g.leaderSince.Load(); t != nil {
		return *t
	}
	return time.Now()
}

// publishTerm publishes the term in which this replica leads, and since when.
func (g *Group) publishTerm() {
	term := uint64(0)
	if g.node.Role() == Leader {
		term = g.node.Term()
	}
	if g.leaderTerm.Load() != term {
		now := time.Now()
		g.leaderSince.Store(&now)
		g.leaderTerm.Store(term)
	}
}
