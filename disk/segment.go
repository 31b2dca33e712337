package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
)

const (
	segmentPrefix = "segment-"
	// segmentBytes is the size from which on a segment gets no further records.
	segmentBytes = 4 << 20
	// syncBytes is the number of bytes after which the segments are synced.
	syncBytes = 1 << 20
	// sequenceBits is the size of the count in the number of a segment. The other
	// bits are random for each opening of a folder.
	sequenceBits = 24
	// finishesBeforeRemoval is the number of snapshots that must be finished before
	// the file of an expired segment is removed. The first of them may have been
	// captured before the segment expired.
	finishesBeforeRemoval = 2
	// finishesBeforeExpiry is the number of snapshots that must be finished after
	// Hold before a segment may expire. The first of them may have been captured
	// before the record was read.
	finishesBeforeExpiry = 2
)

// ErrExpired is returned for a record whose segment has expired.
var ErrExpired = errors.New("segment has expired")

// Ref locates a record in the segments of a data folder. Its checksum covers the
// position and the contents.
type Ref struct {
	Segment uint64 `json:"segment"`
	Offset  int64  `json:"offset"`
	Length  int    `json:"length"`
	Sum     uint32 `json:"sum"`
}

func (r Ref) end() int64 { return r.Offset + int64(r.Length) }

func recordChecksum(segment uint64, offset int64, data []byte) uint32 {
	return checksum(offset, binary.LittleEndian.AppendUint64(nil, segment), data)
}

// segment is a file of records. Its contents up to a length never change, but
// the file is emptied once all its records have expired.
type segment struct {
	file     File // nil if the segment has expired
	size     int64
	synced   int64
	live     int // records that were not released
	finishes int // snapshots finished since the segment expired
	// hold is the number of snapshots to be finished before the segment may expire.
	hold int
}

// Segments stores records beside the log and the snapshot of a replica. Records
// are durable once a snapshot is finished; those after it must be in the log. It
// is safe for concurrent use.
type Segments struct {
	fs  FS
	dir string

	// syncing is held through a sync and locked before mu. An error of fsync is
	// reported only once, so that a concurrent sync could miss it.
	syncing sync.Mutex

	mu       sync.Mutex
	segments map[uint64]*segment
	current  uint64 // segment that gets the next record; 0 for a new one
	next     uint64 // number of the next segment
	created  int    // files created
	named    int    // files created before the folder was last synced
	failed   error  // returned by all later syncs
	pins     int    // transfers that read the segments
	bytes    int64
	unsynced int64 // bytes appended since the last sync began
	// saved has the lengths of the segments as of the newest finished snapshot, and
	// savedIndex its index, or 0 if it was finished before the folder was opened.
	saved      map[uint64]int64
	savedIndex uint64
}

func segmentName(number uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, number) }

// openSegments opens the segments of a data folder. The upper bits of origin are
// those of the numbers of new segments.
func openSegments(fsys FS, dir string, origin uint64) (*Segments, error) {
	s := &Segments{fs: fsys, dir: dir, segments: map[uint64]*segment{}, next: origin>>sequenceBits<<sequenceBits | 1, saved: map[uint64]int64{}}
	names, err := fsys.List(dir)
	if err != nil {
		return nil, fmt.Errorf("list data folder: %w", err)
	}
	for _, n := range names {
		text, ok := strings.CutPrefix(n, segmentPrefix)
		number, err := strconv.ParseUint(text, 16, 64)
		if !ok || err != nil {
			continue
		}
		if err := s.add(number); err != nil {
			return nil, errors.Join(err, s.close())
		}
	}
	return s, nil
}

func (s *Segments) path(number uint64) string { return filepath.Join(s.dir, segmentName(number)) }

// add opens an existing segment.
func (s *Segments) add(number uint64) error {
	f, err := s.fs.Open(s.path(number))
	if err != nil {
		return fmt.Errorf("open segment: %w", err)
	}
	size, err := f.Size()
	if err != nil {
		return errors.Join(fmt.Errorf("open segment: %w", err), f.Close())
	}
	s.segments[number] = &segment{file: f, size: size, synced: size}
	s.bytes += size
	if size == 0 {
		s.expire(s.segments[number])
	}
	return nil
}

// Bytes returns the size of all segments.
func (s *Segments) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// SyncDue returns whether so much has been appended since the last sync that Sync
// should be called, without waiting for a snapshot. Otherwise, the sync before a
// snapshot would delay the writes to the log.
func (s *Segments) SyncDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unsynced >= syncBytes
}

// Sync makes all records durable. After an error, which wraps ErrStopped, all later
// syncs fail.
func (s *Segments) Sync() error {
	_, err := s.sync()
	return err
}

// Append writes a record without syncing it. After an error nothing is stored,
// and Append may be called again.
func (s *Segments) Append(data []byte) (Ref, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.segments[s.current]
	if g == nil || g.size >= segmentBytes {
		var err error
		if g, err = s.create(); err != nil {
			return Ref{}, fmt.Errorf("create segment: %w", err)
		}
	}
	if _, err := g.file.Write(data); err != nil {
		if truncateErr := g.file.Truncate(g.size); truncateErr != nil {
			s.current = 0 // the end of this file is not known
			if g.live == 0 {
				s.expire(g)
			}
		}
		return Ref{}, fmt.Errorf("write segment: %w", err)
	}
	r := Ref{Segment: s.current, Offset: g.size, Length: len(data), Sum: recordChecksum(s.current, g.size, data)}
	g.size += int64(len(data))
	g.live++
	s.bytes += int64(len(data))
	s.unsynced += int64(len(data))
	return r, nil
}

func (s *Segments) create() (*segment, error) {
	f, err := s.fs.Create(s.path(s.next))
	if err != nil {
		return nil, err
	}
	previous := s.current
	s.current = s.next
	s.next++
	s.created++
	g := &segment{file: f}
	s.segments[s.current] = g
	if old := s.segments[previous]; old != nil && old.live == 0 {
		s.expire(old)
	}
	return g, nil
}

// Read returns a record. Its error wraps ErrDamaged if the record does not match
// its checksum or its segment is missing, and ErrExpired if the segment has
// expired.
func (s *Segments) Read(r Ref) ([]byte, error) {
	f, err := s.file(r)
	if err != nil {
		return nil, err
	}
	data := make([]byte, r.Length)
	for {
		_, readErr := f.ReadAt(data, r.Offset)
		if readErr == nil && recordChecksum(r.Segment, r.Offset, data) == r.Sum {
			return data, nil
		}
		// The segment may have expired or been replaced during the read.
		current, err := s.file(r)
		if err != nil {
			return nil, err
		}
		if current == f {
			return nil, newDamagedRecordError(r, readErr)
		}
		f = current
	}
}

// file returns the file with a record.
func (s *Segments) file(r Ref) (File, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.segments[r.Segment]
	switch {
	case g == nil:
		return nil, fmt.Errorf("%w: %s is missing", ErrDamaged, segmentName(r.Segment))
	case g.file == nil:
		return nil, ErrExpired
	}
	return g.file, nil
}

func newDamagedRecordError(r Ref, err error) error {
	return errors.Join(fmt.Errorf("%w: %s offset %d does not match its checksum", ErrDamaged, segmentName(r.Segment), r.Offset), err)
}

// Release tells that a record is no longer used. A segment expires with its last
// record.
func (s *Segments) Release(r Ref) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.segments[r.Segment]
	if g == nil {
		return
	}
	if g.live--; g.live == 0 && r.Segment != s.current {
		s.expire(g)
	}
}

// Hold keeps a record readable, also after its release, until the log is no longer
// replayed from before now. It must be called before a command reads the record.
func (s *Segments) Hold(r Ref) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.segments[r.Segment]; g != nil {
		g.hold = finishesBeforeExpiry
	}
}

// expire empties a segment, unless it is held or a transfer reads the segments. The snapshot on
// disk may refer to it, so the empty file stays for now and tells that the segment
// is not lost.
func (s *Segments) expire(g *segment) {
	if s.pins > 0 || g.hold > 0 || g.file == nil {
		return
	}
	_ = g.file.Truncate(0) // otherwise the space is freed when the file is removed
	_ = g.file.Close()
	s.bytes -= g.size
	g.file, g.size, g.finishes = nil, 0, 0
}

// Retain declares that exactly the given records are used, those of a restored
// snapshot. It cuts segments after the last of them, which removes a torn or
// unsynced tail, and removes segments without any. On an error, which wraps
// ErrDamaged if a record is missing, nothing is changed.
func (s *Segments) Retain(refs []Ref) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	type use struct {
		live int
		end  int64
	}
	uses := map[uint64]use{}
	for _, r := range refs {
		g := s.segments[r.Segment]
		if g == nil || g.size > 0 && r.end() > g.size {
			return fmt.Errorf("%w: %s is missing or too short", ErrDamaged, segmentName(r.Segment))
		}
		u := uses[r.Segment]
		uses[r.Segment] = use{u.live + 1, max(u.end, r.end())}
	}
	s.current = 0 // another replica may have what followed the end of a cut segment
	if s.savedIndex == 0 {
		s.saved = map[uint64]int64{}
	}
	for number, g := range s.segments {
		u := uses[number]
		g.live, g.hold = u.live, 0
		switch {
		case g.live == 0 && s.pins == 0:
			if err := s.remove(number, g); err != nil {
				return err
			}
			continue
		case u.end < g.size && s.pins == 0:
			if err := g.file.Truncate(u.end); err != nil {
				return fmt.Errorf("cut segment: %w", err)
			}
			s.bytes -= g.size - u.end
			g.size, g.synced = u.end, min(g.synced, u.end)
		}
		if s.savedIndex == 0 {
			s.saved[number] = g.size
		}
	}
	return nil
}

func (s *Segments) remove(number uint64, g *segment) error {
	if g.file != nil {
		_ = g.file.Close()
		g.file = nil
		s.bytes -= g.size
	}
	delete(s.segments, number)
	if err := s.fs.Remove(s.path(number)); err != nil {
		return fmt.Errorf("remove segment: %w", err)
	}
	return nil
}

// sync makes all records durable, and returns the lengths of the segments. The
// disk is not accessed under the lock, so that Append does not wait for it. After a
// failure, all later syncs fail with ErrStopped, since unsynced records may be lost
// although a later sync of their file succeeds.
func (s *Segments) sync() (map[uint64]int64, error) {
	s.syncing.Lock()
	defer s.syncing.Unlock()
	s.mu.Lock()
	failed, created := s.failed, s.created
	sizes := make(map[uint64]int64, len(s.segments))
	var unsynced []*segment
	for number, g := range s.segments {
		sizes[number] = g.size
		if g.file != nil && g.synced < g.size {
			unsynced = append(unsynced, g)
		}
	}
	named := s.named == created
	s.unsynced = 0
	s.mu.Unlock()
	for _, g := range unsynced {
		failed = errors.Join(failed, s.syncSegment(g))
	}
	if failed == nil && !named {
		failed = s.fs.SyncDir(s.dir)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil && failed != nil {
		s.failed = fmt.Errorf("%w: sync segments: %w", ErrStopped, failed)
	}
	s.named = created
	return sizes, s.failed
}

func (s *Segments) syncSegment(g *segment) error {
	s.mu.Lock()
	f, size := g.file, g.size
	s.mu.Unlock()
	if f == nil {
		return nil
	}
	err := f.Sync()
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.file == nil {
		return nil // expired while it was synced
	}
	if err == nil {
		g.synced = max(g.synced, min(size, g.size)) // it may have been cut while it was synced
	}
	return err
}

// snapshotReceived records the lengths of the segments that were received with a
// snapshot.
func (s *Segments) snapshotReceived(index uint64, sizes map[uint64]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index >= s.savedIndex {
		s.saved, s.savedIndex = sizes, index
	}
}

// snapshotFinished records the lengths that sync returned for a snapshot, unless a
// newer one was finished or received before. It removes the files of expired segments to which no snapshot refers. Segments that
// are no longer held expire if they have no records.
func (s *Segments) snapshotFinished(index uint64, sizes map[uint64]int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index < s.savedIndex {
		return nil
	}
	s.saved, s.savedIndex = sizes, index
	for number, g := range s.segments {
		if g.file != nil {
			if g.hold = max(g.hold-1, 0); g.live == 0 && number != s.current {
				s.expire(g)
			}
			continue
		}
		if g.finishes++; g.finishes >= finishesBeforeRemoval {
			if err := s.remove(number, g); err != nil {
				return err
			}
		}
	}
	return nil
}

// segmentPart is the part of a segment to which a snapshot refers.
type segmentPart struct {
	number uint64
	bytes  int64
	file   File
}

// pin returns the segments of the newest snapshot. They are not changed until
// unpin is called.
func (s *Segments) pin() []segmentPart {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pins++
	var parts []segmentPart
	for number, size := range s.saved {
		if g := s.segments[number]; g != nil {
			parts = append(parts, segmentPart{number, min(size, g.size), g.file})
		}
	}
	return parts
}

func (s *Segments) unpin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pins--
	for number, g := range s.segments {
		if g.live == 0 && number != s.current {
			s.expire(g)
		}
	}
}

// adopt takes over a received file for a segment. A segment that is at least as
// long has the same contents. The segment is held until Retain is called with the
// records of the received state, which the present one does not count.
func (s *Segments) adopt(p segmentPart, temp string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.segments[p.number]; g != nil {
		if g.size >= p.bytes && g.file != nil {
			g.hold = finishesBeforeExpiry
			return s.fs.Remove(temp)
		}
		if g.file != nil {
			_ = g.file.Close()
			g.file = nil
			s.bytes -= g.size
		}
		delete(s.segments, p.number)
	}
	if err := s.fs.Rename(temp, s.path(p.number)); err != nil {
		return err
	}
	if err := s.add(p.number); err != nil {
		return err
	}
	s.segments[p.number].hold = finishesBeforeExpiry
	return nil
}

func (s *Segments) close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	for _, g := range s.segments {
		if g.file != nil {
			err = errors.Join(err, g.file.Close())
			g.file = nil
		}
	}
	return err
}
