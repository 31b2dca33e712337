package control

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/sycamoreline/sycamoreline/cborwire"
)

const (
	// maxFrameBytes bounds a frame, and with it what a host can make another one
	// hold. Parts of snapshots have 256 KiB, batches of log entries 512 KiB and
	// what the largest entry adds.
	maxFrameBytes = 64 << 20
	// maxHelloBytes bounds the frames of a connection that has not proved the
	// deployment key.
	maxHelloBytes = 4 << 10
)

// frame is a message between hosts: a request, a notification, which has no
// ID, or a response, which has no Method. On the wire it is a CBOR array (RFC
// 8949) after its length in bytes as a uvarint.
type frame struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Method string
	Body   cborwire.Raw // parameters or result; null for none
	Error  *wireError       // of a response that is an error
}

// wireError is an error of a handler.
type wireError struct {
	_         struct{} `cbor:",toarray"`
	NotLeader bool
	Leader    string // may be unknown
	Verdict   []byte // verdict.Error in JSON, unless NotLeader is set
}

// appendFrame appends a frame with its length.
func appendFrame(b []byte, f frame) ([]byte, error) {
	data, err := cborwire.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	if len(data) > maxFrameBytes {
		return nil, fmt.Errorf("frame of %d bytes, at most %d are allowed", len(data), maxFrameBytes)
	}
	b = binary.AppendUvarint(b, uint64(len(data)))
	return append(b, data...), nil
}

// readFrame reads a frame. The limit of its bytes is asked for once the frame
// begins: the proof of the key may have been checked since the one before.
func readFrame(r *bufio.Reader, limit func() uint64) (frame, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return frame{}, err
	}
	if most := limit(); size > most {
		return frame{}, fmt.Errorf("frame of %d bytes, at most %d are allowed", size, most)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return frame{}, err
	}
	var f frame
	if err := cborwire.Unmarshal(data, &f); err != nil {
		return frame{}, fmt.Errorf("decode frame: %w", err)
	}
	return f, nil
}
