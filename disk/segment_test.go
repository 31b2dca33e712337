package disk_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoreline/sycamoreline/disk"
	"github.com/sycamoreline/sycamoreline/faults"
)

func openSegments(t assert.TestingT, d *faults.Disk, dir string, origin uint64) (*disk.Store, disk.Recovered) {
	s, r, err := disk.Open(d, dir, "store-1", 7, disk.WithSegments(origin), disk.WithEntriesOnDisk())
	assert.NilError(t, err)
	return s, r
}

func appendRecord(t assert.TestingT, s *disk.Store, data []byte) disk.Ref {
	r, err := s.Segments().Append(data)
	assert.NilError(t, err)
	return r
}

func record(i, size int) []byte { return bytes.Repeat([]byte{byte(i + 1)}, size) }

// segmentFile returns the path of the segment with a record.
func segmentFile(dir string, r disk.Ref) string {
	return fmt.Sprintf("%s/segment-%016x", dir, r.Segment)
}

// Guards against a snapshot that refers to records which a crash loses, against torn
// records that stay in the segments, and against expired records that make a folder
// look damaged.
func TestSegmentsAfterACrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := faults.NewDisk()
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		s, _ := openSegments(t, d, "data", 1<<40)
		assert.NilError(t, s.Segments().Retain(nil))
		live, saved := map[disk.Ref]int{}, map[disk.Ref]int{}
		expired := map[disk.Ref]bool{}
		for i := range rapid.IntRange(1, 15).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				saveSnapshot(t, s, disk.SnapshotInfo{Index: uint64(i + 1), Term: 1}, "state")
				clear(saved)
				for r, n := range live {
					saved[r] = n
				}
			case 1:
				for r := range live {
					s.Segments().Release(r)
					delete(live, r)
					expired[r] = true
				}
			case 2:
				d.Crash(random)
				s, _ = openSegments(t, d, "data", uint64(i+2)<<40)
				var refs []disk.Ref
				clear(live)
				for r, n := range saved {
					refs = append(refs, r)
					live[r] = n
				}
				assert.NilError(t, s.Segments().Retain(refs))
			default:
				size := rapid.SampledFrom([]int{1, 17_000, 3 << 20}).Draw(t, "size")
				live[appendRecord(t, s, record(i, size))] = i
			}
			for r, n := range live {
				data, err := s.Segments().Read(r)
				if expired[r] && errors.Is(err, disk.ErrExpired) {
					continue // expired before the crash, and again when the log is replayed
				}
				assert.NilError(t, err)
				assert.Assert(t, bytes.Equal(data, record(n, r.Length)))
			}
		}
	})
}

// Guards against a segment that gets other records after its cut end than those that
// another replica has there.
func TestCutSegmentGetsNoRecords(t *testing.T) {
	d := faults.NewDisk()
	s, _ := openSegments(t, d, "data", 1<<40)
	kept := appendRecord(t, s, record(0, 100))
	appendRecord(t, s, record(1, 100))
	assert.NilError(t, s.Segments().Retain([]disk.Ref{kept}))
	next := appendRecord(t, s, record(2, 100))
	assert.Assert(t, next.Segment != kept.Segment)
}

// Guards against damaged records that are returned, and against damage that makes
// other records unreadable.
func TestBitRotInASegment(t *testing.T) {
	d := faults.NewDisk()
	s, _ := openSegments(t, d, "data", 1<<40)
	first, second := appendRecord(t, s, record(0, 100)), appendRecord(t, s, record(1, 100))
	assert.Assert(t, d.Corrupt(segmentFile("data", second), int(second.Offset)+7))
	_, err := s.Segments().Read(second)
	assert.ErrorIs(t, err, disk.ErrDamaged)
	_, err = s.Segments().Read(first)
	assert.NilError(t, err)
	moved := first
	moved.Offset++
	_, err = s.Segments().Read(moved)
	assert.ErrorIs(t, err, disk.ErrDamaged)
}

// Guards against a full disk that damages records, and against appends that fail for
// ever after it.
func TestFullDiskWhileARecordIsAppended(t *testing.T) {
	d := faults.NewDisk()
	s, _ := openSegments(t, d, "data", 1<<40)
	first := appendRecord(t, s, record(0, 100))
	d.SetCapacity(d.Used() + 50)
	_, err := s.Segments().Append(record(1, 100))
	assert.ErrorIs(t, err, syscall.ENOSPC)
	d.SetCapacity(0)
	second := appendRecord(t, s, record(2, 100))
	for i, r := range []disk.Ref{first, second} {
		data, err := s.Segments().Read(r)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(data, record(2*i, 100)))
	}
	assert.Equal(t, s.Segments().Bytes(), int64(200))
}

// Guards against appends that wait for a slow sync, and against a later sync that
// reports records as durable which a failed one has lost.
func TestSlowAndFailedSyncOfSegments(t *testing.T) {
	d := faults.NewDisk()
	s, _ := openSegments(t, d, "data", 1<<40)
	appendRecord(t, s, record(0, 100))
	started, release, done := make(chan struct{}), make(chan struct{}), make(chan error)
	d.BeforeOp(func(op string) {
		if op == "sync" {
			close(started)
			<-release
		}
	})
	go func() { done <- s.Segments().Sync() }()
	<-started
	appendRecord(t, s, record(1, 100))
	d.BeforeOp(nil)
	close(release)
	assert.NilError(t, <-done)
	d.FailSync(true)
	assert.ErrorIs(t, s.Segments().Sync(), disk.ErrStopped)
	d.FailSync(false)
	assert.ErrorIs(t, s.Segments().Sync(), disk.ErrStopped)
	w, err := s.CreateSnapshot(disk.SnapshotInfo{Index: 1, Term: 1})
	assert.NilError(t, err)
	_, err = w.Finish()
	assert.ErrorIs(t, err, disk.ErrStopped)
}

// Guards against a disk that was rolled back or has lost a segment, and whose
// snapshot is taken for complete.
func TestMissingSegmentIsDamage(t *testing.T) {
	for _, lose := range []string{"segment", "end"} {
		t.Run(lose, func(t *testing.T) {
			d := faults.NewDisk()
			s, _ := openSegments(t, d, "data", 1<<40)
			r := appendRecord(t, s, record(0, 100))
			saveSnapshot(t, s, disk.SnapshotInfo{Index: 1, Term: 1}, "state")
			file := segmentFile("data", r)
			if lose == "segment" {
				assert.NilError(t, d.Remove(file))
			} else {
				f, err := d.Open(file)
				assert.NilError(t, err)
				assert.NilError(t, f.Truncate(99))
			}
			s, _ = openSegments(t, d, "data", 2<<40)
			assert.ErrorIs(t, s.Segments().Retain([]disk.Ref{r}), disk.ErrDamaged)
			assert.NilError(t, disk.SetAside(d, "data", 1))
			assert.Equal(t, d.Size(file), 0)
		})
	}
}

// Guards against space that expired records keep, and against files of expired
// segments that stay for ever.
func TestExpiredSegmentsFreeTheirSpace(t *testing.T) {
	d := faults.NewDisk()
	s, _ := openSegments(t, d, "data", 1<<40)
	var refs []disk.Ref
	for i := range 4 {
		refs = append(refs, appendRecord(t, s, record(i, 4<<20)))
	}
	saveSnapshot(t, s, disk.SnapshotInfo{Index: 1, Term: 1}, "state")
	for _, r := range refs[:3] {
		s.Segments().Release(r)
	}
	assert.Equal(t, s.Segments().Bytes(), int64(4<<20))
	assert.Assert(t, d.Used() < 5<<20)
	// The next snapshot was captured before the records expired, and refers to them.
	saveSnapshot(t, s, disk.SnapshotInfo{Index: 2, Term: 1}, "state")
	assert.NilError(t, s.Close())
	s, _ = openSegments(t, d, "data", 2<<40)
	assert.NilError(t, s.Segments().Retain(refs))
	for _, r := range refs[:3] {
		s.Segments().Release(r)
	}
	for i := range uint64(2) {
		saveSnapshot(t, s, disk.SnapshotInfo{Index: i + 3, Term: 1}, "state")
	}
	names, err := d.List("data")
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(strings.Join(names, " "), "segment-"), 1)
}

// Guards against a replay that can't read a record which a command has read after the
// snapshot, since its segment was emptied before the next one.
func TestHeldRecordOutlivesItsRelease(t *testing.T) {
	d := faults.NewDisk()
	s, _ := openSegments(t, d, "data", 1<<40)
	r := appendRecord(t, s, record(0, 4<<20))
	appendRecord(t, s, record(1, 100))
	saveSnapshot(t, s, disk.SnapshotInfo{Index: 1, Term: 1}, "state")
	replay := func() {
		s.Segments().Hold(r)
		data, err := s.Segments().Read(r)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(data, record(0, 4<<20)))
		s.Segments().Release(r)
	}
	replay()
	assert.NilError(t, s.Close())
	s, _ = openSegments(t, d, "data", 2<<40)
	assert.NilError(t, s.Segments().Retain([]disk.Ref{r}))
	replay()
	for i, want := range []int64{4 << 20, 0} {
		saveSnapshot(t, s, disk.SnapshotInfo{Index: uint64(i + 2), Term: 1}, "state")
		assert.Equal(t, s.Segments().Bytes(), want)
	}
}

// Guards against a transfer that lacks records, also those that expire while it is
// sent, against a crash of the receiver before its end, and against a transfer of
// the state alone, from a replica without segments, that is not taken.
func TestTransferWithSegments(t *testing.T) {
	d := faults.NewDisk()
	from, _ := openSegments(t, d, "from", 1<<40)
	var refs []disk.Ref
	for i := range 3 {
		refs = append(refs, appendRecord(t, from, record(i, 3<<20)))
	}
	info := saveSnapshot(t, from, disk.SnapshotInfo{Index: 9, Term: 4}, "state")
	transfer := from.OpenTransfer(info)
	from.Segments().Release(refs[0])
	to, _ := openSegments(t, d, "to", 2<<40)
	receive(t, transfer, to, 3) // ends early
	d.Crash(rand.New(rand.NewPCG(1, 1)))
	from, _ = openSegments(t, d, "from", 3<<40)
	assert.NilError(t, from.Segments().Retain(refs))
	to, r := openSegments(t, d, "to", 4<<40)
	assert.Equal(t, r.Snapshot.Index, uint64(0))
	assert.NilError(t, to.Segments().Retain(nil))
	transfer = from.OpenTransfer(info)
	from.Segments().Release(refs[0])
	from.Segments().Release(refs[1])
	w := receive(t, transfer, to, 1<<30)
	received, err := w.Finish()
	assert.NilError(t, err)
	transfer.Close()
	assert.Equal(t, received.Bytes, int64(len("state")))
	f, err := to.OpenSnapshot(received)
	assert.NilError(t, err)
	state, err := io.ReadAll(f)
	assert.NilError(t, err)
	assert.Equal(t, string(state), "state")
	assert.NilError(t, to.Segments().Retain(refs))
	for i, r := range refs {
		data, err := to.Segments().Read(r)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(data, record(i, 3<<20)))
	}

	plain, _ := open(t, d)
	info = saveSnapshot(t, plain, disk.SnapshotInfo{Index: 10, Term: 4}, "inline")
	received, err = receive(t, plain.OpenTransfer(info), to, 1<<30).Finish()
	assert.NilError(t, err)
	assert.Equal(t, received.Bytes, int64(len("inline")))
}

// Guards against a received segment that is emptied before the state that uses it is
// restored, and against a transfer of a received snapshot with the segments of an older
// one that was finished after it.
func TestReceivedSegmentsBelongToTheirSnapshot(t *testing.T) {
	d := faults.NewDisk()
	from, _ := openSegments(t, d, "from", 1<<40)
	r := appendRecord(t, from, record(0, 100))
	transfer := from.OpenTransfer(saveSnapshot(t, from, disk.SnapshotInfo{Index: 9, Term: 1}, "state"))
	defer transfer.Close()
	to, _ := openSegments(t, d, "to", 2<<40)
	assert.NilError(t, to.Segments().Retain(nil))
	older, err := to.CreateSnapshot(disk.SnapshotInfo{Index: 5, Term: 1})
	assert.NilError(t, err)
	_, err = older.Finish()
	assert.NilError(t, err)
	older, err = to.CreateSnapshot(disk.SnapshotInfo{Index: 6, Term: 1})
	assert.NilError(t, err)
	pinned := to.OpenTransfer(disk.SnapshotInfo{Index: 5, Term: 1})
	received, err := receive(t, transfer, to, 1<<30).Finish()
	assert.NilError(t, err)
	pinned.Close() // empties segments without records
	_, err = older.Finish()
	assert.NilError(t, err)
	assert.NilError(t, to.Segments().Retain([]disk.Ref{r}))
	data, err := to.Segments().Read(r)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(data, record(0, 100)))

	appendRecord(t, to, record(1, 100)) // of another state than the received one
	again := to.OpenTransfer(received)
	defer again.Close()
	third, _ := openSegments(t, d, "third", 3<<40)
	_, err = receive(t, again, third, 1<<30).Finish()
	assert.NilError(t, err)
	assert.Equal(t, third.Segments().Bytes(), int64(100))
	assert.NilError(t, third.Segments().Retain([]disk.Ref{r}))
}

// Guards against a header from a peer whose lengths make the receiver panic.
func TestTransferWithNegativeLengths(t *testing.T) {
	negative := strings.Repeat("\xff", 8)
	for _, header := range []string{
		"\x00segment\x00\x00\x00\x00" + negative,
		"\x00segment\x01\x00\x00\x00" + strings.Repeat("\x01", 8) + negative + strings.Repeat("\x00", 8),
	} {
		to, _ := openSegments(t, faults.NewDisk(), "to", 1<<40)
		w, err := to.ReceiveSnapshot(disk.SnapshotInfo{Index: 1, Term: 1})
		assert.NilError(t, err)
		_, err = w.Write([]byte(header + "state"))
		assert.ErrorContains(t, err, "negative length")
		assert.NilError(t, w.Close())
	}
}

// receive passes up to a number of chunks of a transfer to a store.
func receive(t *testing.T, transfer *disk.Transfer, to *disk.Store, chunks int) *disk.SnapshotWriter {
	w, err := to.ReceiveSnapshot(transfer.Info())
	assert.NilError(t, err)
	offset := int64(0)
	for range chunks {
		// Chunks of odd sizes end within the header and between two parts.
		data, last, err := transfer.ReadChunk(offset, 7+int(offset)*3%(1<<20))
		assert.NilError(t, err)
		_, err = w.Write(data)
		assert.NilError(t, err)
		if offset += int64(len(data)); last {
			break
		}
	}
	return w
}

// Guards against entries whose data is only in the log and that change, or are lost,
// when the log is reopened, rewritten or damaged.
func TestEntriesOnDisk(t *testing.T) {
	d := faults.NewDisk()
	s, _ := openSegments(t, d, "data", 1<<40)
	large := func(i uint64) disk.Entry { return disk.Entry{Index: i, Term: 1, Data: record(int(i), 600_000)} }
	for i := range uint64(6) {
		assert.NilError(t, s.Write(disk.Batch{Entries: []disk.Entry{large(i + 1)}}))
	}
	s, r := openSegments(t, d, "data", 2<<40)
	saveSnapshot(t, s, disk.SnapshotInfo{Index: 2, Term: 1}, "state")
	check := func(entries []disk.Entry) {
		for _, e := range entries {
			assert.Assert(t, e.Data == nil && e.Bytes() == 600_000)
			loaded, err := s.LoadEntry(e)
			assert.NilError(t, err)
			assert.DeepEqual(t, loaded, large(e.Index))
		}
	}
	assert.Equal(t, len(r.Entries), 6)
	check(r.Entries)
	assert.NilError(t, s.Compact(disk.Base{Index: 2, Term: 1}, nil, r.Entries[2:]))
	check(r.Entries[2:])
	_, err := s.LoadEntry(r.Entries[1])
	assert.ErrorIs(t, err, disk.ErrCompacted)
	s, r = openSegments(t, d, "data", 3<<40)
	assert.Equal(t, len(r.Entries), 4)
	check(r.Entries)
	assert.Assert(t, d.Corrupt("data/log", d.Size("data/log")-2_000)) // in the last entry
	check(r.Entries[:1])                                              // so that the last one is not in the part read last
	_, err = s.LoadEntry(r.Entries[3])
	assert.ErrorIs(t, err, disk.ErrDamaged)
	_, _, err = disk.Open(d, "data", "store-1", 7)
	assert.ErrorIs(t, err, disk.ErrDamaged)
}
