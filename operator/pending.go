package operator

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/sycamoreline/sycamoreline/strictjson"
	"github.com/sycamoreline/sycamoreline/tree"
)

// pendingFile is the name of the file with a change whose outcome is unknown.
const pendingFile = ".sycamoreline-change.json"

// Pending stores a change in a settings directory from before it is sent until
// its outcome is known, so that a resend after a lost response or a crash has
// the same change id and content.
type Pending struct{ path string }

// NewPending returns the Pending of a settings directory.
func NewPending(root string) Pending { return Pending{path: filepath.Join(root, pendingFile)} }

// Load returns the stored change, or nil if there is none.
func (p Pending) Load() (*tree.Change, error) {
	data, err := os.ReadFile(p.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	c, err := strictjson.Decode[tree.Change](p.path, data)
	if err != nil {
		return nil, err
	}
	return &c, nil
}

// Save stores a change. The data is synced to disk before it replaces the
// previous file.
func (p Pending) Save(c tree.Change) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	next := p.path + ".next"
	if err := writeSynced(next, data); err != nil {
		return err
	}
	return os.Rename(next, p.path)
}

// Clear deletes the stored change once its outcome is known.
func (p Pending) Clear() error { return os.Remove(p.path) }

func writeSynced(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	return errors.Join(err, f.Sync(), f.Close())
}
