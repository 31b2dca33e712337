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

// Command is one log entry for the tree. Exactly one field is set.
type Command struct {
	Change *Change `json:"change,omitempty"`
}

// Query asks the tree without changing it. Exactly one field is set.
type Query struct {
	Get        *GetQuery        `json:"get,omitempty"`
	List       *ListQuery       `json:"list,omitempty"`
	Difference *DifferenceQuery `json:"difference,omitempty"`
	Outcome    *OutcomeQuery    `json:"outcome,omitempty"`
}

// GetQuery asks for one path.
type GetQuery struct {
	Path string `json:"path"`
}

// ListQuery asks for the paths at or below a prefix such as /teams/a.
type ListQuery struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"` // last path of the page before
	Limit  int    `json:"limit"`           // 0 means all
}

// DifferenceQuery asks for what changed after a revision.
type DifferenceQuery struct {
	Since int64 `json:"since"`
}

// OutcomeQuery asks for the outcome of a change id.
type OutcomeQuery struct {
	ChangeID string `json:"change-id"`
}

// QueryResult is the answer to a Query.
type QueryResult struct {
	Error      string      `json:"error,omitempty"` // set when the query is malformed
	Revision   int64       `json:"revision"`
	Entries    []Entry     `json:"entries,omitempty"`
	Difference *Difference `json:"difference,omitempty"`
	Outcome    *Outcome    `json:"outcome,omitempty"` // nil when the id is unknown
}
