package disk

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// EntryKind is the type of a log entry.
type EntryKind uint8

// A Command is applied to the state machine. A leader appends a NoOp at the
// start of its term. A Membership contains the members of the group.
const (
	Command EntryKind = iota
	NoOp
	Membership
)

// Entry is one entry of a replicated log.
type Entry struct {
	Index      uint64    `json:"index"`
	Term       uint64    `json:"term"`
	UnixMillis int64     `json:"unix-millis,omitempty"` // leader's wall-clock time
	Kind       EntryKind `json:"kind,omitempty"`
	Data       []byte    `json:"data,omitempty"`
	// Size is the length of the data if it is only in the file of the log; Data is
	// then nil.
	Size int `json:"-"`
}

// Bytes returns the length of the data.
func (e Entry) Bytes() int { return max(len(e.Data), e.Size) }

// HardState is the Raft state that must survive a restart: term and vote.
type HardState struct {
	Term            uint64
	VoteID          string // empty if no vote was granted in the term
	VoteIncarnation uint64
}

// Base is the position before the first entry of a log, with the encoded
// membership in effect there.
type Base struct {
	Index   uint64
	Term    uint64
	Members []byte
}

// Batch is one durable write: the hard state, if it changed, and log entries.
// An entry replaces all existing entries from its index on.
type Batch struct {
	HardState *HardState
	Entries   []Entry
}

var errRecord = errors.New("malformed record")

type recordKind uint8

const (
	hardStateRecord recordKind = iota + 1
	entryRecord
	baseRecord
)

func appendBytes(b, data []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(data)))
	return append(b, data...)
}

func appendHardState(b []byte, h HardState) []byte {
	b = append(b, byte(hardStateRecord))
	b = binary.AppendUvarint(b, h.Term)
	b = appendBytes(b, []byte(h.VoteID))
	return binary.AppendUvarint(b, h.VoteIncarnation)
}

func appendEntry(b []byte, e Entry) []byte {
	b = append(b, byte(entryRecord))
	b = binary.AppendUvarint(b, e.Index)
	b = binary.AppendUvarint(b, e.Term)
	b = binary.AppendVarint(b, e.UnixMillis)
	b = append(b, byte(e.Kind))
	return appendBytes(b, e.Data)
}

func appendBase(b []byte, base Base) []byte {
	b = append(b, byte(baseRecord))
	b = binary.AppendUvarint(b, base.Index)
	b = binary.AppendUvarint(b, base.Term)
	return appendBytes(b, base.Members)
}

// decoder reads records. After the first failure, every read returns the zero
// value.
type decoder struct {
	data   []byte
	failed bool
}

func (d *decoder) fail() {
	d.failed = true
	d.data = nil
}

func (d *decoder) byte() byte {
	if len(d.data) == 0 {
		d.fail()
		return 0
	}
	b := d.data[0]
	d.data = d.data[1:]
	return b
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.data)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.data = d.data[n:]
	return v
}

func (d *decoder) varint() int64 {
	v, n := binary.Varint(d.data)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.data = d.data[n:]
	return v
}

func (d *decoder) bytes() []byte { return append([]byte(nil), d.shared()...) }

// shared is like bytes, but does not copy the data.
func (d *decoder) shared() []byte {
	n := d.uvarint()
	if n > uint64(len(d.data)) {
		d.fail()
		return nil
	}
	b := d.data[:n:n]
	d.data = d.data[n:]
	return b
}

// position is where the data of an entry lies in the file of the log.
type position struct {
	offset int64
	length int
	sum    uint32
}

// logContents is the state resulting from the frames of a log.
type logContents struct {
	base      Base
	hardState HardState
	entries   []Entry
	positions []position // of the data of each entry
	// onDisk is set if the data of commands is not to be read into memory.
	onDisk bool
	end    int64 // offset after the payload that is being decoded
}

func (c *logContents) lastIndex() uint64 { return c.base.Index + uint64(len(c.entries)) }

// newPosition returns the position of the data that ends at an offset.
func newPosition(end int64, data []byte) position {
	return position{end - int64(len(data)), len(data), crc32.Checksum(data, castagnoli)}
}

// decode applies the records in the payload of a frame or in the info part of a
// snapshot file.
func (c *logContents) decode(payload []byte) error {
	d := decoder{data: payload}
	for len(d.data) > 0 {
		if err := c.decodeRecord(&d); err != nil {
			return err
		}
	}
	return nil
}

func (c *logContents) decodeRecord(d *decoder) error {
	switch recordKind(d.byte()) {
	case hardStateRecord:
		h := HardState{Term: d.uvarint(), VoteID: string(d.bytes()), VoteIncarnation: d.uvarint()}
		if d.failed {
			return errRecord
		}
		c.hardState = h
	case baseRecord:
		b := Base{Index: d.uvarint(), Term: d.uvarint(), Members: d.bytes()}
		if d.failed {
			return errRecord
		}
		c.base, c.entries, c.positions = b, nil, nil
	case entryRecord:
		e := Entry{Index: d.uvarint(), Term: d.uvarint(), UnixMillis: d.varint(), Kind: EntryKind(d.byte())}
		data := d.shared()
		if d.failed || e.Index <= c.base.Index || e.Index > c.lastIndex()+1 {
			return errRecord
		}
		if c.onDisk && e.Kind == Command {
			e.Size = len(data)
		} else {
			e.Data = append([]byte(nil), data...)
		}
		k := e.Index - c.base.Index - 1
		c.entries = append(c.entries[:k], e)
		c.positions = append(c.positions[:k], newPosition(c.end-int64(len(d.data)), data))
	default:
		return errRecord
	}
	return nil
}
