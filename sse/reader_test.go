package sse

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

func readEvents(r io.Reader, maxBytes int) ([]string, error) {
	e := NewReader(r, maxBytes)
	var events []string
	for {
		data, err := e.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(data))
	}
}

// Guards against wrong event data for valid streams: any line ending, comments,
// other fields, long lines, and an unterminated event at the end.
func TestReader(t *testing.T) {
	long := strings.Repeat("x", 9000) // longer than the buffer of the reader
	tests := []struct {
		in   string
		want []string
	}{
		{"", nil},
		{"data: a\n\ndata:b\r\n\r\n", []string{"a", "b"}},
		{"data: a\ndata: b\n\n", []string{"a\nb"}},
		{": comment\nevent: token\nid: 7\ndata: a\n\n\n\n", []string{"a"}},
		{"data\n\n", []string{""}},
		{"data: a\n\ndata: not ended\n", []string{"a"}},
		{"data: a\n\ndata: cut", []string{"a"}},
		{"data: " + long + "\n\n", []string{long}},
	}
	for _, tt := range tests {
		got, err := readEvents(strings.NewReader(tt.in), 10_000)
		assert.Equal(t, err, io.EOF)
		assert.DeepEqual(t, got, tt.want)
	}
}

// Guards against panics, against events above the size limit, and against
// events that depend on how the stream is split into reads.
func FuzzReader(f *testing.F) {
	f.Add([]byte("data: a\n\ndata:b\r\n\r\n: c\n"))
	f.Add([]byte("data\ndata:\ndata: [DONE]\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		const maxBytes = 64
		whole, err := readEvents(bytes.NewReader(in), maxBytes)
		split, splitErr := readEvents(iotest.OneByteReader(bytes.NewReader(in)), maxBytes)
		assert.DeepEqual(t, whole, split)
		assert.Equal(t, errors.Is(err, io.EOF), errors.Is(splitErr, io.EOF))
		for _, e := range whole {
			assert.Assert(t, len(e) <= maxBytes)
		}
	})
}
