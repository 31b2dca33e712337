package disk

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
)

const (
	identityFile = "identity"
	logFile      = "log"
	damagedFile  = "damaged"
	tempSuffix   = ".tmp"
	// rewriteFrameBytes is the size from which on a frame gets no further entries
	// when the log is rewritten, which bounds the memory for it.
	rewriteFrameBytes = 1 << 20
	// maxKeptBuffer is the largest buffer for frames that is kept for the next write.
	maxKeptBuffer = 1 << 20
)

// ErrDamaged is wrapped by errors about a data folder with invalid or missing
// files, or one on which MarkDamaged was called. The replica may only rejoin its
// group as a new incarnation.
var ErrDamaged = errors.New("data folder is damaged")

// ErrStopped is wrapped by the error of a failed write or sync, unless that wraps
// ErrFull, and by the errors of all later writes: the contents of the file are
// unknown until it is read again after a restart.
var ErrStopped = errors.New("store stopped after a failed write")

// ErrFull is wrapped by the error of a Store.Write that failed for lack of space.
// Nothing was written, and the write may be retried.
var ErrFull = errors.New("disk is full")

// ErrCompacted is returned for an entry that the log no longer contains.
var ErrCompacted = errors.New("entry is not in the log")

// Option sets an optional property of a Store.
type Option func(*Store)

// WithSegments makes the store hold segments beside the log. origin is a random
// number.
func WithSegments(origin uint64) Option {
	return func(s *Store) { s.withSegments, s.origin = true, origin }
}

// WithEntriesOnDisk makes Open recover the commands of the log without their data,
// which LoadEntry reads.
func WithEntriesOnDisk() Option { return func(s *Store) { s.onDisk = true } }

// Identity identifies a replica and the incarnation of its data folder.
type Identity struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Checksum    uint32 `json:"checksum"`
}

// computeChecksum covers the incarnation, which takes the place of the frame
// offset, and the id.
func (i Identity) computeChecksum() uint32 {
	return checksum(int64(i.Incarnation), []byte(i.ID), nil)
}

// Recovered is the state read by Open.
type Recovered struct {
	Identity  Identity
	HardState HardState
	Base      Base
	Entries   []Entry
	Snapshot  SnapshotInfo
	// TornBytes is the size of the torn write truncated from the end of the log.
	TornBytes int64
}

// Store owns the data folder of one replica. Methods that change the log must
// be called by one goroutine at a time; the snapshot methods may be called
// concurrently with them.
type Store struct {
	fs           FS
	dir          string
	onDisk       bool
	withSegments bool
	origin       uint64    // of new segments
	segments     *Segments // or nil
	buffer       []byte    // reused for frames
	failed       error     // returned by all later writes
	hardState    HardState // last one written; kept when the log is rewritten

	ahead readAhead

	mu        sync.RWMutex // held to change the fields below
	log       File
	size      int64 // of the log in bytes
	base      uint64
	positions []position // of the entries after base
}

// Open opens the data folder dir. If the folder has no identity file, Open
// initialises it for the replica with the given id and incarnation; otherwise
// the folder keeps its incarnation.
func Open(fsys FS, dir, id string, incarnation uint64, opts ...Option) (*Store, Recovered, error) {
	s := &Store{fs: fsys, dir: dir}
	for _, f := range opts {
		f(s)
	}
	if err := fsys.MkdirAll(dir); err != nil {
		return nil, Recovered{}, fmt.Errorf("create data folder: %w", err)
	}
	if reason, err := s.readFile(damagedFile); err == nil {
		return nil, Recovered{}, fmt.Errorf("%w: %s", ErrDamaged, reason)
	}
	found, err := s.readIdentity()
	if errors.Is(err, fs.ErrNotExist) {
		found, err = s.create(id, incarnation)
	}
	if err != nil {
		return nil, Recovered{}, err
	}
	if found.ID != id {
		return nil, Recovered{}, fmt.Errorf("data folder belongs to replica %q, not %q", found.ID, id)
	}
	r, err := s.load()
	if err != nil {
		return nil, Recovered{}, errors.Join(err, s.Close())
	}
	r.Identity = found
	if s.withSegments {
		if s.segments, err = openSegments(fsys, dir, s.origin); err != nil {
			return nil, Recovered{}, errors.Join(err, s.Close())
		}
	}
	return s, r, nil
}

// Segments returns the segments beside the log, or nil. Retain must be called
// before they are used, also if there is no snapshot.
func (s *Store) Segments() *Segments { return s.segments }

// Bytes returns the size of the log and of the segments.
func (s *Store) Bytes() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	size := s.size
	if s.segments != nil {
		size += s.segments.Bytes()
	}
	return size
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

func (s *Store) readIdentity() (Identity, error) {
	data, err := s.readFile(identityFile)
	if err != nil {
		return Identity{}, err
	}
	var i Identity
	if err := json.Unmarshal(data, &i); err != nil || i.Checksum != i.computeChecksum() {
		return Identity{}, fmt.Errorf("%w: identity file does not match its checksum", ErrDamaged)
	}
	return i, nil
}

// create writes the log before the identity, so that an identity without a log
// shows that the log was lost.
func (s *Store) create(id string, incarnation uint64) (Identity, error) {
	if err := s.rewrite(Base{}, HardState{}, nil); err != nil {
		return Identity{}, err
	}
	i := Identity{ID: id, Incarnation: incarnation}
	i.Checksum = i.computeChecksum()
	data, err := json.Marshal(i)
	if err != nil {
		return Identity{}, err
	}
	if err := s.replaceFile(identityFile, data); err != nil {
		return Identity{}, fmt.Errorf("write identity: %w", err)
	}
	return i, nil
}

func (s *Store) readFile(name string) ([]byte, error) { return ReadFile(s.fs, s.path(name)) }

func (s *Store) replaceFile(name string, data []byte) error {
	return ReplaceFile(s.fs, s.path(name), data)
}

// ReadFile returns the contents of a file.
func ReadFile(fsys FS, path string) ([]byte, error) {
	f, err := fsys.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(f)
}

// ReplaceFile atomically replaces a file: it writes and syncs a temporary file,
// renames it and syncs the directory.
func ReplaceFile(fsys FS, path string, data []byte) error {
	f, err := fsys.Create(path + tempSuffix)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := fsys.Rename(path+tempSuffix, path); err != nil {
		return err
	}
	return fsys.SyncDir(filepath.Dir(path))
}

func (s *Store) load() (Recovered, error) {
	f, err := s.fs.Open(s.path(logFile))
	if errors.Is(err, fs.ErrNotExist) {
		return Recovered{}, fmt.Errorf("%w: the log is missing", ErrDamaged)
	}
	if err != nil {
		return Recovered{}, fmt.Errorf("open log: %w", err)
	}
	s.log = f
	size, err := f.Size()
	if err != nil {
		return Recovered{}, fmt.Errorf("read log: %w", err)
	}
	c, end, err := decodeLog(f, size, s.onDisk)
	if err != nil {
		return Recovered{}, err
	}
	torn := size - end
	if torn > 0 {
		if err := errors.Join(s.log.Truncate(end), s.log.Sync()); err != nil {
			return Recovered{}, fmt.Errorf("truncate torn write at the end of the log: %w", err)
		}
	}
	s.base, s.positions = c.base.Index, c.positions
	s.size, s.hardState = end, c.hardState
	snapshot, err := s.findSnapshot()
	if err != nil {
		return Recovered{}, err
	}
	r := Recovered{HardState: c.hardState, Base: c.base, Entries: c.entries, Snapshot: snapshot, TornBytes: torn}
	return r, s.reconcile(&r)
}

// decodeLog decodes the frames of a log and returns the resulting state and the
// end offset of the last valid frame. Each frame is synced before the next one
// is written, so that only the last one can be torn; an invalid frame before a
// valid one means that synced data was damaged.
func decodeLog(file io.ReaderAt, size int64, onDisk bool) (logContents, int64, error) {
	c := logContents{onDisk: onDisk}
	r := frameReader{file: file, size: size}
	for {
		payload, at, ok, err := r.next()
		if err != nil {
			return logContents{}, 0, fmt.Errorf("read log: %w", err)
		}
		if !ok {
			break
		}
		c.end = at + int64(len(payload))
		if err := c.decode(payload); err != nil {
			return logContents{}, 0, fmt.Errorf("%w: log offset %d: %w", ErrDamaged, at-frameHeaderBytes, err)
		}
	}
	if r.offset == 0 {
		return logContents{}, 0, fmt.Errorf("%w: the log has no valid first record", ErrDamaged)
	}
	if r.offset < size {
		torn, err := r.torn()
		if err != nil {
			return logContents{}, 0, fmt.Errorf("read log: %w", err)
		}
		if !torn {
			return logContents{}, 0, fmt.Errorf("%w: log offset %d: checksum mismatch before valid records", ErrDamaged, r.offset)
		}
	}
	return c, r.offset, nil
}

// LoadEntry returns an entry with its data, which it reads from the file of the
// log if Size is set. Its error wraps ErrCompacted if the log no longer contains
// the entry, and ErrDamaged if the data does not match its checksum. It may be
// called concurrently with all other methods.
func (s *Store) LoadEntry(e Entry) (Entry, error) {
	if e.Size == 0 {
		return e, nil
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if e.Index <= s.base || e.Index > s.base+uint64(len(s.positions)) {
		return e, fmt.Errorf("%w: index %d", ErrCompacted, e.Index)
	}
	p := s.positions[e.Index-s.base-1]
	data, err := s.ahead.read(s.log, s.size, p)
	if err != nil || p.length != e.Size {
		return e, errors.Join(fmt.Errorf("%w: log entry %d does not match its checksum", ErrDamaged, e.Index), err)
	}
	e.Data, e.Size = data, 0
	return e, nil
}

// Write appends a batch to the log and syncs it. After an error other than
// ErrFull, all later writes fail with ErrStopped.
func (s *Store) Write(b Batch) error {
	if s.failed != nil {
		return s.failed
	}
	if b.HardState == nil && len(b.Entries) == 0 {
		return nil
	}
	frame := append(s.buffer[:0], make([]byte, frameHeaderBytes)...)
	if b.HardState != nil {
		frame = appendHardState(frame, *b.HardState)
	}
	var positions []position
	for _, e := range b.Entries {
		frame = appendEntry(frame, e)
		positions = append(positions, newPosition(s.size+int64(len(frame)), e.Data))
	}
	sealFrame(frame, s.size)
	if s.buffer = frame; cap(frame) > maxKeptBuffer {
		s.buffer = nil
	}
	if _, err := s.log.Write(frame); err != nil {
		return s.writeFailed(err)
	}
	if err := s.log.Sync(); err != nil {
		return s.fail(fmt.Errorf("sync log: %w", err))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.size += int64(len(frame))
	for i, e := range b.Entries {
		s.positions = append(s.positions[:e.Index-s.base-1], positions[i])
	}
	if b.HardState != nil {
		s.hardState = *b.HardState
	}
	return nil
}

// writeFailed handles a failed write. If the disk is full, it truncates the
// partial write and the store remains usable, since the contents of the file
// are known again. All other errors stop the store.
func (s *Store) writeFailed(cause error) error {
	if !errors.Is(cause, syscall.ENOSPC) {
		return s.fail(fmt.Errorf("write log: %w", cause))
	}
	if err := s.log.Truncate(s.size); err != nil {
		return s.fail(fmt.Errorf("write log: %w", errors.Join(cause, err)))
	}
	return fmt.Errorf("%w: write log: %w", ErrFull, cause)
}

func (s *Store) fail(err error) error {
	if s.failed == nil {
		s.failed = fmt.Errorf("%w: %w", ErrStopped, err)
	}
	return s.failed
}

// rewrite replaces the log with one that starts at base. It reads the data of
// entries that have none from the old log.
func (s *Store) rewrite(base Base, h HardState, entries []Entry) error {
	f, err := s.fs.Create(s.path(logFile + tempSuffix))
	if err != nil {
		return s.fail(fmt.Errorf("rewrite log: %w", err))
	}
	size, positions, err := s.writeFrames(f, base, h, entries)
	if err == nil {
		err = f.Sync()
	}
	err = errors.Join(err, f.Close())
	if err == nil {
		err = s.fs.Rename(s.path(logFile+tempSuffix), s.path(logFile))
	}
	if err == nil {
		err = s.fs.SyncDir(s.dir)
	}
	if err != nil {
		return s.fail(fmt.Errorf("rewrite log: %w", err))
	}
	log, err := s.fs.Open(s.path(logFile))
	if err != nil {
		return s.fail(fmt.Errorf("reopen log: %w", err))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.log != nil {
		s.log.Close()
	}
	s.log, s.size, s.base, s.positions, s.hardState = log, size, base.Index, positions, h
	return nil
}

// writeFrames writes a log that starts at base. If it needs several frames, a frame
// with the hard state follows those with the entries, so that damage to an entry is
// not taken for a torn write.
func (s *Store) writeFrames(f File, base Base, h HardState, entries []Entry) (size int64, positions []position, err error) {
	frame := appendHardState(appendBase(make([]byte, frameHeaderBytes), base), h)
	flush := func() error {
		sealFrame(frame, size)
		_, err := f.Write(frame)
		size += int64(len(frame))
		frame = frame[:frameHeaderBytes]
		return err
	}
	for _, e := range entries {
		if len(frame) >= rewriteFrameBytes {
			if err := flush(); err != nil {
				return 0, nil, err
			}
		}
		if e, err = s.LoadEntry(e); err != nil {
			return 0, nil, err
		}
		frame = appendEntry(frame, e)
		positions = append(positions, newPosition(size+int64(len(frame)), e.Data))
	}
	several := size > 0
	if err := flush(); err != nil || !several {
		return size, positions, err
	}
	frame = appendHardState(frame, h)
	return size, positions, flush()
}

// Compact replaces the log with one that starts at base and contains the given
// entries. A snapshot at base or above must be durable. If h is nil, the hard
// state is unchanged.
func (s *Store) Compact(base Base, h *HardState, entries []Entry) error {
	if s.failed != nil {
		return s.failed
	}
	if h == nil {
		h = &s.hardState
	}
	return s.rewrite(base, *h, entries)
}

// MarkDamaged makes every later Open fail with ErrDamaged and the reason, until
// SetAside is called.
func (s *Store) MarkDamaged(reason string) error {
	return s.replaceFile(damagedFile, []byte(reason))
}

// Close closes the log and the segments. All completed writes to the log are
// already durable.
func (s *Store) Close() error {
	var err error
	if s.segments != nil {
		err = s.segments.close()
	}
	if s.log == nil {
		return err
	}
	err = errors.Join(err, s.log.Close())
	s.log = nil
	return err
}

// SetAside moves the files of a damaged or rolled-back data folder into a
// subfolder whose name ends with suffix, a random number, so that the next Open
// starts a new incarnation. Segments are removed, since they are large and other
// replicas have their records.
func SetAside(fsys FS, dir string, suffix uint64) error {
	names, err := fsys.List(dir)
	if err != nil {
		return err
	}
	slices.Sort(names)
	subfolder := filepath.Join(dir, fmt.Sprintf("damaged-%016x", suffix))
	if err := fsys.MkdirAll(subfolder); err != nil {
		return err
	}
	for _, n := range names {
		if isSegmentFile(n) {
			if err := fsys.Remove(filepath.Join(dir, n)); err != nil {
				return err
			}
		} else if isStoreFile(n) {
			if err := fsys.Rename(filepath.Join(dir, n), filepath.Join(subfolder, n)); err != nil {
				return err
			}
		}
	}
	return errors.Join(fsys.SyncDir(subfolder), fsys.SyncDir(dir))
}
