// Package sse reads streams of server-sent events. Reader returns the data of
// each event, for a client that decodes it; FrameReader returns whole events
// unchanged, for a proxy that forwards them. The package does not write events.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// ErrTooLarge is returned for an event that exceeds the size limit of the
// reader.
var ErrTooLarge = errors.New("event is too large")

// Reader reads the data of events and ignores their other fields.
type Reader struct {
	r        *bufio.Reader
	maxBytes int
	line     []byte
	data     []byte
}

// NewReader returns a reader of events with at most maxBytes of data. Lines of
// other fields may be as long as the longest data line.
func NewReader(r io.Reader, maxBytes int) *Reader {
	return &Reader{r: bufio.NewReader(r), maxBytes: maxBytes}
}

// Next returns the data of the next event. The slice is valid until the next
// call. At the end of the stream it returns io.EOF and discards an event that
// is not terminated by an empty line.
func (e *Reader) Next() ([]byte, error) {
	e.data = e.data[:0]
	hasData := false
	for {
		line, err := e.readLine()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if hasData {
				return e.data, nil
			}
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		if string(name) != "data" {
			continue
		}
		if hasData {
			e.data = append(e.data, '\n')
		}
		hasData = true
		e.data = append(e.data, bytes.TrimPrefix(value, []byte(" "))...)
		if len(e.data) > e.maxBytes {
			return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, e.maxBytes)
		}
	}
}

// readLine returns a line without its line ending.
func (e *Reader) readLine() ([]byte, error) {
	e.line = e.line[:0]
	for {
		part, err := e.r.ReadSlice('\n')
		e.line = append(e.line, part...)
		if len(e.line) > e.maxBytes+len("data: \r\n") {
			return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, e.maxBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimSuffix(bytes.TrimSuffix(e.line, []byte("\n")), []byte("\r")), nil
	}
}
