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
	First       uint64  `json:"first"`    // index of the oldest entry in the log
	Snapshot    uint64  `json:"snapshot"` // index of the newest snapshot
	Members     Members `json:"members,omitempty"`
	// MembersCommitted is false while a membership change is in progress.
	MembersCommitted bool `json:"members-committed"`
	// DiskLevel is the highest level that SetDiskLevel was given on this replica or, on
	// a leader, on a follower that has replied within the election timeout.
	DiskLevel int `json:"disk-level,omitempty"`
}

// SetDiskLevel sets how scarce the disk of this replica is, from 0. Its meaning is the
// caller's.
func (n *Node) SetDiskLevel(level int) { n.diskLevel = level }

// highestDiskLevel leaves out followers that have not replied for an election timeout:
// a host that is lost with a full disk must not stop the group.
func (n *Node) highestDiskLevel(now Now) int {
	level := n.diskLevel
	if n.role == Leader {
		for r, p := range n.leaderState.progress {
			if n.active(now, r) {
				level = max(level, p.diskLevel)
			}
		}
	}
	return level
}

func (n *Node) status(now Now) *Status {
	return &Status{
		ID: n.Self.ID, Incarnation: n.Self.Incarnation, Role: n.role.String(), Term: n.hardState.Term, Leader: n.leader.ID,
		Last: n.log.last(), Stable: n.log.stable, Commit: n.commit, First: n.log.base.Index + 1, Snapshot: n.snapshot.Index,
		Members: n.members, MembersCommitted: n.membersIndex <= n.commit, DiskLevel: n.highestDiskLevel(now),
	}
}

// Status returns the state of the replica as of its last timer tick.
func (g *Group) Status() Status {
	if s := g.status.Load(); s != nil {
		return *s
	}
	return Status{ID: g.config.ID, Role: Follower.String()}
}
