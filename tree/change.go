// Package tree is the deterministic state machine of the configuration tree:
// paths with versioned JSON values, conditional changes, and differences between
// revisions, on which watches are built. It does not interpret the values, and
// neither replicates nor persists itself. Start reading at Change and
// StateMachine.ApplyChange.
package tree

import (
	"encoding/json"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// AnyVersion is the Write.IfVersion of an unconditional write.
const AnyVersion int64 = -1

// Write sets or deletes one path.
type Write struct {
	Path   string          `json:"path"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
	// IfVersion is the version that the path must have, 0 if it must not exist,
	// or AnyVersion.
	IfVersion int64 `json:"if-version"`
}

// Change is an atomic set of conditional writes: all are applied or none.
type Change struct {
	ChangeID string  `json:"change-id"`
	Team     string  `json:"team,omitempty"` // scope of the credential; empty for operators
	Author   string  `json:"author,omitempty"`
	Writes   []Write `json:"writes"`
}

// Entry is a path with its value, or the tombstone of a deleted path.
type Entry struct {
	Path     string          `json:"path"`
	Value    json.RawMessage `json:"value,omitempty"`
	Version  int64           `json:"version"`
	Revision int64           `json:"revision"` // tree revision of the last write
	ChangeID string          `json:"change-id"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// Outcome is the result of a Change. A resent change gets the outcome of its
// first application, as long as that is stored.
type Outcome struct {
	Applied  bool           `json:"applied"`
	Revision int64          `json:"revision"` // tree revision after the change
	Reason   verdict.Reason `json:"reason,omitempty"`
	Message  string         `json:"message,omitempty"`
	// Conflicts has the current entries of the paths whose condition failed.
	Conflicts []Entry `json:"conflicts,omitempty"`
}

// Difference has the entries that changed after a revision.
type Difference struct {
	Revision int64   `json:"revision"`
	Full     bool    `json:"full,omitempty"` // Entries is the whole tree
	Entries  []Entry `json:"entries,omitempty"`
}

// Command is one log entry for the tree. Exactly one field is set.
type Command struct {
	Change *Change `json:"change,omitempty"`
}

// Query is a read-only request to the tree. Exactly one field is set.
type Query struct {
	Get        *GetQuery        `json:"get,omitempty"`
	List       *ListQuery       `json:"list,omitempty"`
	Difference *DifferenceQuery `json:"difference,omitempty"`
	Outcome    *OutcomeQuery    `json:"outcome,omitempty"`
}

// GetQuery reads the entry of a path.
type GetQuery struct {
	Path string `json:"path"`
}

// ListQuery reads a page of the entries at or below a prefix such as /teams/a.
type ListQuery struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"` // last path of the previous page
	Limit  int    `json:"limit"`           // 0 means all
}

// DifferenceQuery reads the changes after a revision.
type DifferenceQuery struct {
	Since int64 `json:"since"`
}

// OutcomeQuery reads the outcome of a change id.
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
