package replica

// Leading returns the term in which this replica leads the group, and false
// if it does not lead. A later term means that another replica may have led
// in between.
func (g *Group) Leading() (term uint64, ok bool) {
	term = g.leaderTerm.Load()
	return term, term != 0
}

// publishTerm publishes the term in which this replica leads.
func (g *Group) publishTerm() {
	term := uint64(0)
	if g.node.Role() == Leader {
		term = g.node.Term()
	}
	g.leaderTerm.Store(term)
}
