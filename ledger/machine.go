package ledger

import (
	"encoding/json"
	"fmt"

	"github.com/tidwall/btree"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// StateMachine is the state of one program group. It is not safe for concurrent
// use.
type StateMachine struct {
	options options
	bodies  Bodies // or nil, to keep the bodies of turns in memory
	// inlineBytes is the size of the bodies in memory, if there are others.
	inlineBytes int
	// clock is in milliseconds. It follows the steady times of the commands or, for
	// commands without one, is the greatest Unix time passed with a command. It
	// never goes back, so a new leader with a slow clock cannot make an expired
	// program valid again.
	clock    int64
	steady   steadyOrigin
	programs map[string]*program
	timers   *btree.BTreeG[timer]
	releases releaseRecords
	// closed lists the closed programs that have not been purged, in the order
	// of their closing.
	closed *btree.BTreeG[timer]
	// removedPrograms counts removed programs. While it is 0, an unknown program
	// cannot have run anything.
	removedPrograms int64
	turns           turns
}

// New returns an empty state machine.
func New(opts ...Option) *StateMachine {
	o := defaultOptions()
	for _, set := range opts {
		set(&o)
	}
	return &StateMachine{
		options:  o,
		bodies:   o.bodies,
		programs: make(map[string]*program),
		timers:   newTimers(),
		releases: newReleaseRecords(),
		closed:   newTimers(),
		turns:    newTurns(),
	}
}

// Apply applies a Command in JSON and returns its Result in JSON. Malformed
// input is refused and leaves the state unchanged.
func (m *StateMachine) Apply(unixMillis int64, command []byte) []byte {
	var c Command
	if err := json.Unmarshal(command, &c); err != nil {
		return encode(badCommand(err))
	}
	return encode(m.ApplyCommand(unixMillis, c))
}

// ApplyCommand is Apply without the JSON encoding.
func (m *StateMachine) ApplyCommand(unixMillis int64, c Command) Result {
	if err := c.check(); err != nil {
		return badCommand(err)
	}
	if t := c.SteadyTime; t != nil {
		unixMillis = m.steady.clock(m.clock, t)
	}
	m.advanceClock(unixMillis)
	switch {
	case c.OpenProgram != nil:
		return m.openProgram(c.OpenProgram)
	case c.OpenCall != nil:
		return m.openCall(c.OpenCall)
	case c.MarkSent != nil:
		return m.markSent(c.MarkSent)
	case c.SettleCall != nil:
		return m.settleCall(c.SettleCall)
	case c.TakeOver != nil:
		return m.takeOver(c.TakeOver)
	case c.EndProgram != nil:
		return m.endProgram(c.EndProgram)
	case c.ReleaseConfirmed != nil:
		m.releases.confirm(*c.ReleaseConfirmed)
	case c.ServerGone != nil:
		m.serverGone(*c.ServerGone)
	case c.Tick != nil:
		m.tick()
	case c.ReserveTurn != nil:
		return m.reserveTurn(c.ReserveTurn)
	case c.SettleTurn != nil:
		return m.settleTurn(c.SettleTurn)
	case c.ExtendTurn != nil:
		return m.extendTurn(c.ExtendTurn)
	case c.RecordStream != nil:
		return m.recordStream(c.RecordStream)
	case c.RecordOutput != nil:
		return m.recordOutput(c.RecordOutput)
	case c.LookupStream != nil:
		return m.lookupStream(c.LookupStream)
	}
	return Result{}
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// Reached only if an answer that was passed to ApplyCommand is malformed
		// JSON.
		data, _ = json.Marshal(badCommand(err))
	}
	return data
}

func badCommand(err error) Result {
	return refuse(verdict.NotRun, verdict.BadRequest, "%s", err)
}

func refuse(v verdict.Verdict, reason verdict.Reason, format string, args ...any) Result {
	return Result{Refusal: newRefusal(v, reason, format, args...)}
}

func newRefusal(v verdict.Verdict, reason verdict.Reason, format string, args ...any) *Refusal {
	return &Refusal{Verdict: v, Reason: reason, Message: fmt.Sprintf(format, args...)}
}
