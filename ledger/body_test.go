package ledger

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// memoryBodies is a body store of a test. It fails if a body is used that was
// released.
type memoryBodies struct {
	bodies map[int64][]byte
	next   int64
	full   bool
	held   []int64
	failed error
}

func (b *memoryBodies) Append(body []byte) (BodyRef, error) {
	if b.full {
		return BodyRef{}, errors.New("full")
	}
	b.next++
	b.bodies[b.next] = bytes.Clone(body)
	return BodyRef{Offset: b.next, Length: len(body)}, nil
}

func (b *memoryBodies) Read(r BodyRef) ([]byte, error) {
	body, ok := b.bodies[r.Offset]
	if !ok {
		return nil, fmt.Errorf("body %d was released", r.Offset)
	}
	return body, nil
}

func (b *memoryBodies) Hold(r BodyRef) { b.held = append(b.held, r.Offset) }

func (b *memoryBodies) Fail(err error) { b.failed = err }

func (b *memoryBodies) Release(r BodyRef) { delete(b.bodies, r.Offset) }

func (b *memoryBodies) Retain(refs []BodyRef) error {
	used := map[int64][]byte{}
	for _, r := range refs {
		body, err := b.Read(r)
		if err != nil {
			return err
		}
		used[r.Offset] = body
	}
	b.bodies = used
	return nil
}

func drawOutputCommand(t *rapid.T, events map[string]int) Command {
	names := []string{"a", "b", "c", "d"}
	turn := rapid.SampledFrom(names).Draw(t, "turn")
	other := rapid.SampledFrom(names).Draw(t, "other")
	retention := rapid.Int64Range(1, 20_000).Draw(t, "retention")
	switch rapid.IntRange(0, 4).Draw(t, "command") {
	case 0:
		return Command{ReserveTurn: &ReserveTurn{Program: "p", Turn: turn, Budget: 1 << 30, MaxTokens: 1, Retention: retention}}
	case 1:
		return Command{ReserveTurn: &ReserveTurn{
			Program: "p", Turn: turn, Budget: 1 << 30, MaxTokens: 1, Retention: retention, Resumes: other, Continues: true,
			LastEvent: fmt.Sprint(rapid.IntRange(1, 4).Draw(t, "event")),
		}}
	case 2, 3:
		events[turn]++
		n := events[turn]
		return Command{RecordOutput: &RecordOutput{
			Stream: turn, Turn: turn, Offset: rapid.IntRange(0, n-1).Draw(t, "offset"), Retention: retention, Events: []OutputEvent{outputEvent(n, turn), {}},
		}}
	}
	keep := &KeptTurn{Previous: other, Input: bytes.Repeat([]byte("in "+turn), 200), Retention: retention}
	for n := range events[turn] {
		keep.Output = append(append(keep.Output, outputEvent(n+1, turn).Data...), '\n', '\n')
	}
	if rapid.Bool().Draw(t, "not kept") || other == turn {
		keep = nil
	}
	return Command{SettleTurn: &SettleTurn{Program: "p", Turn: turn, Tokens: 1, Keep: keep}}
}

// Guards against replicas whose results depend on where the contents of turns and
// streams lie, as after a full disk or a restored snapshot, and against bodies that are
// used after their release or never released.
func TestBodiesDoNotChangeResults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &memoryBodies{bodies: map[int64][]byte{}}
		inMemory, onDisk := New(), New(WithBodies(b))
		events := map[string]int{}
		now := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, 3_000).Draw(t, "pause")
			c := drawOutputCommand(t, events)
			b.full = rapid.IntRange(0, 4).Draw(t, "full") == 0
			want := inMemory.ApplyCommand(now, c)
			if s := c.SettleTurn; s != nil && s.Keep != nil && rapid.Bool().Draw(t, "packed") {
				settle, keep := *s, *s.Keep
				settle.Keep = &keep
				assert.Assert(t, keep.Pack())
				c.SettleTurn = &settle
			}
			have := onDisk.ApplyCommand(now, c)
			assert.Equal(t, string(encode(have)), string(encode(want)))
			if c.SettleTurn != nil {
				chain, ok := inMemory.Chain(c.SettleTurn.Turn)
				stored, storedOK := onDisk.Chain(c.SettleTurn.Turn)
				assert.Equal(t, storedOK, ok)
				assert.Equal(t, string(stored), string(chain))
			}
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				var snapshot bytes.Buffer
				assert.NilError(t, onDisk.Snapshot(&snapshot))
				assert.NilError(t, onDisk.Restore(&snapshot))
			}
		}
		for range 3 {
			now += 50_000
			onDisk.ApplyCommand(now, Command{Tick: &Tick{}})
		}
		assert.Equal(t, len(b.bodies), 0)
	})
}

// Guards against a replay that lacks what a command has read from the body store: the
// record of the events and the kept turn with their data.
func TestBodiesReadByCommandsAreHeld(t *testing.T) {
	store := &memoryBodies{bodies: map[int64][]byte{}}
	m := New(WithBodies(store))
	for _, c := range []Command{
		firstTurn("t", 1000, 8),
		{RecordOutput: &RecordOutput{Stream: "t", Turn: "t", Events: []OutputEvent{outputEvent(1, "t")}, Retention: 1000}},
		{SettleTurn: &SettleTurn{Program: "p", Turn: "t", Keep: &KeptTurn{Input: []byte("input"), Output: []byte("event 1 of t\n"), Retention: 1000}}},
	} {
		assert.Assert(t, m.ApplyCommand(0, c).Refusal == nil)
	}
	assert.Equal(t, len(store.held), 0)
	r := m.ApplyCommand(0, Command{ReserveTurn: &ReserveTurn{Program: "p", Turn: "u", Budget: 1000, MaxTokens: 8, Resumes: "t", LastEvent: "1"}})
	assert.Assert(t, r.Refusal == nil)
	assert.Equal(t, string(r.Turn.Output), "event 1 of t\n")
	assert.DeepEqual(t, store.held, []int64{2, 1})
}

// Guards against a replica that goes on with another state than the others after an
// output that it cannot load, and against an output that refers to a kept turn for data
// which only the kept turn of a duplicate settlement has.
func TestOutputThatCannotBeLoaded(t *testing.T) {
	settle := func(output string) Command {
		return Command{SettleTurn: &SettleTurn{Program: "p", Turn: "t", Keep: &KeptTurn{Input: []byte("input"), Output: []byte(output), Retention: 1000}}}
	}
	for _, damaged := range []bool{false, true} {
		store := &memoryBodies{bodies: map[int64][]byte{}}
		m := New(WithBodies(store))
		for _, c := range []Command{
			firstTurn("t", 1000, 8), settle("other output"),
			{RecordOutput: &RecordOutput{Stream: "t", Turn: "t", Events: []OutputEvent{outputEvent(1, "t")}, Retention: 1000}},
			settle("event 1 of t\n"),
		} {
			assert.Assert(t, m.ApplyCommand(0, c).Refusal == nil)
		}
		if damaged {
			store.bodies[store.next] = []byte{1}
		}
		r := m.ApplyCommand(0, Command{ReserveTurn: &ReserveTurn{Program: "p", Turn: "u", Budget: 1000, MaxTokens: 8, Resumes: "t", LastEvent: "1"}})
		assert.Equal(t, store.failed != nil, damaged)
		if !damaged {
			assert.Equal(t, string(r.Turn.Output), "event 1 of t\n")
		}
	}
}

// Guards against bodies that stay in memory beyond their share, and against a share
// that expired bodies go on using.
func TestInlineBodies(t *testing.T) {
	store := &memoryBodies{bodies: map[int64][]byte{}}
	m := New(WithBodies(store), WithInlineBodies(25))
	keep := func(millis int64, turns ...string) {
		for _, turn := range turns {
			m.ApplyCommand(millis, Command{ReserveTurn: &ReserveTurn{Program: "p", Turn: turn, Budget: 1 << 30, MaxTokens: 1, Retention: 1000}})
			m.ApplyCommand(millis, Command{SettleTurn: &SettleTurn{Program: "p", Turn: turn, Keep: &KeptTurn{Input: []byte("input"), Output: []byte(turn + "tput"), Retention: 1000}}})
		}
	}
	check := func(want int, turns ...string) {
		t.Helper()
		assert.Equal(t, len(store.bodies), want)
		for _, turn := range turns {
			body, ok := m.Chain(turn)
			assert.Assert(t, ok)
			assert.Equal(t, string(body), "input"+turn+"tput")
		}
	}
	keep(1000, "a", "b", "c", "d")
	check(2, "a", "b", "c", "d")
	keep(60_000, "e", "f", "g")
	check(1, "e", "f", "g")
}
