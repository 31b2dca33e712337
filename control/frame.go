package control

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/sycamoreline/sycamoreline/cborwire"
)

const (
	// maxFrameBytes bounds a frame, and thereby the memory that one host can
	// make another one allocate. Snapshot chunks are 256 KiB, and a batch of
	// log entries is at most 512 KiB, or a single larger entry.
	maxFrameBytes = 64 << 20
	// maxHelloBytes bounds a frame on a connection that is not authenticated yet.
	maxHelloBytes = 4 << 10
)

// frame is a message between hosts: a request, a notification, which has no ID,
// or a response, which has no Method. On the wire it is a CBOR array (RFC
// 8949), preceded by its length in bytes as a uvarint.
type frame struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Method string
	Body   cborwire.Raw // parameters or result; null if there are none
	Error  *wireError   // set in the response to a failed request
}

// wireError is the error of a handler in a response.
type wireError struct {
	_         struct{} `cbor:",toarray"`
	NotLeader bool
	Leader    string // empty if unknown
	Verdict   []byte // verdict.Error in JSON, unless NotLeader is set
}

// appendFrame appends a frame, preceded by its length, to b.
func appendFrame(b []byte, f frame) ([]byte, error) {
	data, err := cborwire.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	if len(data) > maxFrameBytes {
		return nil, fmt.Errorf("frame of %d bytes exceeds the limit of %d", len(data), maxFrameBytes)
	}
	b = binary.AppendUvarint(b, uint64(len(data)))
	return append(b, data...), nil
}

// readFrame reads a frame. It calls limit only after it has read the length,
// since the peer may have been authenticated while readFrame waited for it.
func readFrame(r *bufio.Reader, limit func() uint64) (frame, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return frame{}, err
	}
	if maxBytes := limit(); size > maxBytes {
		return frame{}, fmt.Errorf("frame of %d bytes exceeds the limit of %d", size, maxBytes)
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
