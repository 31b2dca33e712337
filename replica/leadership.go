package replica

// Leading returns the term in which this replica leads the group, and false if
// it is not the leader. If the term has increased since an earlier call, another
// replica may have been leader in between.
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
