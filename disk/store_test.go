package disk_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoreline/sycamoreline/disk"
	"github.com/sycamoreline/sycamoreline/faults"
)

func open(t assert.TestingT, d *faults.Disk) (*disk.Store, disk.Recovered) {
	s, r, err := disk.Open(d, "data", "control-1", 7)
	assert.NilError(t, err)
	return s, r
}

func entry(index, term uint64) disk.Entry {
	return disk.Entry{Index: index, Term: term, UnixMillis: -5, Data: fmt.Appendf(nil, "%d/%d", index, term)}
}

// Guards against an entry, a vote or an identity that changes on reopening the
// store, and against replaced entries that reappear.
func TestReopen(t *testing.T) {
	d := faults.NewDisk()
	s, _ := open(t, d)
	h := disk.HardState{Term: 3, VoteID: "control-2", VoteIncarnation: 1 << 63}
	assert.NilError(t, s.Write(disk.Batch{HardState: &h, Entries: []disk.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}}))
	assert.NilError(t, s.Write(disk.Batch{Entries: []disk.Entry{entry(2, 3)}}))
	assert.NilError(t, s.Close())
	d.Crash(rand.New(rand.NewPCG(1, 1)))
	s, r, err := disk.Open(d, "data", "control-1", 8)
	assert.NilError(t, err)
	assert.Equal(t, r.Identity.Incarnation, uint64(7))
	assert.Equal(t, r.HardState, h)
	assert.DeepEqual(t, r.Entries, []disk.Entry{entry(1, 1), entry(2, 3)})
	assert.NilError(t, s.Close())
}

// Guards against a data folder being used by another replica.
func TestOpenOtherID(t *testing.T) {
	d := faults.NewDisk()
	open(t, d)
	_, _, err := disk.Open(d, "data", "control-2", 1)
	assert.ErrorContains(t, err, `belongs to replica "control-1"`)
}

// model is the state that a store must contain.
type model struct {
	hardState disk.HardState
	entries   []disk.Entry
	base      uint64
}

func (m model) with(b disk.Batch) model {
	if b.HardState != nil {
		m.hardState = *b.HardState
	}
	entries := slices.Clone(m.entries)
	for _, e := range b.Entries {
		entries = append(entries[:e.Index-m.base-1], e)
	}
	m.entries = entries
	return m
}

func (m model) equals(r disk.Recovered) bool {
	return m.hardState == r.HardState && m.base == r.Base.Index &&
		slices.EqualFunc(m.entries, r.Entries, func(a, b disk.Entry) bool {
			return a.Index == b.Index && a.Term == b.Term && string(a.Data) == string(b.Data)
		})
}

func drawBatch(t *rapid.T, m model) disk.Batch {
	var b disk.Batch
	if rapid.Bool().Draw(t, "vote") {
		b.HardState = &disk.HardState{Term: m.hardState.Term + 1, VoteID: "control-3", VoteIncarnation: 9}
	}
	last := m.base + uint64(len(m.entries))
	first := rapid.Uint64Range(m.base+1, last+1).Draw(t, "first")
	for i := range rapid.Uint64Range(0, 5).Draw(t, "entries") {
		b.Entries = append(b.Entries, entry(first+i, m.hardState.Term))
	}
	return b
}

// Guards against a crash that loses acknowledged writes, and against a torn
// write of which a part is recovered.
func TestCrashKeepsAcknowledgedWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := faults.NewDisk()
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		s, _ := open(t, d)
		var m model
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				s, m = crash(t, d, s, m, drawBatch(t, m), random)
			case 1:
				m = compact(t, s, m)
			default:
				b := drawBatch(t, m)
				assert.NilError(t, s.Write(b))
				m = m.with(b)
			}
		}
		d.Crash(random)
		_, r := open(t, d)
		assert.Assert(t, m.equals(r), "have %+v, want %+v", r, m)
	})
}

// crash simulates a power loss while a batch is written. It returns the reopened
// store and the state that it must contain: with or without the batch.
func crash(t *rapid.T, d *faults.Disk, s *disk.Store, m model, b disk.Batch, random faults.Random) (*disk.Store, model) {
	d.FailSync(true)
	if err := s.Write(b); err == nil {
		assert.Assert(t, b.HardState == nil && len(b.Entries) == 0)
	} else {
		assert.ErrorIs(t, err, disk.ErrStopped)
		d.FailSync(false)
		assert.ErrorIs(t, s.Write(disk.Batch{HardState: &m.hardState}), disk.ErrStopped)
	}
	d.FailSync(false)
	d.Crash(random)
	s, r := open(t, d)
	if complete := m.with(b); complete.equals(r) {
		return s, complete
	}
	assert.Assert(t, m.equals(r), "have %+v, want %+v", r, m)
	return s, m
}

func compact(t *rapid.T, s *disk.Store, m model) model {
	last := m.base + uint64(len(m.entries))
	index := rapid.Uint64Range(m.base, last).Draw(t, "base")
	term := m.hardState.Term
	if index > m.base {
		term = m.entries[index-m.base-1].Term
	}
	saveSnapshot(t, s, disk.SnapshotInfo{Index: index, Term: term}, "state")
	m.entries, m.base = m.entries[index-m.base:], index
	assert.NilError(t, s.Compact(disk.Base{Index: index, Term: term}, nil, m.entries))
	return m
}

func saveSnapshot(t assert.TestingT, s *disk.Store, info disk.SnapshotInfo, state string) disk.SnapshotInfo {
	w, err := s.CreateSnapshot(info)
	assert.NilError(t, err)
	_, err = io.WriteString(w, state)
	assert.NilError(t, err)
	info, err = w.Finish()
	assert.NilError(t, err)
	return info
}

// Guards against damage that is not detected or is taken for a torn write: in the
// identity, in a snapshot, or in the log before its last write.
func TestDamageIsReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := faults.NewDisk()
		s, _ := open(t, d)
		saveSnapshot(t, s, disk.SnapshotInfo{Index: 2, Term: 1}, "some state")
		for i := range uint64(4) {
			assert.NilError(t, s.Write(disk.Batch{Entries: []disk.Entry{entry(i+1, 1)}}))
		}
		end := d.Size("data/log")
		assert.NilError(t, s.Write(disk.Batch{Entries: []disk.Entry{entry(5, 1)}}))
		file := rapid.SampledFrom([]string{"data/log", "data/identity", "data/snapshot-0000000000000002"}).Draw(t, "file")
		size := d.Size(file)
		if file == "data/log" {
			size = end // damage to the last write is indistinguishable from a torn write
		}
		assert.Assert(t, d.Corrupt(file, rapid.IntRange(0, size-1).Draw(t, "offset")))
		_, _, err := disk.Open(d, "data", "control-1", 7)
		assert.ErrorIs(t, err, disk.ErrDamaged)
		assert.NilError(t, disk.SetAside(d, "data", 1))
		_, r, err := disk.Open(d, "data", "control-1", 8)
		assert.NilError(t, err)
		assert.Equal(t, r.Identity.Incarnation, uint64(8))
	})
}

// Guards against a write that cannot be retried after it failed on a full disk,
// and against earlier writes lost by the failure.
func TestFullDiskTakesTheWriteLater(t *testing.T) {
	d := faults.NewDisk()
	s, _ := open(t, d)
	assert.NilError(t, s.Write(disk.Batch{Entries: []disk.Entry{entry(1, 1)}}))
	d.SetCapacity(d.Used() + 10)
	b := disk.Batch{Entries: []disk.Entry{entry(2, 1)}}
	assert.ErrorIs(t, s.Write(b), disk.ErrFull)
	d.SetCapacity(0)
	assert.NilError(t, s.Write(b))
	d.Crash(rand.New(rand.NewPCG(1, 1)))
	_, r := open(t, d)
	assert.Equal(t, len(r.Entries), 2)
	assert.Equal(t, r.TornBytes, int64(0))
}

// Guards against a log that conflicts with the snapshot after a crash between
// finishing a received snapshot and replacing the log.
func TestSnapshotAboveLog(t *testing.T) {
	cases := []struct {
		name     string
		snapshot disk.SnapshotInfo
		entries  int
	}{
		{"log ends below", disk.SnapshotInfo{Index: 9, Term: 4}, 0},
		{"log differs", disk.SnapshotInfo{Index: 2, Term: 4}, 0},
		{"log agrees", disk.SnapshotInfo{Index: 2, Term: 1}, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := faults.NewDisk()
			s, _ := open(t, d)
			h := disk.HardState{Term: 5}
			assert.NilError(t, s.Write(disk.Batch{HardState: &h, Entries: []disk.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}}))
			info := saveSnapshot(t, s, c.snapshot, "received")
			for range 2 {
				d.Crash(rand.New(rand.NewPCG(1, 1)))
				var r disk.Recovered
				s, r = open(t, d)
				assert.Equal(t, len(r.Entries), c.entries)
				assert.Equal(t, r.HardState, h)
				assert.Equal(t, r.Snapshot.Index, info.Index)
			}
			f, err := s.OpenSnapshot(info)
			assert.NilError(t, err)
			state, err := io.ReadAll(f)
			assert.NilError(t, err)
			assert.Equal(t, string(state), "received")
			part, err := s.ReadChunk(info, 3, 100)
			assert.NilError(t, err)
			assert.Equal(t, string(part), "eived")
		})
	}
}

// Guards against differences between the operating system's file system and the
// in-memory one.
func TestOnRealFiles(t *testing.T) {
	dir := t.TempDir()
	s, _, err := disk.Open(disk.OS{}, dir, "control-1", 7)
	assert.NilError(t, err)
	assert.NilError(t, s.Write(disk.Batch{Entries: []disk.Entry{entry(1, 1), entry(2, 1)}}))
	saveSnapshot(t, s, disk.SnapshotInfo{Index: 1, Term: 1}, "state")
	assert.NilError(t, s.Compact(disk.Base{Index: 1, Term: 1}, nil, []disk.Entry{entry(2, 1)}))
	assert.NilError(t, s.Write(disk.Batch{Entries: []disk.Entry{entry(3, 1)}}))
	assert.NilError(t, s.Close())
	_, r, err := disk.Open(disk.OS{}, dir, "control-1", 8)
	assert.NilError(t, err)
	assert.Equal(t, r.Base.Index, uint64(1))
	assert.DeepEqual(t, r.Entries, []disk.Entry{entry(2, 1), entry(3, 1)})
	assert.NilError(t, disk.SetAside(disk.OS{}, dir, 7))
}
