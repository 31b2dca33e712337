// Package cluster runs the control hosts and the ledger hosts of a deployment
// whose hosts may be added and removed at any time. Control hosts discover each
// other from a few seeds, replicate the routing table and the ledger plan in a
// log, and distribute them and the registered backend servers to entry hosts.
// Ledger hosts replicate the partitions of the ledger that the plan assigns to
// them.
//
// The package does not forward requests and does not implement the replicated
// log (package replica) or the rules of the ledger (package ledger). Start
// reading at Host, LedgerHost and Link, which run on control hosts, ledger
// hosts and entry hosts.
package cluster

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/strictjson"
	"github.com/sycamoreline/sycamoreline/tree"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// Paths in the configuration tree.
const (
	tablePath  = "/routing/table"
	sourcePath = "/routing/source"
)

// maxValueBytes bounds the routing table and its source. A configuration of
// 4 MiB, the largest that operators can send, is smaller in both forms.
const maxValueBytes = 16 << 20

// controlState is the state machine of the control hosts' log: the
// configuration tree.
type controlState struct {
	updates *tableUpdates
	changed func() // called after each change of the routing table
	// departed is called with departures of backend servers that were written to the
	// log or removed from it. all is true if the log has no others.
	departed func(list []recordedDeparture, all bool)

	mu    sync.RWMutex
	tree  *tree.StateMachine
	table *route.Table // parsed from the tree; nil without one
}

func newControlState(changed func(), departed func(list []recordedDeparture, all bool)) *controlState {
	return &controlState{changed: changed, departed: departed, tree: tree.New(tree.WithMaxValueBytes(maxValueBytes)), updates: &tableUpdates{}}
}

// Apply implements replica.StateMachine.
func (s *controlState) Apply(_ uint64, unixMillis int64, data []byte) []byte {
	var c tree.Change
	if err := json.Unmarshal(data, &c); err != nil {
		return strictjson.Encode(tree.Outcome{Reason: verdict.BadRequest, Message: err.Error()})
	}
	s.mu.Lock()
	o := s.tree.ApplyChange(unixMillis, c)
	s.parseTable()
	departures := s.departuresIn(c.Writes)
	s.mu.Unlock()
	if len(departures) > 0 {
		s.departed(departures, false)
	}
	return strictjson.Encode(o)
}

// parseTable parses the routing table in force. It panics if that fails, since
// only valid tables are written to the log.
func (s *controlState) parseTable() {
	e, ok := s.lookup(tablePath)
	if !ok {
		s.table = nil
		return
	}
	t := new(route.Table)
	if err := json.Unmarshal(e.Value, t); err != nil {
		panic(fmt.Sprintf("decode routing table from the log: %v", err))
	}
	s.table = t
	s.updates.set(t)
	s.changed()
}

func (s *controlState) lookup(path string) (tree.Entry, bool) {
	r := s.tree.Answer(tree.Query{Get: &tree.GetQuery{Path: path}})
	if len(r.Entries) == 0 || r.Entries[0].Deleted {
		return tree.Entry{}, false
	}
	return r.Entries[0], true
}

// routingTable returns the routing table in force, the text that the operator
// supplied and the version of tablePath. All are zero without a table.
func (s *controlState) routingTable() (t *route.Table, source json.RawMessage, pathVersion int64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.lookup(tablePath)
	if !ok {
		return nil, nil, 0
	}
	src, _ := s.lookup(sourcePath)
	return s.table, src.Value, e.Version
}

func (s *controlState) tableVersion() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.table == nil {
		return 0
	}
	return s.table.Version
}

// Snapshot implements replica.StateMachine.
func (s *controlState) Snapshot(w io.Writer) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.tree.Snapshot(w)
}

// Restore implements replica.StateMachine.
func (s *controlState) Restore(r io.Reader) error {
	s.mu.Lock()
	err := s.tree.Restore(r)
	if err == nil {
		s.parseTable()
	}
	departures := s.allDepartures()
	s.mu.Unlock()
	if err != nil {
		return err
	}
	s.departed(departures, true)
	return nil
}
