package membership

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a server that comes back after it has left, and against a
// late announcement of a replaced incarnation.
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

// Guards against a lease that never runs out, is renewed after it has run
// out, or is lost in a leader change.
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
	l.Extend(2 * time.Second)
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
