package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"hash/crc32"
	"io"
	"strings"
)

const (
	snapshotPrefix = "snapshot-"
	// snapshotTrailerBytes is the size of the trailer of a snapshot file. The file
	// contains the state, the info as a base record, and a trailer with the length
	// of the info and the checksum of the state and the info.
	snapshotTrailerBytes = 8
)

// SnapshotInfo describes a snapshot and its position in the log. Index 0 means
// that there is none.
type SnapshotInfo struct {
	Index   uint64
	Term    uint64
	Members []byte // encoded membership in effect at Index
	Bytes   int64  // size of the state machine's state
}

// SnapshotWriter writes one snapshot file. It does not access the log, so that
// it may be used concurrently with the rest of the store.
type SnapshotWriter struct {
	store *Store
	temp  string
	file  File
	sum   hash.Hash32
	info  SnapshotInfo
	// received splits a snapshot of another replica, if it has segments.
	received *receiver
}

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

func isStoreFile(name string) bool {
	return name == identityFile || name == logFile || name == damagedFile || strings.HasPrefix(name, snapshotPrefix) || strings.HasSuffix(name, tempSuffix)
}

func isSegmentFile(name string) bool { return strings.HasPrefix(name, segmentPrefix) }

// CreateSnapshot starts writing a snapshot of the local state machine.
func (s *Store) CreateSnapshot(info SnapshotInfo) (*SnapshotWriter, error) {
	return s.createSnapshot(info, "local"+tempSuffix)
}

// ReceiveSnapshot starts writing a snapshot received from another replica, with
// the bytes of a Transfer.
func (s *Store) ReceiveSnapshot(info SnapshotInfo) (*SnapshotWriter, error) {
	w, err := s.createSnapshot(info, "received"+tempSuffix)
	if err == nil && s.segments != nil {
		w.received = &receiver{store: s}
	}
	return w, err
}

func (s *Store) createSnapshot(info SnapshotInfo, temp string) (*SnapshotWriter, error) {
	f, err := s.fs.Create(s.path(temp))
	if err != nil {
		return nil, fmt.Errorf("create snapshot: %w", err)
	}
	info.Bytes = 0
	return &SnapshotWriter{store: s, temp: temp, file: f, sum: crc32.New(castagnoli), info: info}, nil
}

// Write appends a part of the state machine's state, or of a Transfer.
func (w *SnapshotWriter) Write(data []byte) (int, error) {
	state := data
	if w.received != nil {
		var err error
		if state, err = w.received.take(data); err != nil {
			return 0, err
		}
	}
	n, err := w.file.Write(state)
	_, _ = w.sum.Write(state[:n])
	w.info.Bytes += int64(n)
	if err != nil {
		return n, fmt.Errorf("write snapshot: %w", err)
	}
	return len(data), nil
}

// Close discards the snapshot unless it was finished. The temporary file is
// removed by the next Open.
func (w *SnapshotWriter) Close() error {
	if w.file == nil {
		return nil
	}
	f := w.file
	w.file = nil
	if w.received != nil {
		return errors.Join(f.Close(), w.received.close())
	}
	return f.Close()
}

// Finish makes the snapshot durable under its final name and removes older
// ones. It does not change the log. The segments are synced before, so that all
// records to which the snapshot refers are durable.
func (w *SnapshotWriter) Finish() (SnapshotInfo, error) {
	s, info := w.store, w.info
	if w.received != nil {
		if err := w.received.finish(); err != nil {
			return SnapshotInfo{}, errors.Join(err, w.Close())
		}
	}
	var sizes map[uint64]int64
	if s.segments != nil {
		var err error
		if sizes, err = s.segments.sync(); err != nil {
			return SnapshotInfo{}, errors.Join(err, w.Close())
		}
	}
	footer := appendBase(nil, Base{Index: info.Index, Term: info.Term, Members: info.Members})
	_, _ = w.sum.Write(footer)
	n := uint32(len(footer))
	footer = binary.LittleEndian.AppendUint32(footer, n)
	footer = binary.LittleEndian.AppendUint32(footer, w.sum.Sum32())
	_, err := w.file.Write(footer)
	if err == nil {
		err = w.file.Sync()
	}
	if err = errors.Join(err, w.Close()); err != nil {
		return SnapshotInfo{}, fmt.Errorf("finish snapshot: %w", err)
	}
	if err := s.fs.Rename(s.path(w.temp), s.path(snapshotName(info.Index))); err != nil {
		return SnapshotInfo{}, fmt.Errorf("rename snapshot: %w", err)
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return SnapshotInfo{}, fmt.Errorf("sync data folder: %w", err)
	}
	switch {
	case w.received != nil:
		s.segments.snapshotReceived(info.Index, w.received.sizes())
	case s.segments != nil:
		if err := s.segments.snapshotFinished(info.Index, sizes); err != nil {
			return SnapshotInfo{}, err
		}
	}
	return info, s.removeSnapshotsBefore(info.Index)
}

func (s *Store) removeSnapshotsBefore(index uint64) error {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return err
	}
	for _, n := range names {
		if strings.HasPrefix(n, snapshotPrefix) && n < snapshotName(index) {
			if err := s.fs.Remove(s.path(n)); err != nil {
				return err
			}
		}
	}
	return nil
}

// findSnapshot verifies and returns the newest snapshot, and removes temporary
// files.
func (s *Store) findSnapshot() (SnapshotInfo, error) {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return SnapshotInfo{}, fmt.Errorf("list data folder: %w", err)
	}
	var newest string
	for _, n := range names {
		switch {
		case strings.HasSuffix(n, tempSuffix):
			if err := s.fs.Remove(s.path(n)); err != nil {
				return SnapshotInfo{}, err
			}
		case strings.HasPrefix(n, snapshotPrefix) && n > newest:
			newest = n
		}
	}
	if newest == "" {
		return SnapshotInfo{}, nil
	}
	return s.checkSnapshot(newest)
}

// checkSnapshot reads a snapshot file and verifies its checksum and name.
func (s *Store) checkSnapshot(name string) (SnapshotInfo, error) {
	f, err := s.fs.Open(s.path(name))
	if err != nil {
		return SnapshotInfo{}, fmt.Errorf("open snapshot: %w", err)
	}
	defer f.Close()
	damaged := fmt.Errorf("%w: %s does not match its checksum", ErrDamaged, name)
	size, err := f.Size()
	if err != nil || size < snapshotTrailerBytes {
		return SnapshotInfo{}, errors.Join(damaged, err)
	}
	var trailer [snapshotTrailerBytes]byte
	if _, err := f.ReadAt(trailer[:], size-snapshotTrailerBytes); err != nil {
		return SnapshotInfo{}, errors.Join(damaged, err)
	}
	sum := crc32.New(castagnoli)
	if _, err := io.Copy(sum, io.NewSectionReader(f, 0, size-snapshotTrailerBytes)); err != nil {
		return SnapshotInfo{}, errors.Join(damaged, err)
	}
	n := int64(binary.LittleEndian.Uint32(trailer[:]))
	if sum.Sum32() != binary.LittleEndian.Uint32(trailer[4:]) || n > size-snapshotTrailerBytes {
		return SnapshotInfo{}, damaged
	}
	record := make([]byte, n)
	stateBytes := size - snapshotTrailerBytes - n
	if _, err := f.ReadAt(record, stateBytes); err != nil {
		return SnapshotInfo{}, errors.Join(damaged, err)
	}
	var c logContents
	if err := c.decode(record); err != nil || snapshotName(c.base.Index) != name {
		return SnapshotInfo{}, damaged
	}
	return SnapshotInfo{Index: c.base.Index, Term: c.base.Term, Members: c.base.Members, Bytes: stateBytes}, nil
}

// reconcile checks that there is no gap between the snapshot and the log. A
// crash between finishing a received snapshot and replacing the log leaves a
// log that ends before the snapshot or conflicts with it; reconcile then
// replaces the log.
func (s *Store) reconcile(r *Recovered) error {
	last := r.Base.Index + uint64(len(r.Entries))
	switch {
	case r.Snapshot.Index < r.Base.Index:
		return fmt.Errorf("%w: log starts after index %d but the snapshot is at %d", ErrDamaged, r.Base.Index, r.Snapshot.Index)
	case r.Snapshot.Index > last || r.termAt(r.Snapshot.Index) != r.Snapshot.Term:
		r.Base = Base{Index: r.Snapshot.Index, Term: r.Snapshot.Term, Members: r.Snapshot.Members}
		r.Entries = nil
		return s.rewrite(r.Base, r.HardState, nil)
	}
	return nil
}

func (r *Recovered) termAt(index uint64) uint64 {
	if index == r.Base.Index {
		return r.Base.Term
	}
	return r.Entries[index-r.Base.Index-1].Term
}

// OpenSnapshot opens the state in a snapshot for reading.
func (s *Store) OpenSnapshot(info SnapshotInfo) (io.ReadCloser, error) {
	f, err := s.fs.Open(s.path(snapshotName(info.Index)))
	if err != nil {
		return nil, fmt.Errorf("open snapshot: %w", err)
	}
	return struct {
		io.Reader
		io.Closer
	}{io.NewSectionReader(f, 0, info.Bytes), f}, nil
}

// ReadChunk reads up to size bytes of the state in a snapshot, from offset.
func (s *Store) ReadChunk(info SnapshotInfo, offset int64, size int) ([]byte, error) {
	f, err := s.fs.Open(s.path(snapshotName(info.Index)))
	if err != nil {
		return nil, fmt.Errorf("open snapshot: %w", err)
	}
	defer f.Close()
	data := make([]byte, min(int64(size), info.Bytes-offset))
	if _, err := f.ReadAt(data, offset); err != nil && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	return data, nil
}
