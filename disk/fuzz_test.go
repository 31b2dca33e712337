package disk

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

func frameOf(offset int64, records []byte) []byte {
	f := append(make([]byte, frameHeaderBytes), records...)
	sealFrame(f, offset)
	return f
}

// FuzzDecodeLog guards against log files that make decodeLog panic or return
// entries that are not consecutive after the base.
func FuzzDecodeLog(f *testing.F) {
	first := frameOf(0, appendHardState(appendBase(nil, Base{Index: 3, Term: 2}), HardState{Term: 2, VoteID: "a"}))
	second := frameOf(int64(len(first)), appendEntry(nil, Entry{Index: 4, Term: 2, Data: []byte("x")}))
	f.Add(append(first, second...))
	f.Add(first[:20])
	f.Fuzz(func(t *testing.T, data []byte) {
		c, end, err := decodeLog(bytes.NewReader(data), int64(len(data)), false)
		if err != nil {
			assert.ErrorIs(t, err, ErrDamaged)
			return
		}
		assert.Assert(t, end > 0 && end <= int64(len(data)))
		checkSequence(t, c)
	})
}

// FuzzDecodeRecords guards against payloads with a valid checksum and malformed
// records that make the decoder panic or return entries that are not
// consecutive.
func FuzzDecodeRecords(f *testing.F) {
	f.Add(appendEntry(appendBase(nil, Base{Index: 1, Members: []byte("[]")}), Entry{Index: 2, Term: 9, UnixMillis: -1, Kind: NoOp}))
	f.Add(appendHardState(nil, HardState{Term: 1, VoteID: "b", VoteIncarnation: 1 << 60}))
	f.Add([]byte{byte(entryRecord), 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Fuzz(func(t *testing.T, payload []byte) {
		var c logContents
		if err := c.decode(payload); err != nil {
			assert.ErrorIs(t, err, errRecord)
			return
		}
		checkSequence(t, c)
	})
}

func checkSequence(t *testing.T, c logContents) {
	for i, e := range c.entries {
		assert.Equal(t, e.Index, c.base.Index+uint64(i)+1)
	}
}
