// Package cluster runs the control hosts of a deployment whose hosts come and
// go: they find each other from a few seeds, keep one replicated log for the
// routing table and the turns of programs, and tell entry hosts of both and of
// the backend servers that announce themselves.
package cluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/replica"
	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/strictjson"
	"github.com/sycamoreline/sycamoreline/tree"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// Paths of the configuration tree.
const (
	tablePath  = "/routing/table"
	sourcePath = "/routing/source"
)

// command is a log entry. Exactly one field is set.
type command struct {
	Change  *tree.Change    `json:"change,omitempty"`
	Program *ledger.Command `json:"program,omitempty"`
}

// state is the machine of the log: the configuration tree and the ledger of
// programs.
type state struct {
	mu     sync.RWMutex
	tree   *tree.Machine
	ledger *ledger.Machine
	table  *route.Table // parsed from the tree; nil without one
}

func newState() *state { return &state{tree: tree.New(), ledger: ledger.New()} }

// Apply implements replica.Machine.
func (s *state) Apply(_ uint64, unixMillis int64, data []byte) []byte {
	var c command
	if err := json.Unmarshal(data, &c); err != nil {
		return strictjson.Encode(tree.Outcome{Reason: verdict.BadRequest, Message: err.Error()})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c.Change != nil:
		o := s.tree.ApplyChange(unixMillis, *c.Change)
		s.loadTable()
		return strictjson.Encode(o)
	case c.Program != nil:
		return strictjson.Encode(s.ledger.ApplyCommand(unixMillis, *c.Program))
	default:
		return strictjson.Encode(tree.Outcome{Reason: verdict.BadRequest, Message: "command is empty"})
	}
}

// loadTable parses the table in force. Only checked tables are written.
func (s *state) loadTable() {
	e, ok := s.entry(tablePath)
	if !ok {
		s.table = nil
		return
	}
	t := new(route.Table)
	if err := json.Unmarshal(e.Value, t); err != nil {
		panic(fmt.Sprintf("routing table in the log: %v", err))
	}
	s.table = t
}

func (s *state) entry(path string) (tree.Entry, bool) {
	r := s.tree.Answer(tree.Query{Get: &tree.GetQuery{Path: path}})
	if len(r.Entries) == 0 || r.Entries[0].Deleted {
		return tree.Entry{}, false
	}
	return r.Entries[0], true
}

// current returns the routing table, the text that it was given as, and the
// version of its path; nil without a table.
func (s *state) current() (t *route.Table, source json.RawMessage, pathVersion int64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.entry(tablePath)
	if !ok {
		return nil, nil, 0
	}
	src, _ := s.entry(sourcePath)
	return s.table, src.Value, e.Version
}

func (s *state) tableVersion() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.table == nil {
		return 0
	}
	return s.table.Version
}

func (s *state) chain(turn string) ([]byte, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.ledger.Chain(turn)
}

// Snapshot implements replica.Machine.
func (s *state) Snapshot(w io.Writer) error {
	write := s.Capture()
	return write(w)
}

// Capture implements replica.Capturer. The tree is copied at once, since it is
// small; it comes first, preceded by its length in bytes.
func (s *state) Capture() func(io.Writer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var configuration bytes.Buffer
	err := s.tree.Snapshot(&configuration)
	writeLedger := s.ledger.Capture()
	return func(w io.Writer) error {
		if err != nil {
			return err
		}
		if err := replica.WriteSection(w, configuration.Bytes()); err != nil {
			return err
		}
		return writeLedger(w)
	}
}

// Restore implements replica.Machine.
func (s *state) Restore(r io.Reader) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := replica.ReadSection(r, s.tree.Restore); err != nil {
		return err
	}
	s.loadTable()
	return s.ledger.Restore(r)
}
