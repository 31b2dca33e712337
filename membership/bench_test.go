package membership

import (
	"fmt"
	"testing"
	"time"
)

func fill(hosts, servers int) *StateMachine {
	m := New()
	for i := range hosts {
		m.ApplyCommand(1, join(fmt.Sprint("h", i), "1"))
	}
	for i := range servers {
		m.ApplyCommand(1, announce(fmt.Sprint("s", i), "1", false))
	}
	return m
}

var benchSizes = []struct{ hosts, servers int }{{20, 23}, {330, 1_400}}

// BenchmarkHeartbeat measures the leader's work for the heartbeat of an entry host
// that is up to date, and its scans for expired leases and for the applied
// revision.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range benchSizes {
		m := fill(size.hosts, size.servers)
		l := NewLeases(m, time.Hour)
		l.ExtendAll(0)
		b.Run(fmt.Sprintf("hosts=%d/servers=%d", size.hosts, size.servers), func(b *testing.B) {
			b.ReportAllocs()
			members := make([]Member, size.hosts)
			for i := range members {
				members[i] = Member{HostMember, fmt.Sprint("h", i), "1"}
			}
			for i := 0; b.Loop(); i++ {
				member := members[i%size.hosts]
				if !l.Renew(time.Duration(i), member) {
					b.Fatal("not renewed")
				}
				l.SetAppliedRevision(member, int64(i))
				m.Difference(m.Revision())
			}
		})
		b.Run(fmt.Sprintf("expired/hosts=%d/servers=%d", size.hosts, size.servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				l.Expired(0)
			}
		})
		b.Run(fmt.Sprintf("in-force/hosts=%d/servers=%d", size.hosts, size.servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				l.inForceRevision = 0
				l.InForce(0, 1<<40)
			}
		})
	}
}

// BenchmarkAnnounce measures an announcement that changes the record of a server.
func BenchmarkAnnounce(b *testing.B) {
	for _, size := range benchSizes {
		m := fill(size.hosts, size.servers)
		b.Run(fmt.Sprintf("servers=%d", size.servers), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c := announce(fmt.Sprint("s", i%size.servers), "1", false)
				c.Announce.Slots = i + 1
				m.ApplyCommand(1, c)
			}
		})
	}
}

// BenchmarkDifference measures differences of several sizes.
func BenchmarkDifference(b *testing.B) {
	m := fill(330, 1_400)
	for _, size := range []int64{1, 10, 100, 1_000} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				m.Difference(m.Revision() - size)
			}
		})
	}
}
