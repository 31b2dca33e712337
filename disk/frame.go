package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// frameHeaderBytes is the size of a frame's header. A frame is one durable
// write: magic, payload length, checksum, payload. The checksum covers the
// frame's offset in the file, so that bytes inside a payload that look like a
// frame are never taken for a frame of the log.
const frameHeaderBytes = 12

// MaxFrameBytes is the intended maximum size of one durable write. It is not
// enforced.
const MaxFrameBytes = 256 << 20

var (
	frameMagic = []byte{0xd1, 0x5c, 0x0f, 0xa7}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

func checksum(offset int64, length, payload []byte) uint32 {
	var at [8]byte
	binary.LittleEndian.PutUint64(at[:], uint64(offset))
	sum := crc32.Checksum(at[:], castagnoli)
	sum = crc32.Update(sum, castagnoli, length)
	return crc32.Update(sum, castagnoli, payload)
}

// sealFrame writes the header of a frame whose payload starts at
// frameHeaderBytes.
func sealFrame(frame []byte, offset int64) {
	copy(frame, frameMagic)
	payload := frame[frameHeaderBytes:]
	binary.LittleEndian.PutUint32(frame[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[8:], checksum(offset, frame[4:8], payload))
}

// readFrame returns the payload of the frame at offset, and false if there is
// no complete, valid frame.
func readFrame(data []byte, offset int64) ([]byte, bool) {
	rest := data[offset:]
	if len(rest) < frameHeaderBytes || !bytes.Equal(rest[:4], frameMagic) {
		return nil, false
	}
	n := int64(binary.LittleEndian.Uint32(rest[4:]))
	if n > int64(len(rest)-frameHeaderBytes) {
		return nil, false
	}
	payload := rest[frameHeaderBytes : frameHeaderBytes+n]
	if binary.LittleEndian.Uint32(rest[8:]) != checksum(offset, rest[4:8], payload) {
		return nil, false
	}
	return payload, true
}

// hasFrameAfter returns whether a valid frame starts anywhere after offset.
func hasFrameAfter(data []byte, offset int64) bool {
	for at := offset + 1; at < int64(len(data)); at++ {
		i := bytes.Index(data[at:], frameMagic)
		if i < 0 {
			return false
		}
		at += int64(i)
		if _, ok := readFrame(data, at); ok {
			return true
		}
	}
	return false
}
