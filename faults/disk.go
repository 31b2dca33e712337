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

// Random is the source of choices that a fault needs, such as
// *math/rand/v2.Rand.
type Random interface {
	IntN(n int) int
}

// ErrSync is what a failing Sync returns.
var ErrSync = errors.New("injected sync failure")

// ErrCrashed is what files opened before a crash return.
var ErrCrashed = errors.New("file was open when the host crashed")

// Disk is a disk.FS in memory. Data is durable once synced, names once their
// directory is; a Crash loses the rest. It is safe for concurrent use.
type Disk struct {
	mu       sync.Mutex
	names    map[string]*inode
	durable  map[string]*inode // names after a crash
	epoch    int               // number of crashes
	capacity int               // bytes; 0 means no limit
	failSync bool
	beforeOp func(op string) // called before writes and syncs, outside the lock
	syncs    int
}

var _ disk.FS = (*Disk)(nil)

type inode struct {
	data   []byte
	synced []byte // what a crash leaves at least; shares memory with data
}

// NewDisk returns an empty disk.
func NewDisk() *Disk {
	return &Disk{names: map[string]*inode{}, durable: map[string]*inode{}}
}

// SetCapacity makes writes that would hold more bytes fail with ENOSPC after
// writing what fits. 0 removes the limit.
func (d *Disk) SetCapacity(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacity = bytes
}

// Used returns the bytes in all files.
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

// FailSync makes every Sync of a file fail until it is called with false.
func (d *Disk) FailSync(fail bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSync = fail
}

// BeforeOp sets a function that is called before every "write" and "sync" of
// a file. It may block, to make the disk slow.
func (d *Disk) BeforeOp(f func(op string)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.beforeOp = f
}

// Syncs returns how many syncs of files there were.
func (d *Disk) Syncs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncs
}

// Crash loses names and data that were not synced. Of unsynced data a random
// part remains, possibly torn. Open files fail from then on.
func (d *Disk) Crash(r Random) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch++
	d.names = map[string]*inode{}
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
		f := d.durable[name]
		left := &inode{data: tear(r, f)}
		left.synced = left.data[:len(left.data):len(left.data)]
		d.names[name], d.durable[name] = left, left
	}
}

// tear returns what a crash leaves of a file: the synced data and a part of
// the rest, in which a run of bytes may never have reached the disk.
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

// Erase empties the disk.
func (d *Disk) Erase() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch++
	d.names, d.durable = map[string]*inode{}, map[string]*inode{}
}

// Image is the durable state of a disk at one time.
type Image map[string][]byte

// Image returns the durable state, for a later Restore.
func (d *Disk) Image() Image {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := Image{}
	for name, f := range d.durable {
		m[name] = append([]byte(nil), f.synced...)
	}
	return m
}

// Restore rolls the disk back to an earlier state, as a restored backup does.
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

// Corrupt changes one bit of a file, at the offset modulo its size. It returns
// false if there is no such file.
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

// Size returns the size of a file, or 0 if there is none.
func (d *Disk) Size(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.names[name]; f != nil {
		return len(f.data)
	}
	return 0
}

// MkdirAll does nothing: directories exist.
func (d *Disk) MkdirAll(string) error { return nil }

// Create opens an empty file.
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

// Rename replaces to by from.
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

// List returns the names in a directory.
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

// SyncDir makes the names in a directory durable.
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

// begin locks the disk for an operation of the file. The caller unlocks it.
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
