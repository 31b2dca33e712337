package sse

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

func readFrames(r io.Reader) (raw string, ids []string, err error) {
	f := NewFrameReader(r, 1<<10)
	for {
		e, err := f.Next()
		if err != nil {
			return raw, ids, err
		}
		raw += string(e.Raw)
		ids = append(ids, e.ID)
	}
}

// Guards against events that are changed in transit, and against returning an
// event that was cut off by the end of the stream.
func TestFrames(t *testing.T) {
	tests := []struct {
		in, raw string
		ids     []string
		err     error
	}{
		{"", "", nil, io.EOF},
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}, io.EOF},
		{"id: 1\r\ndata: a\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n", []string{"1"}, io.EOF},
		{"data: a\n\nid: 2\ndata: cu", "data: a\n\n", []string{""}, io.ErrUnexpectedEOF},
		{"data: a\n\nid: 2\n", "data: a\n\n", []string{""}, io.ErrUnexpectedEOF},
		{"data: a\n\nid: 2\ndata: b\n", "data: a\n\n", []string{""}, io.ErrUnexpectedEOF},
		{"data: a\n\ni", "data: a\n\n", []string{""}, io.ErrUnexpectedEOF},
		{"data: a\n\n: comm", "data: a\n\n", []string{""}, io.ErrUnexpectedEOF},
		{"data: a\r\n\r", "", nil, io.ErrUnexpectedEOF},
		{"data: a\r\n\r\ndata: b\r", "data: a\r\n\r\n", []string{""}, io.ErrUnexpectedEOF},
		{"data: a\n\n\n", "data: a\n\n", []string{""}, io.EOF},
	}
	for _, tt := range tests {
		raw, ids, err := readFrames(strings.NewReader(tt.in))
		assert.Equal(t, err, tt.err)
		assert.Equal(t, raw, tt.raw)
		assert.DeepEqual(t, ids, tt.ids)
	}
	_, _, err := readFrames(strings.NewReader("data: " + strings.Repeat("x", 2<<10) + "\n\n"))
	assert.Assert(t, errors.Is(err, ErrTooLarge))
}

// Guards against a stream whose connection is reset after a whole event, and that
// is taken for complete.
func TestFramesOfResetStream(t *testing.T) {
	reset := errors.New("connection reset")
	for _, in := range []string{"", "data: a\n\n", "data: a\n\ndata: b\n"} {
		_, _, err := readFrames(io.MultiReader(strings.NewReader(in), iotest.ErrReader(reset)))
		assert.Equal(t, err, reset, in)
	}
}

// Guards against panics, and against frames that depend on how the stream is
// split into reads.
func FuzzFrames(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n: c\n\n")
	f.Fuzz(func(t *testing.T, in string) {
		whole, _, err := readFrames(strings.NewReader(in))
		split, _, splitErr := readFrames(iotest.OneByteReader(strings.NewReader(in)))
		assert.Equal(t, whole, split)
		assert.Equal(t, errors.Is(err, io.EOF), errors.Is(splitErr, io.EOF))
	})
}
