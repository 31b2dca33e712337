package replica

import (
	"encoding/binary"
	"fmt"
	"io"
)

// WriteSection writes a section of a snapshot, prefixed with its length in
// bytes, so that another section can follow.
func WriteSection(w io.Writer, data []byte) error {
	if err := binary.Write(w, binary.BigEndian, uint64(len(data))); err != nil {
		return err
	}
	_, err := w.Write(data)
	return err
}

// ReadSection reads a section written by WriteSection and passes it to restore,
// which need not read it to the end.
func ReadSection(r io.Reader, restore func(io.Reader) error) error {
	var length uint64
	if err := binary.Read(r, binary.BigEndian, &length); err != nil {
		return fmt.Errorf("read length of snapshot section: %w", err)
	}
	section := io.LimitReader(r, int64(length))
	if err := restore(section); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, section)
	return err
}
