package route

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"strings"
	"unicode"
	"unicode/utf8"
)

// MaxWorkspaceNameBytes is the maximum length of the name of a workspace, which is
// part of the ids in the ledger.
const MaxWorkspaceNameBytes = 128

// Workspace is a customer whose callers share keys, a quota and a priority. The
// requests of a table without workspaces need no key.
type Workspace struct {
	Name string `json:"name"`
	// KeyHashes are the hashes of the keys, as returned by HashKey.
	KeyHashes []string `json:"key-hashes"`
	// PerSecond is the quota in requests per second over all hosts together, and
	// Burst the number of requests beyond it. A PerSecond of 0 means no quota.
	PerSecond float64 `json:"per-second,omitempty"`
	Burst     float64 `json:"burst,omitempty"`
	// Priority counts before that of the route; 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
}

// HashKey returns the hash of a key of a workspace, or "" for an empty key. Tables
// have hashes only, so that no entry host knows the keys.
func HashKey(key string) string {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// checkWorkspaces returns an error if the workspaces of a table are not valid. The
// error names no key.
func checkWorkspaces(list []Workspace) error {
	names, holders := map[string]bool{}, map[string]string{}
	for i := range list {
		w := &list[i]
		if err := w.check(); err != nil {
			return fmt.Errorf("workspace %q: %w", w.Name, err)
		}
		if names[w.Name] {
			return fmt.Errorf("workspace %q: want a unique name", w.Name)
		}
		names[w.Name] = true
		for n, hash := range w.KeyHashes {
			switch holder, taken := holders[hash]; {
			case hash == "":
				return fmt.Errorf("workspace %q: key %d is empty", w.Name, n+1)
			case taken && holder != w.Name:
				return fmt.Errorf("workspaces %q and %q have the same key", holder, w.Name)
			}
			holders[hash] = w.Name
		}
	}
	return nil
}

func (w *Workspace) check() error {
	// The name is sent in a header, which is trimmed, and is a part of ids that ends
	// at a line feed.
	if w.Name == "" || len(w.Name) > MaxWorkspaceNameBytes || !utf8.ValidString(w.Name) ||
		strings.ContainsFunc(w.Name, unicode.IsControl) || strings.TrimSpace(w.Name) != w.Name {
		return fmt.Errorf("name of %d bytes: want 1 to %d bytes of UTF-8 without control characters and spaces around it", len(w.Name), MaxWorkspaceNameBytes)
	}
	for _, n := range []float64{w.PerSecond, w.Burst} {
		if math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
			return fmt.Errorf("quota of %v requests/s and a burst of %v: want 0 or more", w.PerSecond, w.Burst)
		}
	}
	return nil
}

// HasWorkspaces reports whether requests need a key, except on public routes.
func (x *Index) HasWorkspaces() bool { return len(x.table.Workspaces) > 0 }

// Workspaces returns the workspaces of the table, which must not be changed.
func (x *Index) Workspaces() []Workspace { return x.table.Workspaces }

// Routes returns the routes of the table, which must not be changed.
func (x *Index) Routes() []Route { return x.table.Routes }

// Workspace returns the workspace that has a key with the given hash, or nil.
func (x *Index) Workspace(hash string) *Workspace { return x.workspaces[hash] }
