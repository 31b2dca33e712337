package ledger

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// MinPackBytes is the size of an input and output from which on they are packed.
	MinPackBytes = 512
	// maxPackedSize bounds the memory for an unpacked input and output.
	maxPackedSize = 256 << 20
)

var errPacked = errors.New("packed turn is malformed")

var deflaters = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.BestSpeed) // the level is valid
	return w
}}

// Pack compresses the input and output, which the replicas then send and store once
// less. It returns false, and changes nothing, if that does not save an eighth.
func (k *KeptTurn) Pack() bool {
	size := len(k.Input) + len(k.Output)
	if size < MinPackBytes || k.Size > 0 {
		return false
	}
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	_, inputErr := w.Write(k.Input) // a buffer takes all writes
	_, outputErr := w.Write(k.Output)
	if errors.Join(inputErr, outputErr, w.Close()) != nil || out.Len() > size-size/8 {
		return false
	}
	k.Size, k.OutputSize, k.OutputSum = size, len(k.Output), xxhash.Sum64(k.Output)
	k.Packed, k.Input, k.Output = bytes.Clone(out.Bytes()), nil, nil
	return true
}

// check checks the sizes of a packed turn.
func (k *KeptTurn) check() error {
	if k.Size < 0 || k.Size > maxPackedSize || (k.Size > 0) != (len(k.Packed) > 0) {
		return errPacked
	}
	return nil
}

// endsWith returns whether the output of a turn in a command ends with data.
func (k *KeptTurn) endsWith(data []byte) bool {
	if k.Size > 0 {
		return k.OutputSize == len(data) && k.OutputSum == xxhash.Sum64(data)
	}
	return bytes.HasSuffix(k.Output, data)
}

func unpack(packed []byte, size int) ([]byte, error) {
	body := make([]byte, size)
	if _, err := io.ReadFull(flate.NewReader(bytes.NewReader(packed)), body); err != nil {
		return nil, errors.Join(errPacked, err)
	}
	return body, nil
}
