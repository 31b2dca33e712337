package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoreline/sycamoreline/disk"
	"github.com/sycamoreline/sycamoreline/faults"
)

// formedSim returns a simulated group with a leader and some committed entries.
func formedSim(t *rapid.T) (*sim, *simHost) {
	s := newSim(t)
	s.run(2 * time.Second)
	s.eachHost((*simHost).propose)
	s.run(time.Second)
	l := s.leader()
	if l == nil {
		s.failf("no leader: %s", s.describe())
	}
	return s, l
}

// follower returns a random host other than the leader.
func (s *sim) follower(l *simHost) *simHost {
	others := s.others(l)
	return others[rapid.IntRange(0, len(others)-1).Draw(s.t, "follower")]
}

func (s *sim) others(l *simHost) []*simHost {
	var hosts []*simHost
	for _, h := range s.hosts {
		if h != l {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func drawTime(t *rapid.T, label string, limit time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(limit)).Draw(t, label))
}

// Guards against a replica that increments the term while it is partitioned, in
// one direction or both, and forces an election when it reconnects.
func TestCutOffReplicaDoesNotDisturb(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, l := formedSim(t)
		f := s.follower(l)
		term := l.node.Term()
		if rapid.Bool().Draw(t, "one-way") {
			s.net.Cut(l.id, f.id)
		} else {
			s.net.Isolate(f.id, testIDs...)
		}
		s.run(3*time.Second + drawTime(t, "cut", 10*time.Second))
		l.propose()
		s.run(100 * time.Millisecond)
		s.net.Heal()
		s.run(3 * time.Second)
		assert.Equal(t, l.node.Role(), Leader)
		assert.Equal(t, l.node.Term(), term)
		assert.Equal(t, f.node.commit, l.node.commit)
	})
}

// Guards against a leader that keeps its role without a quorum, and against a
// fail-over that takes longer than 3 s.
func TestCutOffLeaderStepsDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, l := formedSim(t)
		s.net.Isolate(l.id, testIDs...)
		l.propose()
		l.read()
		s.run(simTiming.Election + simTiming.Heartbeat)
		assert.Assert(t, l.node.Role() != Leader)
		s.run(3*time.Second - simTiming.Election - simTiming.Heartbeat)
		newLeader := s.leader()
		assert.Assert(t, newLeader != nil && newLeader.node.commit >= newLeader.node.leaderState.termStart, s.describe())
		s.checkRecovery()
	})
}

// Guards against a stale read from a leader that resumes after it was frozen
// and replaced.
func TestFrozenLeaderServesNoStaleRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, l := formedSim(t)
		l.frozenUntil = s.now + 3*time.Second
		for range 30 {
			s.run(100 * time.Millisecond)
			s.eachHost((*simHost).propose)
		}
		s.checkRecovery()
	})
}

// Guards against a leader that blocks the group because its disk has stalled or
// is full.
func TestLeaderWithStalledDiskStepsDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, l := formedSim(t)
		if rapid.Bool().Draw(t, "full") {
			l.disk.SetCapacity(l.disk.Used() + rapid.IntRange(0, 20).Draw(t, "room"))
		} else {
			l.syncTime = time.Minute
		}
		l.propose()
		s.run(3 * time.Second)
		newLeader := s.leader()
		assert.Assert(t, newLeader != nil && newLeader != l, s.describe())
		newLeader.propose()
		s.run(time.Second)
		assert.Equal(t, newLeader.node.commit, newLeader.node.log.last())
		if l.node != nil {
			l.crash(0) // ends the slow write
		}
		s.checkRecovery()
	})
}

// Guards against a group that forms without all its initial members, and
// against one that forms although a member holds the log of an earlier group.
func TestFormationNeedsAllMembersEmpty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		late := s.hosts[rapid.IntRange(0, 2).Draw(t, "late")]
		holdsLog := rapid.Bool().Draw(t, "holds a log")
		if holdsLog {
			s.run(2 * time.Second)
			for _, h := range s.others(late) {
				h.crash(0)
				h.disk.Erase()
			}
		} else {
			late.crash(time.Hour)
		}
		s.leaders, s.committed, s.highestApplied = map[uint64]Ref{}, map[uint64]disk.Entry{}, 0
		s.run(5 * time.Second)
		assert.Assert(t, s.leader() == nil, s.describe())
		if !holdsLog {
			s.checkRecovery()
		}
	})
}

// Guards against a second group, formed by a delayed message from an
// incarnation whose disk was lost while the group formed.
func TestDiskLostDuringFormation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		s.net.Jitter, s.net.DuplicatePercent = 600*time.Millisecond, 30
		s.run(drawTime(t, "before", time.Second))
		h := s.hosts[max(0, rapid.IntRange(-3, 2).Draw(t, "host"))] // mostly the coordinator
		if s.highestApplied == 0 || s.othersComplete(h) {
			h.crash(drawTime(t, "down", 300*time.Millisecond))
			h.disk.Erase()
		}
		s.run(2 * time.Second)
		s.checkRecovery()
	})
}

// Guards against data loss or a stuck group when another disk is lost as soon
// as the replacement of the previous one is complete.
func TestSecondFailureRightAfterRepair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _ := formedSim(t)
		for range 3 {
			h := s.hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			h.crash(drawTime(t, "down", 2*time.Second))
			h.disk.Erase()
			s.eachHost((*simHost).propose)
			for start := s.now; !s.fullyReplicated(); {
				if s.now-start > 10*time.Second {
					s.failf("not fully replicated 10 s after a disk loss: %s", s.describe())
				}
				s.run(simTick)
			}
		}
		s.checkRecovery()
	})
}

// Guards against a replica whose disk was rolled back and whose vote elects a
// leader without the entries that it had acknowledged. The leader, which is the
// only other replica with these entries, is frozen for half an election timeout
// meanwhile.
func TestRolledBackDisk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, l := formedSim(t)
		behind := s.follower(l)
		rolledBack := s.others(l)[0]
		if rolledBack == behind {
			rolledBack = s.others(l)[1]
		}
		image := rolledBack.disk.Image()
		s.run(drawTime(t, "backup age", 2*time.Second))
		s.net.Isolate(behind.id, testIDs...)
		for range rapid.IntRange(1, 12).Draw(t, "proposals") {
			l.propose()
			s.run(20 * time.Millisecond)
		}
		rolledBack.crash(drawTime(t, "down", 100*time.Millisecond))
		rolledBack.disk.Restore(image)
		l.frozenUntil = s.now + simTiming.Election/2
		s.net.Heal()
		s.run(5 * time.Second)
		s.checkRecovery()
	})
}

// Guards against a leader whose disk was rolled back and whose vote elects a
// leader without the entries that it had counted. The follower that is the only
// other replica with these entries is frozen for half an election timeout
// meanwhile. The backup is older than the leadership, or of the same term.
func TestRolledBackLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, l := formedSim(t)
		images := map[*simHost]faults.Image{}
		for _, h := range s.hosts {
			images[h] = h.disk.Image()
		}
		if rapid.Bool().Draw(t, "elected after the backup") {
			out, ok := l.node.TransferLeadership(l.localTime())
			assert.Assert(t, ok)
			l.handle(out)
		}
		s.run(simTiming.Heartbeat + drawTime(t, "backup age", 2*time.Second))
		l = s.leader()
		behind := s.follower(l)
		current := s.others(l)[0]
		if current == behind {
			current = s.others(l)[1]
		}
		s.net.Isolate(behind.id, testIDs...)
		for range rapid.IntRange(1, 12).Draw(t, "proposals") {
			l.propose()
			s.run(20 * time.Millisecond)
		}
		s.run(simTiming.Heartbeat) // until the follower knows what the leader has counted
		l.crash(drawTime(t, "down", 100*time.Millisecond))
		l.disk.Restore(images[l])
		current.frozenUntil = s.now + simTiming.Election/2
		s.net.Heal()
		s.run(5 * time.Second)
		s.checkRecovery()
	})
}

// Guards against a leadership transfer that loses proposals or waits for an
// election timeout.
func TestHandOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, l := formedSim(t)
		l.propose()
		out, ok := l.node.TransferLeadership(l.localTime())
		assert.Assert(t, ok)
		l.handle(out)
		first, _ := l.node.Propose(l.localTime(), [][]byte{[]byte("late")})
		assert.Equal(t, first, uint64(0))
		s.run(100 * time.Millisecond)
		newLeader := s.leader()
		assert.Assert(t, newLeader != nil && newLeader != l, s.describe())
		s.checkRecovery()
	})
}
