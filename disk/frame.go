package disk

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
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

// readFrame returns the payload of the frame that rest, the bytes of the file from
// offset on, starts with. It returns false if there is no complete, valid frame.
func readFrame(rest []byte, offset int64) ([]byte, bool) {
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

// hasFrameAfter returns whether a valid frame starts anywhere in rest, the bytes of
// the file from offset on, but at its start.
func hasFrameAfter(rest []byte, offset int64) bool {
	for at := 1; at < len(rest); at++ {
		i := bytes.Index(rest[at:], frameMagic)
		if i < 0 {
			return false
		}
		at += i
		if _, ok := readFrame(rest[at:], offset+int64(at)); ok {
			return true
		}
	}
	return false
}

// frameReader reads the frames of a file one after the other.
type frameReader struct {
	file   io.ReaderAt
	size   int64
	offset int64  // end of the last valid frame
	buffer []byte // reused
}

// next returns the payload of the next frame and its offset. The payload is valid
// until the next call. It returns false if there is no complete, valid frame.
func (r *frameReader) next() (payload []byte, at int64, ok bool, err error) {
	var header [frameHeaderBytes]byte
	if r.size-r.offset < frameHeaderBytes {
		return nil, 0, false, nil
	}
	if _, err := r.file.ReadAt(header[:], r.offset); err != nil {
		return nil, 0, false, err
	}
	n := int64(binary.LittleEndian.Uint32(header[4:])) + frameHeaderBytes
	if !bytes.Equal(header[:4], frameMagic) || n > r.size-r.offset {
		return nil, 0, false, nil
	}
	if int64(cap(r.buffer)) < n {
		r.buffer = make([]byte, n)
	}
	frame := r.buffer[:n]
	if _, err := r.file.ReadAt(frame, r.offset); err != nil && !errors.Is(err, io.EOF) {
		return nil, 0, false, err
	}
	payload, ok = readFrame(frame, r.offset)
	if ok {
		at = r.offset + frameHeaderBytes
		r.offset += n
	}
	return payload, at, ok, nil
}

// torn returns whether what follows the last valid frame can be a torn write, since
// no valid frame follows it.
func (r *frameReader) torn() (bool, error) {
	rest := make([]byte, r.size-r.offset)
	if _, err := r.file.ReadAt(rest, r.offset); err != nil && !errors.Is(err, io.EOF) {
		return false, err
	}
	return !hasFrameAfter(rest, r.offset), nil
}
