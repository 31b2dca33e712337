package cluster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoreline/sycamoreline/route"
)

// fetchSimulation runs a tableFetch against the tables of several control hosts
// in virtual time.
type fetchSimulation struct {
	now      time.Duration
	hosts    map[string]*tableUpdates
	table    *route.Table // newest acknowledged one
	fetch    *tableFetch
	bytes    int
	requests int
}

func newFetchSimulation(hosts int) *fetchSimulation {
	m := &fetchSimulation{hosts: map[string]*tableUpdates{}, fetch: newTableFetch("e1"), table: largeTable(1)}
	for i := range hosts {
		m.hosts[fmt.Sprint("c", i)] = &tableUpdates{}
	}
	m.publish(m.table)
	return m
}

// publish makes a table available on some hosts, by default on all.
func (m *fetchSimulation) publish(t *route.Table, hosts ...string) {
	m.table = t
	for id, u := range m.hosts {
		if len(hosts) == 0 {
			u.set(t)
		}
		for _, h := range hosts {
			if h == id {
				u.set(t)
			}
		}
	}
}

// change publishes a table in which one route differs.
func (m *fetchSimulation) change(random *rand.Rand, hosts ...string) {
	t := *m.table
	t.Version++
	t.Routes = append([]route.Route(nil), t.Routes...)
	i := random.IntN(len(t.Routes))
	t.Routes[i].Timeout += time.Millisecond
	m.publish(&t, hosts...)
}

func (m *fetchSimulation) offerAll() {
	for id, u := range m.hosts {
		if u.newest != nil {
			m.fetch.offer(id, u.newest.Version, id == "c0")
		}
	}
}

// step makes one request on a link with the given rate. The request fails if
// lost is set, or if it takes longer than its timeout.
func (m *fetchSimulation) step(t assert.TestingT, bytesPerSecond int, lost bool) bool {
	host, r, ok := m.fetch.next()
	if !ok {
		return false
	}
	m.requests++
	p, err := m.hosts[host].part(r)
	assert.NilError(t, err)
	took := 3*time.Millisecond + time.Duration(len(p.Data))*time.Second/time.Duration(bytesPerSecond)
	if lost || took > m.fetch.timeout() {
		m.now += m.fetch.timeout() + tableRetryDelay
		m.fetch.failed(host)
		return true
	}
	m.now += took
	m.bytes += len(p.Data)
	_, err = m.fetch.receive(host, p)
	assert.NilError(t, err)
	return true
}

// Guards against frequent changes that keep every version from arriving, on a
// link that needs seconds for the whole table and milliseconds for a change.
func TestTableFetchKeepsUpWithChanges(t *testing.T) {
	const interval, bytesPerSecond, changes = 300 * time.Millisecond, 100_000, 100
	m, random := newFetchSimulation(3), rand.New(rand.NewPCG(1, 2))
	m.offerAll()
	for m.step(t, bytesPerSecond, false) {
	}
	whole := m.bytes
	assert.Equal(t, m.fetch.version, m.table.Version)
	for i := range changes {
		start := m.now
		m.change(random)
		m.offerAll()
		for m.step(t, bytesPerSecond, false) {
		}
		assert.Assert(t, m.now-start < interval, "change %d", i)
		assert.Equal(t, m.fetch.version, m.table.Version)
	}
	assert.Assert(t, m.bytes < 2*whole, "%d bytes for the whole table, %d with all changes", whole, m.bytes)
}

// Guards against a transfer of the whole table that starts again whenever the
// table changes or a control host fails.
func TestTableFetchCompletesDuringChanges(t *testing.T) {
	m, random := newFetchSimulation(3), rand.New(rand.NewPCG(1, 2))
	for i := 0; m.fetch.version == 0; i++ {
		assert.Assert(t, i < 100, "no table after %d requests", i)
		m.offerAll()
		m.step(t, 60_000, i%4 == 3)
		m.change(random)
	}
	assert.Assert(t, m.bytes < 500_000, "%d bytes", m.bytes)
}

// Guards against a link so slow that no part arrives within the first timeout.
func TestTableFetchOnVerySlowLink(t *testing.T) {
	m := newFetchSimulation(1)
	m.offerAll()
	for i := 0; m.step(t, tablePartBytes, false); i++ {
		assert.Assert(t, i < 100, "no table after %d requests", i)
	}
	assert.Equal(t, m.fetch.version, m.table.Version)
}

// Guards against a table that differs from the one acknowledged, and against
// one that reverts to an older version, when requests are lost, control hosts
// lag behind and updates are discarded.
func TestTableFetchConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newFetchSimulation(3)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		before := int64(0)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "action") {
			case 0:
				m.change(random, "c0", "c1")
			case 1:
				m.change(random, "c1", "c2")
			case 2:
				m.offerAll()
			case 3:
				m.fetch.withdraw(rapid.SampledFrom([]string{"c0", "c1", "c2"}).Draw(rt, "host"))
			case 4:
				u := m.hosts[rapid.SampledFrom([]string{"c0", "c1", "c2"}).Draw(rt, "restarted")]
				u.encoded, u.earlier = nil, nil
			default:
				m.step(rt, 100_000, rapid.Bool().Draw(rt, "lost"))
			}
			assert.Assert(rt, m.fetch.version >= before)
			before = m.fetch.version
		}
		m.offerAll()
		for m.step(rt, 100_000, false) {
		}
		assert.Equal(rt, m.fetch.version, m.table.Version)
		assert.Equal(rt, len(route.Diff(m.fetch.base, m.table).Routes), 0)
	})
}

// Guards against tables so large that no earlier one is kept, so that every
// change transfers the whole table.
func TestChangesOfLargestTables(t *testing.T) {
	var u tableUpdates
	table := &route.Table{Version: 1}
	for i := range maxEarlierRoutes + 1 {
		table.Routes = append(table.Routes, route.Route{Host: "h", Prefix: fmt.Sprint("/", i, "/")})
	}
	u.set(table)
	whole, err := u.part(tablePartRequest{})
	assert.NilError(t, err)
	for v := range minEarlierTables {
		next := *table
		next.Version = int64(v + 2)
		u.set(&next)
		change, err := u.part(tablePartRequest{Base: 1})
		assert.NilError(t, err)
		assert.Assert(t, change.Size < whole.Size/100, "%d of %d bytes for version %d", change.Size, whole.Size, next.Version)
	}
}
