package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/disk"
)

var testMembers = Members{{Ref: Ref{"a", 1}}, {Ref: Ref{"b", 2}}, {Ref: Ref{"c", 3}}}

// testNode returns node a of three. Its log contains the membership at index 1,
// followed by entries of the given terms.
func testNode(t *testing.T, terms ...uint64) *Node {
	entries := []disk.Entry{{Index: 1, Term: 1, Kind: disk.Membership, Data: testMembers.encode()}}
	for i, term := range terms {
		entries = append(entries, disk.Entry{Index: uint64(i) + 2, Term: term})
	}
	r := disk.Recovered{HardState: disk.HardState{Term: entries[len(entries)-1].Term}, Entries: entries}
	o := NodeOptions{Self: testMembers[0].Ref, Initial: []string{"a", "b", "c"}, Timing: simTiming, Random: rand.New(rand.NewPCG(1, 1))}
	n, err := NewNode(Now{}, o, r)
	assert.NilError(t, err)
	for _, x := range testMembers[1:] {
		n.Step(Now{}, Message{Kind: promiseReply, From: x.Ref, To: n.Self})
	}
	return n
}

// winElection makes the node win an election with b's vote.
func winElection(t *testing.T, n *Node) {
	at := Now{Elapsed: 2 * simTiming.Election}
	n.Tick(at)
	b := testMembers[1].Ref
	out := n.Step(at, Message{Kind: preVoteReply, From: b, To: n.Self, Term: n.Term() + 1})
	n.Persisted(at, out.Persist)
	n.Step(at, Message{Kind: voteReply, From: b, To: n.Self, Term: n.Term()})
	assert.Equal(t, n.Role(), Leader)
}

// Guards against committing an entry of an earlier term because a majority has
// it: a later leader may still replace it.
func TestCommitCountsOnlyOwnTerm(t *testing.T) {
	n := testNode(t, 2)
	winElection(t, n)
	b := testMembers[1].Ref
	n.Step(Now{Elapsed: 2 * simTiming.Election}, Message{Kind: appendReply, From: b, To: n.Self, Term: n.Term(), Index: 2})
	assert.Equal(t, n.Commit(), uint64(0))
	n.entriesStable(n.log.entries[2])
	n.Step(Now{Elapsed: 2 * simTiming.Election}, Message{Kind: appendReply, From: b, To: n.Self, Term: n.Term(), Index: 3})
	assert.Equal(t, n.Commit(), uint64(3))
}

// Guards against a membership change before the leader has committed an entry
// of its term: until then, an earlier change may be uncommitted.
func TestMembershipWaitsForOwnTerm(t *testing.T) {
	n := testNode(t, 2)
	winElection(t, n)
	at := Now{Elapsed: 2 * simTiming.Election}
	n.commit = 1
	n.Step(at, Message{Kind: join, From: Ref{"c", 4}, To: n.Self})
	n.Tick(at)
	assert.Equal(t, len(n.Members()), 3)
	n.commit = 3
	n.Tick(at)
	assert.Equal(t, len(n.Members()), 4)
}

// Guards against a vote by a replica that has no log, or that has restarted and
// not yet checked its state against the other replicas' records of its
// promises.
func TestNoVoteWithoutFullState(t *testing.T) {
	vote := Message{Kind: vote, From: testMembers[1].Ref, To: testMembers[0].Ref, Term: 9, Index: 99, LogTerm: 8}
	o := NodeOptions{Self: testMembers[0].Ref, Initial: []string{"a", "b", "c"}, Timing: simTiming, Random: rand.New(rand.NewPCG(1, 1))}
	empty, err := NewNode(Now{}, o, disk.Recovered{})
	assert.NilError(t, err)
	assert.Equal(t, len(empty.Step(Now{}, vote).AfterPersist), 0)
	restarted := testNode(t, 2)
	restarted.startPromiseCheck(Now{})
	assert.Equal(t, len(restarted.Step(Now{}, vote).AfterPersist), 0)
	assert.Equal(t, len(testNode(t, 2).Step(Now{}, vote).AfterPersist), 1)
}

// Guards against a replica that votes without having asked for the records of
// its promises, because it was stalled for an election timeout after its start.
func TestNoVoteBeforePromisesAreQueried(t *testing.T) {
	n := testNode(t, 2)
	n.startPromiseCheck(Now{})
	request := Message{Kind: vote, From: testMembers[1].Ref, To: n.Self, Term: 9, Index: 99, LogTerm: 8}
	stalled := Now{Elapsed: 2 * simTiming.Election}
	assert.Equal(t, len(n.Step(stalled, request).AfterPersist), 0)
	queries := 0
	for at := stalled; at.Elapsed < stalled.Elapsed+simTiming.Election; at.Elapsed += simTiming.Heartbeat {
		for _, m := range n.Tick(at).Immediate {
			if m.Kind == promiseQuery {
				queries++
			}
		}
		assert.Equal(t, len(n.Step(at, request).AfterPersist), 0)
	}
	assert.Equal(t, queries, 2*int(simTiming.Election/simTiming.Heartbeat))
	later := Now{Elapsed: stalled.Elapsed + simTiming.Election}
	assert.Equal(t, len(n.Step(later, request).AfterPersist), 1)
}

// Guards against a membership that stays in effect after its log entry was
// replaced.
func TestMembersRevertWithReplacedEntry(t *testing.T) {
	n := testNode(t, 2)
	larger := testMembers.with(Member{Ref: Ref{"d", 4}, Learner: true})
	b := testMembers[1].Ref
	m := Message{Kind: appendEntries, From: b, To: n.Self, Term: 3, Index: 2, LogTerm: 2}
	m.Entries = []disk.Entry{{Index: 3, Term: 3, Kind: disk.Membership, Data: larger.encode()}}
	n.Step(Now{}, m)
	assert.Equal(t, len(n.Members()), 4)
	m.Term, m.Entries = 4, []disk.Entry{{Index: 3, Term: 4, Kind: disk.NoOp}}
	n.Step(Now{}, m)
	assert.Equal(t, len(n.Members()), 3)
}

// Guards against counting votes and acknowledgements of an incarnation that is
// not a member, such as that of a host whose disk was lost.
func TestUnknownIncarnationIsNotCounted(t *testing.T) {
	n := testNode(t, 2)
	at := Now{Elapsed: 2 * simTiming.Election}
	n.Tick(at)
	for _, from := range []Ref{{"b", 77}, {"c", 78}} {
		n.Step(at, Message{Kind: preVoteReply, From: from, To: n.Self, Term: n.Term() + 1})
	}
	assert.Equal(t, n.Role(), PreCandidate)
	winElection(t, n)
	n.entriesStable(n.log.entries[2])
	n.Step(at, Message{Kind: appendReply, From: Ref{"b", 77}, To: n.Self, Term: n.Term(), Index: 3})
	assert.Equal(t, n.Commit(), uint64(0))
}

// Guards against a lost host with a full disk whose last level makes the leader refuse
// turns for as long as it is away.
func TestDiskLevelOfASilentFollowerDoesNotCount(t *testing.T) {
	n := testNode(t, 2)
	winElection(t, n)
	at := Now{Elapsed: 2 * simTiming.Election}
	n.SetDiskLevel(1)
	n.Step(at, Message{Kind: appendReply, From: testMembers[1].Ref, To: n.Self, Term: n.Term(), Index: 2, DiskLevel: 2})
	for _, c := range []struct {
		silent time.Duration
		want   int
	}{{0, 2}, {simTiming.Election - 1, 2}, {simTiming.Election, 1}} {
		assert.Equal(t, n.status(Now{Elapsed: at.Elapsed + c.silent}).DiskLevel, c.want)
	}
}
