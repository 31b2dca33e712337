package replica

import (
	"encoding/binary"
	"fmt"
	"io"
)

// WriteSection writes a part of a snapshot, preceded by its length in bytes, so
// that another part can follow.
func WriteSection(w io.Writer, data []byte) error {
	if err := binary.Write(w, binary.BigEndian, uint64(len(data))); err != nil {
		return err
	}
	_, err := w.Write(data)
	return err
}

// ReadSection passes a part that WriteSection wrote to restore, which may stop
// reading before the end of the part.
func ReadSection(r io.Reader, restore func(io.Reader) error) error {
	var length uint64
	if err := binary.Read(r, binary.BigEndian, &length); err != nil {
		return fmt.Errorf("length of a part of the snapshot: %w", err)
	}
	part := io.LimitReader(r, int64(length))
	if err := restore(part); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, part)
	return err
}
