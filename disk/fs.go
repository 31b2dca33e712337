// Package disk stores the durable state of one Raft replica: its identity, a
// checksummed log of entries and hard state, and snapshot files. It recovers
// from a crash during a write. It reports other damage but does not repair it;
// damage to the last write of the log is indistinguishable from a torn write.
// It does not interpret commands, memberships or the contents of snapshots.
//
// Start with Open and Store; frame.go and record.go define the file format.
package disk

import (
	"io"
	"os"
	"path/filepath"
)

// File is an open file. Written data is durable only after Sync.
type File interface {
	io.Reader
	io.ReaderAt
	io.Writer // appends
	io.Closer
	Sync() error
	Truncate(size int64) error
	Size() (int64, error)
}

// FS is the subset of a file system used by a Store. Creating, renaming or
// removing a file is durable only after SyncDir.
type FS interface {
	MkdirAll(dir string) error
	// Create creates a file, or truncates an existing one, and opens it for
	// reading and appending.
	Create(name string) (File, error)
	// Open opens an existing file for reading and appending.
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// List returns the base names of the entries of a directory.
	List(dir string) ([]string, error)
	SyncDir(dir string) error
}

// OS is the file system of the operating system.
type OS struct{}

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// MkdirAll creates a directory and its parents.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// Create creates a file, or truncates an existing one, and opens it for reading
// and appending.
func (OS) Create(name string) (File, error) {
	return open(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC|os.O_APPEND)
}

// Open opens an existing file for reading and appending.
func (OS) Open(name string) (File, error) { return open(name, os.O_RDWR|os.O_APPEND) }

func open(name string, flag int) (File, error) {
	f, err := os.OpenFile(name, flag, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Rename renames a file, replacing an existing one.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// List returns the base names of the entries of a directory.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, nil
}

// SyncDir makes the entries of a directory durable.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
