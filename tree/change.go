// Package tree is the deterministic state machine of the configuration tree:
// paths with versions, conditional changes and watches.
package tree

import (
	"encoding/json"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// AnyVersion as Write.IfVersion makes a write unconditional. 0 means that the
// path must not exist.
const AnyVersion int64 = -1

// Write sets or deletes one path.
type Write struct {
	Path      string          `json:"path"`
	Value     json.RawMessage `json:"value,omitempty"`
	Delete    bool            `json:"delete,omitempty"`
	IfVersion int64           `json:"if-version"`
}

// Change is one conditional set of writes: all are applied or none.
type Change struct {
	ChangeID string  `json:"change-id"`
	Team     string  `json:"team,omitempty"` // credential's scope; empty for operators
	Author   string  `json:"author,omitempty"`
	Writes   []Write `json:"writes"`
}

// Entry is a path with its value. A deleted path has Deleted set.
type Entry struct {
	Path     string          `json:"path"`
	Value    json.RawMessage `json:"value,omitempty"`
	Version  int64           `json:"version"`
	Revision int64           `json:"revision"` // tree revision of the last write
	ChangeID string          `json:"change-id"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// Outcome is the answer to a Change; a resent change gets its first outcome.
type Outcome struct {
	Applied  bool           `json:"applied"`
	Revision int64          `json:"revision"` // tree revision after the change
	Reason   verdict.Reason `json:"reason,omitempty"`
	Message  string         `json:"message,omitempty"`
	// Conflicts are the current entries of the paths whose condition failed.
	Conflicts []Entry `json:"conflicts,omitempty"`
}

// Difference is what changed after a revision.
type Difference struct {
	Revision int64   `json:"revision"`
	Full     bool    `json:"full,omitempty"` // entries are the whole tree, not a difference
	Entries  []Entry `json:"entries,omitempty"`
}
