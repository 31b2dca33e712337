package membership

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against late announcements that make a leaving server available again,
// or that bring back an incarnation that has left or was replaced.
func TestIncarnations(t *testing.T) {
	m := New()
	assert.Equal(t, m.ApplyCommand(1, announce("s", "1", false)).Server.Revision, int64(1))
	assert.Equal(t, m.ApplyCommand(1, announce("s", "1", false)).Revision, int64(1))
	m.ApplyCommand(1, announce("s", "1", true))
	assert.Assert(t, m.ApplyCommand(1, announce("s", "1", false)).Server.Leaving)
	m.ApplyCommand(2, expire(Member{ServerMember, "s", "1"}))
	assert.Equal(t, m.ApplyCommand(3, announce("s", "1", false)).Refusal.Reason, StaleIncarnation)
	assert.Assert(t, !m.Alive("s", "1"))
	assert.Assert(t, !m.ApplyCommand(3, announce("s", "2", false)).Server.Leaving)
	m.ApplyCommand(3, announce("s", "3", false))
	assert.Equal(t, m.ApplyCommand(4, announce("s", "2", false)).Refusal.Reason, StaleIncarnation)
	d := m.Difference(0)
	assert.Equal(t, len(d.Servers), 1)
	assert.Equal(t, d.Servers[0].Incarnation, "3")
}

// Guards against a lease that never expires, is renewed after its expiry, or is
// not extended by a new leader.
func TestLeases(t *testing.T) {
	m := New()
	host := Member{HostMember, "h", "1"}
	l := NewLeases(m, time.Second)
	assert.Assert(t, !l.Renew(0, host))
	m.ApplyCommand(1, join("h", "1"))
	assert.Assert(t, l.Renew(0, host))
	assert.Equal(t, len(l.Expired(time.Second-1)), 0)
	assert.DeepEqual(t, l.Expired(time.Second), []Member{host})
	assert.Assert(t, !l.Renew(time.Second, host))
	l.ExtendAll(2 * time.Second)
	assert.Equal(t, len(l.Expired(2*time.Second)), 0)
	assert.DeepEqual(t, l.Expired(3*time.Second), []Member{host})
	m.ApplyCommand(2, expire(host))
	assert.Equal(t, len(l.Expired(3*time.Second)), 0)
	m.ApplyCommand(3, join("h", "1"))
	assert.Assert(t, l.Renew(3*time.Second, host))
}

// Guards against a snapshot that loses state.
func TestSnapshotRestore(t *testing.T) {
	m := New()
	m.ApplyCommand(1, join("h", "1"))
	m.ApplyCommand(1, announce("s", "1", false))
	m.ApplyCommand(1, Command{ReportCrash: &ReportCrash{"s", "1", []string{"b", "a"}}})
	m.ApplyCommand(1, Command{Acquire: &Acquire{"r", "s", "h", "1"}})
	var first, second bytes.Buffer
	assert.NilError(t, m.Snapshot(&first))
	n := New()
	assert.NilError(t, n.Restore(bytes.NewReader(first.Bytes())))
	assert.NilError(t, n.Snapshot(&second))
	assert.Equal(t, first.String(), second.String())
	assert.DeepEqual(t, n.Difference(0), m.Difference(0))
}

func join(host, incarnation string) Command {
	return Command{Join: &Join{host, incarnation, "127.0.0.1:1", "dc-1"}}
}

func announce(server, incarnation string, leaving bool) Command {
	return Command{Announce: &Announcement{
		Server: server, Incarnation: incarnation, Address: "127.0.0.1:2", DataCentre: "dc-1",
		Kind: Engine, Leaving: leaving,
	}}
}

func expire(members ...Member) Command { return Command{Expire: &Expire{members}} }

// Guards against two owners of a resource at the same time, a fencing number that
// is used twice, and an owner that is not a member.
func TestAcquire(t *testing.T) {
	m := New(WithOrderLifetime(time.Second))
	acquire := func(host string) Result {
		return m.ApplyCommand(1, Command{Acquire: &Acquire{"r", "s", host, "1"}})
	}
	assert.Equal(t, acquire("h1").Refusal.Reason, UnknownHost)
	m.ApplyCommand(1, join("h1", "1"))
	m.ApplyCommand(1, join("h2", "1"))
	first := acquire("h1").Grant
	assert.Equal(t, first.Wait, int64(0))
	assert.DeepEqual(t, acquire("h1").Grant, first)
	held := acquire("h2")
	assert.Equal(t, held.Refusal.Reason, Held)
	assert.Equal(t, held.Grant.Host, "h1")
	m.ApplyCommand(1, Command{Yield: &Yield{"r", first.Fencing}})
	second := acquire("h2").Grant
	assert.Assert(t, second.Fencing > first.Fencing)
	m.ApplyCommand(1, Command{Yield: &Yield{"r", first.Fencing}}) // late
	assert.DeepEqual(t, acquire("h2").Grant, second)
	m.ApplyCommand(2, expire(Member{HostMember, "h2", "1"}))
	assert.Equal(t, acquire("h2").Refusal.Reason, UnknownHost)
	assert.Equal(t, acquire("h1").Grant.Wait, int64(1000))

	fenced := announce("s2", "1", false)
	fenced.Announce.Fencing = true
	m.ApplyCommand(2, fenced)
	m.ApplyCommand(2, join("h2", "1"))
	m.ApplyCommand(2, Command{Acquire: &Acquire{"r2", "s2", "h2", "1"}})
	m.ApplyCommand(2, expire(Member{HostMember, "h2", "1"}))
	r := m.ApplyCommand(2, Command{Acquire: &Acquire{"r2", "s2", "h1", "1"}})
	assert.Equal(t, r.Grant.Wait, int64(0))
}

// Guards against a replaced host incarnation that renews its lease, and against a
// host that has rejoined but cannot renew its lease.
func TestRenew(t *testing.T) {
	m := New()
	older, newer := Member{HostMember, "h", "1"}, Member{HostMember, "h", "2"}
	l := NewLeases(m, time.Second)
	m.ApplyCommand(1, join("h", "1"))
	assert.Assert(t, l.Renew(0, older))
	m.ApplyCommand(1, join("h", "2"))
	assert.Assert(t, l.Renew(0, newer))
	l.SetAppliedRevision(newer, 7)
	assert.Equal(t, l.Hosts()[1].AppliedRevision, int64(7))
	assert.Assert(t, !l.Renew(0, older))
	assert.Equal(t, m.Difference(0).Hosts, 2)
	assert.Equal(t, m.ApplyCommand(1, join("h", "1")).Refusal.Reason, StaleIncarnation)
	m.ApplyCommand(2, expire(newer))
	m.ApplyCommand(2, join("h", "2"))
	assert.Assert(t, l.Renew(2*time.Second, newer))
	assert.DeepEqual(t, l.Expired(2*time.Second), []Member{older})
}

// Guards against engine memory that is assumed lost while its server can still
// rejoin, or assumed held after it can no longer rejoin.
func TestAlive(t *testing.T) {
	m := New(WithRejoinWindow(time.Second))
	m.ApplyCommand(1, announce("s", "1", false))
	m.ApplyCommand(2, expire(Member{ServerMember, "s", "1"}))
	assert.Assert(t, m.Alive("s", "1"))
	m.ApplyCommand(900, announce("s", "1", false))
	assert.Assert(t, m.Alive("s", "1"))
	m.ApplyCommand(1000, expire(Member{ServerMember, "s", "1"}))
	m.ApplyCommand(2000, join("h", "1"))
	assert.Assert(t, !m.Alive("s", "1"))
	assert.Equal(t, m.ApplyCommand(2000, announce("s", "1", false)).Refusal.Reason, StaleIncarnation)
}

// Guards against suspects that never expire, and against clearing a suspect
// without including it in differences.
func TestSuspectsExpire(t *testing.T) {
	m := New(WithCrashRetention(time.Second, 10))
	m.ApplyCommand(0, Command{ReportCrash: &ReportCrash{"s", "1", []string{"a"}}})
	m.ApplyCommand(500, Command{ReportCrash: &ReportCrash{"s", "2", []string{"a", "b"}}})
	before := m.Difference(0)
	assert.Equal(t, before.Suspects[0].Crashes, 2)
	m.ApplyCommand(1000, join("h", "1"))
	d := m.Difference(before.Revision)
	assert.Equal(t, len(d.Suspects), 1)
	assert.Equal(t, d.Suspects[0].Crashes, 1)
	m.ApplyCommand(1500, join("h", "1"))
	assert.Equal(t, len(m.Answer(Query{Suspects: &SuspectsQuery{}}).Suspects), 0)
	assert.Equal(t, len(m.Difference(d.Revision).Suspects), 2)
}
