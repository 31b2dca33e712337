package disk

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
)

// A snapshot with segments is transferred as a header, the state and the parts
// of the segments. The header has transferMagic, the number of segments, number
// and length of each, and the length of the state. A state in JSON never starts
// with the magic.
const (
	transferMagic       = "\x00segment"
	transferHeaderBytes = len(transferMagic) + 4
	transferPartBytes   = 16
	transferStateBytes  = 8
	// maxTransferParts bounds the memory for a header from another replica.
	maxTransferParts = 1 << 16
)

var errNegativeLength = errors.New("transfer has a negative length in its header")

// Transfer reads the newest snapshot and the segments to which it refers as one
// sequence of bytes, for another replica. It reads only what it is asked for.
type Transfer struct {
	store  *Store
	info   SnapshotInfo
	header []byte
	parts  []segmentPart
	bytes  int64
}

// OpenTransfer starts a transfer of the newest snapshot. Until Close, no segment
// is removed.
func (s *Store) OpenTransfer(info SnapshotInfo) *Transfer {
	t := &Transfer{store: s, info: info, bytes: info.Bytes}
	if s.segments == nil {
		return t
	}
	t.parts = s.segments.pin()
	slices.SortFunc(t.parts, func(a, b segmentPart) int { return cmp.Compare(a.number, b.number) })
	t.header = binary.LittleEndian.AppendUint32([]byte(transferMagic), uint32(len(t.parts)))
	for _, p := range t.parts {
		t.header = binary.LittleEndian.AppendUint64(t.header, p.number)
		t.header = binary.LittleEndian.AppendUint64(t.header, uint64(p.bytes))
		t.bytes += p.bytes
	}
	t.header = binary.LittleEndian.AppendUint64(t.header, uint64(info.Bytes))
	t.bytes += int64(len(t.header))
	return t
}

// Info returns the snapshot that is transferred.
func (t *Transfer) Info() SnapshotInfo { return t.info }

// Close ends the transfer.
func (t *Transfer) Close() {
	if t.store.segments != nil {
		t.store.segments.unpin()
	}
}

// ReadChunk returns up to size bytes from offset, and whether they are the last.
func (t *Transfer) ReadChunk(offset int64, size int) (data []byte, last bool, err error) {
	end := min(offset+int64(size), t.bytes)
	for at := offset; at < end; {
		var part []byte
		if part, err = t.read(at, int(end-at)); err != nil {
			return nil, false, err
		}
		data = append(data, part...)
		at += int64(len(part))
	}
	return data, end >= t.bytes, nil
}

// read returns bytes of the part that has the offset: of the header, the state or
// one segment.
func (t *Transfer) read(offset int64, size int) ([]byte, error) {
	if n := int64(len(t.header)); offset < n {
		return t.header[offset:min(offset+int64(size), n)], nil
	}
	offset -= int64(len(t.header))
	if offset < t.info.Bytes {
		return t.store.ReadChunk(t.info, offset, size)
	}
	offset -= t.info.Bytes
	for _, p := range t.parts {
		if offset >= p.bytes {
			offset -= p.bytes
			continue
		}
		data := make([]byte, min(int64(size), p.bytes-offset))
		if n, err := p.file.ReadAt(data, offset); n < len(data) {
			return nil, fmt.Errorf("read %s: %w", segmentName(p.number), err)
		}
		return data, nil
	}
	return nil, io.ErrUnexpectedEOF
}

// receiver splits a transfer into the state and segments, which it writes to
// temporary files.
type receiver struct {
	store     *Store
	pending   []byte // start of the header
	raw       bool   // the transfer has only the state
	parsed    bool
	parts     []segmentPart
	stateLeft int64
	current   int   // index of the part that is being received
	partBytes int64 // received of it
}

// take returns the bytes of data that belong to the state, and writes those that
// belong to segments.
func (r *receiver) take(data []byte) (state []byte, err error) {
	if r.raw {
		return data, nil
	}
	if !r.parsed {
		r.pending = append(r.pending, data...)
		if data, err = r.parse(); err != nil || r.raw || !r.parsed {
			return data, err
		}
	}
	n := min(r.stateLeft, int64(len(data)))
	state, data = data[:n], data[n:]
	r.stateLeft -= n
	for len(data) > 0 {
		if r.current == len(r.parts) {
			return nil, errors.New("transfer is longer than its header says")
		}
		p := &r.parts[r.current]
		n := min(p.bytes-r.partBytes, int64(len(data)))
		if _, err := p.file.Write(data[:n]); err != nil {
			return nil, fmt.Errorf("write received segment: %w", err)
		}
		r.partBytes += n
		data = data[n:]
		if err := r.finishParts(); err != nil {
			return nil, err
		}
	}
	return state, nil
}

// finishParts syncs the parts that are complete, so that the end of the transfer
// does not have to sync all.
func (r *receiver) finishParts() error {
	for r.current < len(r.parts) && r.partBytes == r.parts[r.current].bytes {
		if err := r.parts[r.current].file.Sync(); err != nil {
			return fmt.Errorf("sync received segment: %w", err)
		}
		r.current, r.partBytes = r.current+1, 0
	}
	return nil
}

// parse reads the header once it is complete, and returns the bytes after it.
func (r *receiver) parse() ([]byte, error) {
	b := r.pending
	if n := min(len(b), len(transferMagic)); string(b[:n]) != transferMagic[:n] {
		r.raw, r.pending = true, nil
		return b, nil
	}
	if len(b) < transferHeaderBytes {
		return nil, nil
	}
	count := int(binary.LittleEndian.Uint32(b[len(transferMagic):]))
	if count > maxTransferParts {
		return nil, fmt.Errorf("transfer has %d segments: want at most %d", count, maxTransferParts)
	}
	if len(b) < transferHeaderBytes+count*transferPartBytes+transferStateBytes {
		return nil, nil
	}
	b = b[transferHeaderBytes:]
	for range count {
		p := segmentPart{number: binary.LittleEndian.Uint64(b), bytes: int64(binary.LittleEndian.Uint64(b[8:]))}
		if p.bytes < 0 {
			return nil, errNegativeLength
		}
		f, err := r.store.fs.Create(r.temp(p))
		if err != nil {
			return nil, fmt.Errorf("create received segment: %w", err)
		}
		p.file = f
		r.parts = append(r.parts, p)
		b = b[transferPartBytes:]
	}
	if r.stateLeft = int64(binary.LittleEndian.Uint64(b)); r.stateLeft < 0 {
		return nil, errNegativeLength
	}
	r.parsed, r.pending = true, nil
	return b[transferStateBytes:], r.finishParts()
}

func (r *receiver) temp(p segmentPart) string {
	return r.store.path(segmentName(p.number) + tempSuffix)
}

// finish makes the received segments durable under their names.
func (r *receiver) finish() error {
	if r.raw {
		return nil
	}
	if !r.parsed || r.stateLeft > 0 || r.current < len(r.parts) {
		return fmt.Errorf("received snapshot: %w", io.ErrUnexpectedEOF)
	}
	for i := range r.parts {
		p := &r.parts[i]
		f := p.file
		p.file = nil
		if err := f.Close(); err != nil {
			return fmt.Errorf("close received segment: %w", err)
		}
		if err := r.store.segments.adopt(*p, r.temp(*p)); err != nil {
			return fmt.Errorf("adopt received segment: %w", err)
		}
	}
	return r.store.fs.SyncDir(r.store.dir)
}

// sizes returns the lengths of the received segments by number.
func (r *receiver) sizes() map[uint64]int64 {
	sizes := make(map[uint64]int64, len(r.parts))
	for _, p := range r.parts {
		sizes[p.number] = p.bytes
	}
	return sizes
}

func (r *receiver) close() error {
	var err error
	for i := range r.parts {
		if f := r.parts[i].file; f != nil {
			err = errors.Join(err, f.Close(), r.store.fs.Remove(r.temp(r.parts[i])))
			r.parts[i].file = nil
		}
	}
	return err
}
