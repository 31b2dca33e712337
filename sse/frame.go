package sse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// Frame is one event, or a comment, with its original bytes.
type Frame struct {
	// Raw contains all bytes of the event, including empty lines before it and
	// the empty line at its end.
	Raw []byte
	// ID is the id of the event; empty if it has none.
	ID string
	// Data contains the data lines of the event, joined by line feeds.
	Data []byte
}

// FrameReader reads events without changing their bytes, so that they can be
// forwarded.
type FrameReader struct {
	r        *bufio.Reader
	maxBytes int
}

// NewFrameReader returns a reader of events of at most maxBytes.
func NewFrameReader(r io.Reader, maxBytes int) *FrameReader {
	return &FrameReader{r: bufio.NewReader(r), maxBytes: maxBytes}
}

// Next returns the next event. At the end of the stream it returns io.EOF, or
// io.ErrUnexpectedEOF if the stream ends within an event.
func (f *FrameReader) Next() (Frame, error) {
	var e Frame
	hasData := false
	for {
		start := len(e.Raw)
		if err := f.readLine(&e.Raw); err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.Raw)) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return Frame{}, err
		}
		line := bytes.TrimRight(e.Raw[start:], "\r\n")
		if len(line) == 0 {
			if len(bytes.TrimSpace(e.Raw)) == 0 {
				continue
			}
			return e, nil
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			e.ID = string(value)
		case "data":
			if hasData {
				e.Data = append(e.Data, '\n')
			}
			hasData = true
			e.Data = append(e.Data, value...)
		}
	}
}

// readLine appends a line, including its line ending, to *dst.
func (f *FrameReader) readLine(dst *[]byte) error {
	for {
		part, err := f.r.ReadSlice('\n')
		*dst = append(*dst, part...)
		if len(*dst) > f.maxBytes {
			return fmt.Errorf("%w: more than %d bytes", ErrTooLarge, f.maxBytes)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
