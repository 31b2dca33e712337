// Package cborwire encodes the messages between hosts, and the entries of their
// logs, as CBOR (RFC 8949). Field names are taken from JSON tags. The types are
// defined by the packages that use them; framing and storage are elsewhere.
// Start reading at Marshal and Unmarshal.
package cborwire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Raw is an encoded value.
type Raw = cbor.RawMessage

// maxElements bounds the arrays and maps of a value, such as the list of the
// backend servers of a deployment. The codec allocates memory while it reads
// them.
const maxElements = 1 << 20

var (
	encoding = must(cbor.EncOptions{}.EncMode())
	// Ids that callers choose need not be UTF-8.
	decoding = must(cbor.DecOptions{
		UTF8: cbor.UTF8DecodeInvalid, MaxArrayElements: maxElements, MaxMapPairs: maxElements,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return v
}

// Marshal returns the encoding of v.
func Marshal(v any) ([]byte, error) { return encoding.Marshal(v) }

// MustMarshal is like Marshal but panics on an error. It is for message types,
// whose encoding cannot fail.
func MustMarshal(v any) []byte {
	data, err := encoding.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return data
}

// Unmarshal decodes data into v, a pointer.
func Unmarshal(data []byte, v any) error { return decoding.Unmarshal(data, v) }
