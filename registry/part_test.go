package registry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoreline/sycamoreline/cborwire"
)

func testEntry(i int) Entry {
	return Entry{
		ID: fmt.Sprintf("i-%08x", i), Service: "service", Address: fmt.Sprint("10.0.0.1:", i), DataCentre: "dc", Slots: 24, State: Ready,
		StartedAt: 1_780_000_000_000, Sequence: 1,
	}
}

func partSize(p Part) int {
	n := 0
	for _, c := range p.Changes {
		n += c.size()
	}
	return n
}

// transferSimulation is a host that reads the table of one control host.
type transferSimulation struct {
	table       *Table
	view        *View
	incarnation uint64
	now         time.Duration
	entries     map[string]Entry // newest announcements
}

func newTransferSimulation() *transferSimulation {
	return &transferSimulation{table: New(1), view: NewView(), incarnation: 1, entries: map[string]Entry{}}
}

func (m *transferSimulation) announce(e Entry) {
	e.Sequence = m.entries[e.ID].Sequence + 1
	m.entries[e.ID] = e
	m.table.Announce(m.now, e)
}

// read transfers the next part. If lost is set, the part does not arrive.
func (m *transferSimulation) read(maxBytes int, lost bool) Part {
	p := m.table.Next(m.view.Position("c"), maxBytes)
	if !lost {
		m.view.Update("c", p)
	}
	return p
}

// restart replaces the control host by one that has received announcements of
// the given servers only.
func (m *transferSimulation) restart(entries []Entry) {
	m.incarnation++
	m.table = New(m.incarnation)
	for _, e := range entries {
		m.announce(e)
	}
}

// usable returns the usable servers of the table, from a single part.
func (m *transferSimulation) usable() map[string]Entry {
	v := NewView()
	v.Update("c", m.table.Next(Position{}, 1<<30))
	return withoutSequences(v.Servers())
}

// withoutSequences removes the sequence numbers, since renewals are not
// distributed.
func withoutSequences(servers map[string]Entry) map[string]Entry {
	for id, e := range servers {
		e.Sequence = 0
		servers[id] = e
	}
	return servers
}

// Guards against a view that differs from the table after the last part, a
// transfer without progress, parts of unbounded size, and usable servers that
// are taken out of use during a transfer. Parts are lost, servers change and the
// control host restarts meanwhile.
func TestTransferConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTransferSimulation()
		servers := rapid.IntRange(1, 60).Draw(t, "servers")
		for i := range servers {
			m.announce(testEntry(i))
		}
		sizes := rapid.IntRange(1, 4000)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, servers-1).Draw(t, "server")
			before := m.view.Servers()
			switch rapid.SampledFrom([]string{"announce", "leave", "restart server", "pass time", "restart", "read", "read", "read"}).Draw(t, "step") {
			case "announce":
				e := testEntry(i)
				e.State = rapid.SampledFrom([]State{Ready, Leaving}).Draw(t, "state")
				m.announce(e)
			case "leave":
				m.table.MarkGone(m.now, testEntry(i).ID, 0)
			case "restart server":
				e := testEntry(i)
				e.StartedAt += m.now.Milliseconds() + 1
				m.announce(e)
			case "pass time": // less than entryTTL in all steps together
				m.now += 2 * time.Second
				m.table.Expire(m.now)
			case "restart":
				var known []Entry
				for i := range servers {
					if e, ok := m.entries[testEntry(i).ID]; ok && rapid.Bool().Draw(t, "known") {
						known = append(known, e)
					}
				}
				m.restart(known)
			default:
				size := sizes.Draw(t, "size")
				p := m.read(size, rapid.Bool().Draw(t, "lost"))
				largest := 0
				for _, c := range p.Changes {
					largest = max(largest, c.size())
				}
				assert.Assert(t, partSize(p) <= size+largest, "%d bytes in a part of %d", partSize(p), size)
			}
			after, usable := m.view.Servers(), m.usable()
			for id := range before {
				_, remains := after[id]
				_, isUsable := usable[id]
				assert.Assert(t, remains || !isUsable, "%s was removed", id)
			}
		}
		size := sizes.Draw(t, "last size")
		for parts := 1; ; parts++ {
			assert.Assert(t, parts <= servers+1, "no end after %d parts", parts)
			if p := m.read(size, false); !p.HasGap() {
				break
			}
		}
		assert.DeepEqual(t, withoutSequences(m.view.Servers()), m.usable())
		assert.Equal(t, len(m.read(size, false).Changes), 0)
	})
}

// Guards against a change that is delivered only after the parts of a large
// transfer, and against changes that stop that transfer.
func TestChangeOvertakesTransfer(t *testing.T) {
	const servers, size = 1400, 4096
	tests := []struct {
		name    string
		changed func(part int) []int // the servers that leave after a part
	}{
		{"few changes", func(part int) []int { return []int{part * 31 % servers} }},
		{"many changes at once", func(part int) []int {
			var out []int
			for i := 0; part == 10 && i < servers/2; i++ {
				out = append(out, i*2)
			}
			return append(out, 1+part*2)
		}},
	}
	for _, tt := range tests {
		m := newTransferSimulation()
		for i := range servers {
			m.announce(testEntry(i))
		}
		parts := 0
		for p := m.read(size, false); p.HasGap(); p = m.read(size, false) {
			parts++
			changed := tt.changed(parts)
			for _, i := range changed {
				m.table.MarkGone(m.now, testEntry(i).ID, 0)
			}
			if len(changed) > 1 {
				continue
			}
			next := m.table.Next(m.view.Position("c"), size)
			assert.Assert(t, partSize(next) <= size+200)
			assert.Equal(t, next.Changes[0].ID, testEntry(changed[0]).ID, tt.name)
			assert.Equal(t, next.Changes[0].State, Gone)
		}
		assert.Assert(t, parts > 40 && parts < 150, "%s: %d parts", tt.name, parts)
		assert.DeepEqual(t, withoutSequences(m.view.Servers()), m.usable())
	}
}

// Guards against servers that disappear while the whole table of a restarted
// control host is being transferred, and against those that it no longer lists
// and that stay.
func TestRestartedControlHost(t *testing.T) {
	const size = 1000
	m := newTransferSimulation()
	for i := range 100 {
		m.announce(testEntry(i))
	}
	for m.read(size, false).HasGap() {
	}
	var remaining []Entry
	for i := range 90 {
		remaining = append(remaining, testEntry(i))
	}
	m.restart(remaining)
	p := m.read(size, false)
	assert.Assert(t, p.Full)
	for ; p.HasGap(); p = m.read(size, false) {
		assert.Equal(t, len(m.view.Servers()), 100)
	}
	assert.Equal(t, len(m.view.Servers()), 90)
}

// Guards against a second restart during a transfer that removes the servers
// received before it.
func TestControlHostRestartsDuringTransfer(t *testing.T) {
	const size = 1000
	m := newTransferSimulation()
	var all []Entry
	for i := range 100 {
		all = append(all, testEntry(i))
	}
	m.restart(all)
	for m.read(size, false).HasGap() {
	}
	for range 3 {
		m.restart(all)
		m.read(size, false)
		assert.Equal(t, len(m.view.Servers()), 100)
	}
	m.restart(nil)
	m.read(size, false)
	assert.Equal(t, len(m.view.Servers()), 0)
}

// Guards against a part for a host that is no longer a control host, which would
// add an incomplete table.
func TestPartOfRemovedSource(t *testing.T) {
	m := newTransferSimulation()
	for i := range 100 {
		m.announce(testEntry(i))
	}
	m.read(1000, false)
	late := m.table.Next(m.view.Position("c"), 1000)
	m.view.RemoveSource("c")
	assert.Assert(t, !m.view.Update("c", late))
	assert.Equal(t, m.view.Position("c"), Position{})
	assert.Equal(t, len(m.view.Servers()), 0)
}

// Guards against a size estimate that lets parts exceed their limit.
func TestChangeSize(t *testing.T) {
	long := testEntry(1)
	long.Service = string(make([]byte, 300))
	tests := []Change{
		{Entry: testEntry(1)},
		{Entry: Entry{ID: "i"}},
		{Entry: long, Expired: true},
		{Entry: Entry{ID: "i", Slots: 1 << 40, StartedAt: 1 << 50, Sequence: 1 << 40, State: Leaving}, Expired: true},
	}
	for _, c := range tests {
		encoded := len(cborwire.MustMarshal(c))
		assert.Assert(t, c.size() >= encoded-16 && c.size() <= encoded+32, "%d bytes encoded, estimated %d", encoded, c.size())
	}
}
