package replica

// Status describes a replica for operators.
type Status struct {
	ID          string  `json:"id"`
	Incarnation uint64  `json:"incarnation"`
	Role        string  `json:"role"`
	Term        uint64  `json:"term"`
	Leader      string  `json:"leader,omitempty"`
	Last        uint64  `json:"last"`   // index of the newest entry
	Stable      uint64  `json:"stable"` // index of the newest entry on the local disk
	Commit      uint64  `json:"commit"`
	First       uint64  `json:"first"`    // index of the oldest entry kept
	Snapshot    uint64  `json:"snapshot"` // index of the newest snapshot
	Members     Members `json:"members,omitempty"`
	// MembersCommitted is false while a membership change is under way.
	MembersCommitted bool `json:"members-committed"`
}

func (n *Node) status() *Status {
	return &Status{
		ID: n.Self.ID, Incarnation: n.Self.Incarnation, Role: n.role.String(), Term: n.hardState.Term, Leader: n.leader.ID,
		Last: n.log.last(), Stable: n.log.stable, Commit: n.commit, First: n.log.base.Index + 1, Snapshot: n.snapshot.Index,
		Members: n.members, MembersCommitted: n.membersIndex <= n.commit,
	}
}

// Status returns the state of the replica at its last timer tick.
func (g *Group) Status() Status {
	if s := g.status.Load(); s != nil {
		return *s
	}
	return Status{ID: g.config.ID, Role: Follower.String()}
}
