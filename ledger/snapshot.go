package ledger

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

const snapshotVersion = 1

// header is the first record of a snapshot. One record for each program
// follows, sorted by id. The counts make a truncated snapshot detectable.
type header struct {
	Version         int                 `json:"version"`
	Clock           int64               `json:"clock"`
	SteadyOrigin    steadyOrigin        `json:"steady-origin,omitzero"`
	Programs        int                 `json:"programs"`
	RemovedPrograms int64               `json:"forgotten"`
	Due             []Release           `json:"due,omitempty"`
	Gone            []serverIncarnation `json:"gone,omitempty"`
	// Accounts, Turns, Streams and Outputs count the records of accounts, turns,
	// streams and outputs, which follow the programs in this order.
	Accounts int `json:"accounts,omitempty"`
	Turns    int `json:"turns,omitempty"`
	Streams  int `json:"streams,omitempty"`
	Outputs  int `json:"outputs,omitempty"`
}

// Snapshot writes the whole state as JSON records. The output is
// deterministic.
func (m *StateMachine) Snapshot(w io.Writer) error { return m.Capture()(w) }

// Capture copies the current state and returns a function that writes it as a
// snapshot. That function may run on another goroutine while further commands
// are applied: writing a large state takes seconds, copying it milliseconds.
func (m *StateMachine) Capture() func(io.Writer) error {
	h := header{
		Version: snapshotVersion, Clock: m.clock, SteadyOrigin: m.steady, Programs: len(m.programs), RemovedPrograms: m.removedPrograms,
		Due: m.releases.due.Items(), Gone: m.releases.goneOrder,
	}
	programs := make([]program, 0, len(m.programs))
	for _, p := range m.programs {
		programs = append(programs, p.capture())
	}
	c := m.turns.capture()
	h.Accounts, h.Turns, h.Streams, h.Outputs = len(c.accounts), len(c.kept), len(c.streams), len(c.outputs)
	return func(w io.Writer) error { return writeSnapshot(w, h, programs, c) }
}

// capturedTurns is a copy of turns.
type capturedTurns struct {
	accounts []account
	kept     []keptTurn
	streams  []keptStream
	outputs  []streamOutput
}

// capture copies what later commands change in place. The inputs and outputs of
// turns are immutable and shared with the copy.
func (t *turns) capture() capturedTurns {
	accounts := make([]account, 0, len(t.accounts))
	for _, a := range t.accounts {
		c := *a
		c.Reserved, c.Streams, c.SessionServers = maps.Clone(a.Reserved), maps.Clone(a.Streams), maps.Clone(a.SessionServers)
		accounts = append(accounts, c)
	}
	kept := make([]keptTurn, 0, len(t.kept))
	for _, k := range t.kept {
		kept = append(kept, *k)
	}
	streams := make([]keptStream, 0, len(t.streams))
	for id, r := range t.streams {
		streams = append(streams, keptStream{id, r})
	}
	outputs := make([]streamOutput, 0, len(t.outputs))
	for _, o := range t.outputs {
		outputs = append(outputs, *o)
	}
	return capturedTurns{accounts, kept, streams, outputs}
}

// capture copies what later commands change in place. Settled calls are
// immutable and history is append-only, so both are shared with the copy.
func (p *program) capture() program {
	c := *p
	c.Superseded, c.Memory, c.keys = slices.Clone(p.Superseded), slices.Clone(p.Memory), nil
	if r := p.Running; r != nil {
		c.Running = new(*r)
		c.Calls = slices.Clone(p.Calls)
		c.Calls[r.Call-1] = new(*p.Calls[r.Call-1])
	}
	return c
}

func writeSnapshot(w io.Writer, h header, programs []program, c capturedTurns) error {
	slices.SortFunc(c.accounts, func(a, b account) int { return strings.Compare(a.Program, b.Program) })
	slices.SortFunc(c.kept, func(a, b keptTurn) int { return strings.Compare(a.Turn, b.Turn) })
	slices.SortFunc(c.streams, func(a, b keptStream) int { return strings.Compare(a.Stream, b.Stream) })
	slices.SortFunc(c.outputs, func(a, b streamOutput) int { return strings.Compare(a.Stream, b.Stream) })
	slices.SortFunc(programs, func(a, b program) int { return strings.Compare(a.ID, b.ID) })
	buffered := bufio.NewWriterSize(w, 64<<10)
	encoder := json.NewEncoder(buffered)
	if err := encoder.Encode(h); err != nil {
		return fmt.Errorf("write snapshot header: %w", err)
	}
	for i := range programs {
		if err := encoder.Encode(&programs[i]); err != nil {
			return fmt.Errorf("write program %q: %w", programs[i].ID, err)
		}
	}
	for i := range c.accounts {
		if err := encoder.Encode(&c.accounts[i]); err != nil {
			return fmt.Errorf("write account %q: %w", c.accounts[i].Program, err)
		}
	}
	for i := range c.kept {
		if err := encoder.Encode(&c.kept[i]); err != nil {
			return fmt.Errorf("write turn %q: %w", c.kept[i].Turn, err)
		}
	}
	for i := range c.streams {
		if err := encoder.Encode(&c.streams[i]); err != nil {
			return fmt.Errorf("write stream %q: %w", c.streams[i].Stream, err)
		}
	}
	for i := range c.outputs {
		if err := encoder.Encode(&c.outputs[i]); err != nil {
			return fmt.Errorf("write output of stream %q: %w", c.outputs[i].Stream, err)
		}
	}
	return buffered.Flush()
}

// Restore replaces the state with a snapshot. On an error the state is
// unchanged.
func (m *StateMachine) Restore(r io.Reader) error {
	decoder := json.NewDecoder(bufio.NewReaderSize(r, 64<<10))
	var h header
	if err := decoder.Decode(&h); err != nil {
		return fmt.Errorf("read snapshot header: %w", err)
	}
	if h.Version != snapshotVersion {
		return fmt.Errorf("snapshot version %d: want %d", h.Version, snapshotVersion)
	}
	n := New()
	n.bodies = m.bodies
	n.options, n.clock, n.steady, n.removedPrograms = m.options, h.Clock, h.SteadyOrigin, h.RemovedPrograms
	for _, r := range h.Due {
		n.releases.due.Set(r)
	}
	for _, server := range h.Gone {
		n.releases.addGone(server, len(h.Gone))
	}
	for i := range h.Programs {
		p := new(program)
		if err := decoder.Decode(p); err != nil {
			return fmt.Errorf("read program %d of %d: %w", i+1, h.Programs, err)
		}
		if err := n.add(p); err != nil {
			return fmt.Errorf("program %q: %w", p.ID, err)
		}
	}
	if err := n.restoreTurns(decoder, h); err != nil {
		return err
	}
	if err := n.retainBodies(); err != nil {
		return err
	}
	*m = *n
	return nil
}

func (m *StateMachine) restoreTurns(decoder *json.Decoder, h header) error {
	t := &m.turns
	for i := range h.Accounts {
		a := &account{}
		if err := decoder.Decode(a); err != nil {
			return fmt.Errorf("read account %d of %d: %w", i+1, h.Accounts, err)
		}
		for turn, n := range a.Reserved {
			// Older snapshots have reservations by turn only.
			if _, open := a.Streams[turn]; !open {
				a.setStream(turn, openStream{MaxTokens: n, Open: []string{turn}})
			}
		}
		t.accounts[a.Program] = a
	}
	for i := range h.Turns {
		k := new(keptTurn)
		if err := decoder.Decode(k); err != nil {
			return fmt.Errorf("read turn %d of %d: %w", i+1, h.Turns, err)
		}
		if k.Body != nil && m.bodies == nil {
			return fmt.Errorf("turn %q: its body is in a segment, and there are none", k.Turn)
		}
		m.storeBody(k)
		t.kept[k.Turn] = k
	}
	for i := range h.Streams {
		var k keptStream
		if err := decoder.Decode(&k); err != nil {
			return fmt.Errorf("read stream %d of %d: %w", i+1, h.Streams, err)
		}
		t.streams[k.Stream] = k.streamRecord
	}
	for i := range h.Outputs {
		o := new(streamOutput)
		if err := decoder.Decode(o); err != nil {
			return fmt.Errorf("read output %d of %d: %w", i+1, h.Outputs, err)
		}
		if len(o.Turns) == 0 {
			return fmt.Errorf("output %d of %d has no turn", i+1, h.Outputs)
		}
		if o.Stored != nil && m.bodies == nil {
			return fmt.Errorf("output of stream %q: its events are in a segment, and there are none", o.Stream)
		}
		t.outputs[o.Stream] = o
	}
	return nil
}

// add inserts a program from a snapshot and rebuilds its indexes.
func (m *StateMachine) add(p *program) error {
	if m.programs[p.ID] != nil {
		return fmt.Errorf("duplicate id")
	}
	if p.Running != nil && (p.Running.Call < 1 || p.Running.Call > len(p.Calls)) {
		return fmt.Errorf("running call %d: want 1 to %d", p.Running.Call, len(p.Calls))
	}
	calls := p.Calls
	p.Calls = nil
	for i, k := range calls {
		if k == nil || k.Number != i+1 {
			return fmt.Errorf("call %d is out of order", i+1)
		}
		p.Calls = append(p.Calls, k)
		if p.keys == nil {
			p.keys = make(map[string]int, len(calls))
		}
		p.keys[k.Key] = k.Number
	}
	m.programs[p.ID] = p
	for _, server := range p.Memory {
		m.releases.held.Set(Release{server.Server, server.Incarnation, p.ID})
	}
	if p.Closed && !p.Purged {
		m.closed.Set(timer{p.ClosedAt, p.ID})
	}
	m.reschedule(p)
	return nil
}
