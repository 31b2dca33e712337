package control

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/membership"
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
	tree    *tree.Machine
	members *membership.Machine
}

func newConfigMachine() *configMachine {
	return &configMachine{tree: tree.New(), members: membership.New()}
}

// Apply implements replica.Machine.
func (m *configMachine) Apply(_ uint64, unixMillis int64, command []byte) []byte {
	var c configCommand
	if err := json.Unmarshal(command, &c); err != nil {
		return encode(tree.Outcome{Message: err.Error()})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case c.Change != nil:
		return encode(m.tree.ApplyChange(unixMillis, *c.Change))
	case c.Member != nil:
		return encode(m.members.ApplyCommand(unixMillis, *c.Member))
	default:
		return encode(tree.Outcome{Message: "command is empty"})
	}
}

// encode writes wire types, whose encoding cannot fail.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return data
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
	if err := binary.Write(w, binary.BigEndian, uint64(configuration.Len())); err != nil {
		return err
	}
	if _, err := configuration.WriteTo(w); err != nil {
		return err
	}
	return m.members.Snapshot(w)
}

// Restore implements replica.Machine.
func (m *configMachine) Restore(r io.Reader) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	var length uint64
	if err := binary.Read(r, binary.BigEndian, &length); err != nil {
		return fmt.Errorf("snapshot of the configuration group: %w", err)
	}
	part := io.LimitReader(r, int64(length))
	if err := m.tree.Restore(part); err != nil {
		return err
	}
	// The tree may stop reading before the end of its part.
	if _, err := io.Copy(io.Discard, part); err != nil {
		return err
	}
	return m.members.Restore(r)
}

// programMachine is the state machine of a program group.
type programMachine struct {
	mu     sync.RWMutex
	ledger *ledger.Machine
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
