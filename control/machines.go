package control

import (
	"bytes"
	"encoding/json"
	"io"
	"sync"

	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/replica"
	"github.com/sycamoreline/sycamoreline/strictjson"
	"github.com/sycamoreline/sycamoreline/tree"
)

// configCommand is a log entry of the configuration group. Exactly one field
// is set.
type configCommand struct {
	Change *tree.Change        `json:"change,omitempty"`
	Member *membership.Command `json:"member,omitempty"`
}

// configMachine is the state machine of the configuration group: the
// configuration tree and the members.
type configMachine struct {
	mu      sync.RWMutex
	tree    *tree.StateMachine
	members *membership.StateMachine
}

func newConfigMachine() *configMachine {
	return &configMachine{tree: tree.New(), members: membership.New()}
}

// Apply implements replica.Machine.
func (m *configMachine) Apply(_ uint64, unixMillis int64, command []byte) []byte {
	var c configCommand
	if err := json.Unmarshal(command, &c); err != nil {
		return strictjson.Encode(tree.Outcome{Message: err.Error()})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case c.Change != nil:
		return strictjson.Encode(m.tree.ApplyChange(unixMillis, *c.Change))
	case c.Member != nil:
		return strictjson.Encode(m.members.ApplyCommand(unixMillis, *c.Member))
	default:
		return strictjson.Encode(tree.Outcome{Message: "command is empty"})
	}
}

// Snapshot implements replica.Machine. The tree comes first, preceded by its
// length in bytes.
func (m *configMachine) Snapshot(w io.Writer) error {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var configuration bytes.Buffer
	if err := m.tree.Snapshot(&configuration); err != nil {
		return err
	}
	if err := replica.WriteSection(w, configuration.Bytes()); err != nil {
		return err
	}
	return m.members.Snapshot(w)
}

// Restore implements replica.Machine.
func (m *configMachine) Restore(r io.Reader) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := replica.ReadSection(r, m.tree.Restore); err != nil {
		return err
	}
	return m.members.Restore(r)
}

// programMachine is the state machine of a program group.
type programMachine struct {
	mu     sync.RWMutex
	ledger *ledger.StateMachine
}

func newProgramMachine() *programMachine {
	return &programMachine{ledger: ledger.New()}
}

// Apply implements replica.Machine.
func (m *programMachine) Apply(_ uint64, unixMillis int64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Apply(unixMillis, command)
}

// Snapshot implements replica.Machine.
func (m *programMachine) Snapshot(w io.Writer) error {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.ledger.Snapshot(w)
}

// Capture implements replica.Capturer.
func (m *programMachine) Capture() func(io.Writer) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Capture()
}

// Restore implements replica.Machine.
func (m *programMachine) Restore(r io.Reader) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Restore(r)
}

func (m *programMachine) query(query []byte) []byte {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.ledger.Query(query)
}

func (m *programMachine) due(unixMillis int64) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.ledger.Due(unixMillis)
}
