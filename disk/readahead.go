package disk

import (
	"fmt"
	"hash/crc32"
	"sync"
)

// readAheadBytes is the size of a read of the log. A replay reads entries of a few
// kilobytes one after the other, each of which would wait for the disk.
const readAheadBytes = 256 << 10

// readAhead holds the part of a log file that was read last. It is safe for
// concurrent use.
type readAhead struct {
	mu     sync.Mutex
	file   File
	offset int64
	data   []byte
}

// read returns the data at a position of a log of the given size. It returns an
// error if the data does not match its checksum.
func (a *readAhead) read(f File, size int64, p position) ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.releaseLarge()
	if data, ok := a.find(f, p); ok {
		return data, nil
	}
	// The file may have been written since the last read.
	n := max(int64(p.length), min(readAheadBytes, size-p.offset))
	if int64(cap(a.data)) < n {
		a.data = make([]byte, n)
	}
	a.file, a.offset, a.data = f, p.offset, a.data[:n]
	if _, err := f.ReadAt(a.data, p.offset); err != nil {
		a.file = nil
		return nil, fmt.Errorf("read log: %w", err)
	}
	data, ok := a.find(f, p)
	if !ok {
		a.file = nil
		return nil, fmt.Errorf("log offset %d: checksum mismatch", p.offset)
	}
	return data, nil
}

// releaseLarge releases the buffer after the read of an entry longer than
// readAheadBytes, which would otherwise stay in memory.
func (a *readAhead) releaseLarge() {
	if cap(a.data) > readAheadBytes {
		a.file, a.data = nil, nil
	}
}

// find returns a copy of the data at a position if the last read contains it.
func (a *readAhead) find(f File, p position) ([]byte, bool) {
	from := p.offset - a.offset
	if a.file != f || from < 0 || from+int64(p.length) > int64(len(a.data)) {
		return nil, false
	}
	data := append(make([]byte, 0, p.length), a.data[from:from+int64(p.length)]...)
	return data, crc32.Checksum(data, castagnoli) == p.sum
}
