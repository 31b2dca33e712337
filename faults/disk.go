package faults

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"github.com/sycamoreline/sycamoreline/disk"
)

// Random is a source of random numbers, such as *math/rand/v2.Rand.
type Random interface {
	IntN(n int) int
}

// ErrSync is returned by Sync after FailSync(true).
var ErrSync = errors.New("injected sync failure")

// ErrCrashed is returned by files that were opened before the last Crash, Erase
// or Restore.
var ErrCrashed = errors.New("file was open when the host crashed")

// Disk is an in-memory disk.FS with fault injection. File contents are durable
// after Sync and directory entries after SyncDir; Crash discards all or part of
// the rest. It is safe for concurrent use.
type Disk struct {
	mu       sync.Mutex
	names    map[string]*inode // current directory entries, synced or not
	durable  map[string]*inode // synced directory entries
	epoch    int               // incremented by Crash, Erase and Restore; files of earlier epochs fail
	capacity int               // bytes; 0 means no limit
	failSync bool
	beforeOp func(op string) // called before writes and syncs, outside the lock
	syncs    int
}

var _ disk.FS = (*Disk)(nil)

type inode struct {
	data   []byte
	synced []byte // contents that always survive a crash; shares memory with data
}

// NewDisk returns an empty disk.
func NewDisk() *Disk {
	return &Disk{names: map[string]*inode{}, durable: map[string]*inode{}}
}

// SetCapacity limits the total size of all files. A write that exceeds it
// writes as much as fits and fails with ENOSPC. 0 removes the limit.
func (d *Disk) SetCapacity(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacity = bytes
}

// Used returns the total size of all files in bytes.
func (d *Disk) Used() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.used()
}

func (d *Disk) used() int {
	n := 0
	for _, f := range d.names {
		n += len(f.data)
	}
	return n
}

// FailSync sets whether File.Sync fails with ErrSync.
func (d *Disk) FailSync(fail bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSync = fail
}

// BeforeOp sets a function that is called before every "write" and "sync" of a
// file. It may block to simulate a slow disk.
func (d *Disk) BeforeOp(f func(op string)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.beforeOp = f
}

// Syncs returns the number of calls to File.Sync.
func (d *Disk) Syncs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncs
}

// Crash simulates a power loss. Changes to directories that were not synced are
// undone. Of unsynced file contents a random prefix remains, in which a range of
// bytes may be zeroed. Files that are open fail with ErrCrashed from then on.
func (d *Disk) Crash(r Random) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch++
	d.names = map[string]*inode{}
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
		f := d.durable[name]
		remaining := &inode{data: tear(r, f)}
		remaining.synced = remaining.data[:len(remaining.data):len(remaining.data)]
		d.names[name], d.durable[name] = remaining, remaining
	}
}

// tear returns the contents of a file after a crash: the synced data and a
// random prefix of the rest, in which a range of bytes may be zeroed as if it
// had never been written.
func tear(r Random, f *inode) []byte {
	data := append([]byte(nil), f.synced...)
	if len(f.data) <= len(f.synced) {
		return data
	}
	tail := append([]byte(nil), f.data[len(f.synced):]...)
	tail = tail[:r.IntN(len(tail)+1)]
	if len(tail) > 0 && r.IntN(2) == 0 {
		from := r.IntN(len(tail))
		clear(tail[from : from+r.IntN(len(tail)-from)+1])
	}
	return append(data, tail...)
}

// Erase removes all files, as if the disk had been replaced by an empty one.
func (d *Disk) Erase() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch++
	d.names, d.durable = map[string]*inode{}, map[string]*inode{}
}

// Image is a copy of the durable state of a Disk: the contents of its files by
// name.
type Image map[string][]byte

// Image returns a copy of the durable state for Restore.
func (d *Disk) Image() Image {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := Image{}
	for name, f := range d.durable {
		m[name] = append([]byte(nil), f.synced...)
	}
	return m
}

// Restore replaces the contents of the disk with an earlier state, as restoring
// a backup does.
func (d *Disk) Restore(m Image) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch++
	d.names, d.durable = map[string]*inode{}, map[string]*inode{}
	for name, data := range m {
		f := &inode{data: append([]byte(nil), data...)}
		f.synced = f.data[:len(f.data):len(f.data)]
		d.names[name], d.durable[name] = f, f
	}
}

// Corrupt flips one bit of the byte at offset modulo the file's size. It
// returns false if the file does not exist or is empty.
func (d *Disk) Corrupt(name string, offset int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.names[name]
	if f == nil || len(f.data) == 0 {
		return false
	}
	f.data[offset%len(f.data)] ^= 0x10
	return true
}

// Size returns the size of a file, or 0 if it does not exist.
func (d *Disk) Size(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.names[name]; f != nil {
		return len(f.data)
	}
	return 0
}

// MkdirAll does nothing: all directories exist.
func (d *Disk) MkdirAll(string) error { return nil }

// Create opens a new, empty file, which replaces an existing one.
func (d *Disk) Create(name string) (disk.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := &inode{}
	d.names[name] = f
	return &file{disk: d, inode: f, epoch: d.epoch}, nil
}

// Open opens an existing file.
func (d *Disk) Open(name string) (disk.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, ok := d.names[name]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &file{disk: d, inode: f, epoch: d.epoch}, nil
}

// Rename renames a file, replacing an existing one.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, ok := d.names[from]
	if !ok {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(d.names, from)
	d.names[to] = f
	return nil
}

// Remove deletes a file.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.names[name]; !ok {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	delete(d.names, name)
	return nil
}

// List returns the base names of the files in a directory.
func (d *Disk) List(dir string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name := range d.names {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// SyncDir makes the entries of a directory durable.
func (d *Disk) SyncDir(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	dir = filepath.Clean(dir)
	for name := range d.durable {
		if filepath.Dir(name) == dir {
			delete(d.durable, name)
		}
	}
	for name, f := range d.names {
		if filepath.Dir(name) == dir {
			d.durable[name] = f
		}
	}
	return nil
}

// file is an open file of a Disk.
type file struct {
	disk   *Disk
	inode  *inode
	epoch  int
	offset int
}

// begin starts an operation on the file: it calls the BeforeOp function, locks
// the disk and checks that its contents were not replaced by Crash, Erase or
// Restore since the file was opened. The caller must unlock the disk, even after
// an error.
func (f *file) begin(op string) error {
	f.disk.mu.Lock()
	if hook := f.disk.beforeOp; hook != nil && (op == "write" || op == "sync") {
		f.disk.mu.Unlock()
		hook(op)
		f.disk.mu.Lock()
	}
	if f.epoch != f.disk.epoch {
		return ErrCrashed
	}
	return nil
}

func (f *file) Read(p []byte) (int, error) {
	defer f.disk.mu.Unlock()
	if err := f.begin("read"); err != nil {
		return 0, err
	}
	if f.offset >= len(f.inode.data) {
		return 0, io.EOF
	}
	n := copy(p, f.inode.data[f.offset:])
	f.offset += n
	return n, nil
}

func (f *file) ReadAt(p []byte, offset int64) (int, error) {
	defer f.disk.mu.Unlock()
	if err := f.begin("read"); err != nil {
		return 0, err
	}
	if offset >= int64(len(f.inode.data)) {
		return 0, io.EOF
	}
	n := copy(p, f.inode.data[offset:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *file) Write(p []byte) (int, error) {
	defer f.disk.mu.Unlock()
	if err := f.begin("write"); err != nil {
		return 0, err
	}
	var err error
	if limit := f.disk.capacity; limit > 0 && f.disk.used()+len(p) > limit {
		p = p[:max(0, min(len(p), limit-f.disk.used()))]
		err = syscall.ENOSPC
	}
	f.inode.data = append(f.inode.data, p...)
	return len(p), err
}

func (f *file) Sync() error {
	defer f.disk.mu.Unlock()
	if err := f.begin("sync"); err != nil {
		return err
	}
	f.disk.syncs++
	if f.disk.failSync {
		return ErrSync
	}
	n := len(f.inode.data)
	f.inode.synced = f.inode.data[:n:n]
	return nil
}

func (f *file) Truncate(size int64) error {
	defer f.disk.mu.Unlock()
	if err := f.begin("truncate"); err != nil {
		return err
	}
	f.inode.data = f.inode.data[:size:size]
	return nil
}

func (f *file) Size() (int64, error) {
	defer f.disk.mu.Unlock()
	if err := f.begin("size"); err != nil {
		return 0, err
	}
	return int64(len(f.inode.data)), nil
}

func (f *file) Close() error { return nil }
