// Package cborwire is the encoding between hosts and in their logs: CBOR (RFC
// 8949) of types with JSON field tags.
package cborwire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Raw is an encoded value.
type Raw = cbor.RawMessage

// maxElements bounds the arrays and maps of a value, such as the backend
// servers of a deployment. The codec allocates as it reads.
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

// Marshal encodes a value.
func Marshal(v any) ([]byte, error) { return encoding.Marshal(v) }

// Encode encodes a wire type, whose encoding cannot fail. It panics if it does.
func Encode(v any) []byte {
	data, err := encoding.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return data
}

// Unmarshal decodes a value.
func Unmarshal(data []byte, v any) error { return decoding.Unmarshal(data, v) }
