package ledger

import (
	"errors"
	"slices"

	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	// UnknownStream is the reason for refusing to take up a stream of which too
	// little is recorded.
	UnknownStream verdict.Reason = "unknown-stream"
	// StreamTakenUp is the reason for refusing events of a turn whose stream another
	// turn has taken up.
	StreamTakenUp verdict.Reason = "stream-taken-up"
)

// RecordOutput records events of a turn before its caller receives them. If the
// host of the turn is lost, another turn can take up the stream after any of these
// events, and knows the output before it.
type RecordOutput struct {
	Stream string `json:"stream"` // id of the request that began the stream
	Turn   string `json:"turn"`   // id of the request that receives the events
	// Offset is the number of events of the stream before these.
	Offset    int           `json:"offset"`
	Events    []OutputEvent `json:"events"`
	Retention int64         `json:"retention"` // milliseconds from now
}

// OutputEvent is an event of a stream. The ID is empty if the event has none.
type OutputEvent struct {
	ID   string `json:"id,omitempty"`
	Data []byte `json:"data"`
}

func (c *RecordOutput) check() error {
	err := errors.Join(checkID("stream", c.Stream), checkID("turn", c.Turn), checkAmount("offset", int64(c.Offset)), checkAmount("retention", c.Retention))
	for _, e := range c.Events {
		err = errors.Join(err, checkLength("event", e.ID))
	}
	return err
}

// streamOutput has the events of a stream that its caller may have received.
type streamOutput struct {
	Stream string `json:"stream"`
	// Turns has the requests that received the stream, in their order. Only the last
	// one may add events. Turns and Events are shared with snapshots and not changed
	// in place.
	Turns   []string      `json:"turns"`
	Events  []OutputEvent `json:"events"`
	Expires int64         `json:"expires"` // milliseconds of the machine's clock
	// Stored is set if the events are in the body store, and not changed in place.
	Stored *storedOutput `json:"stored,omitempty"`
}

func (o *streamOutput) current() string { return o.Turns[len(o.Turns)-1] }

// output returns the output of a stream that has not expired, or nil.
func (m *StateMachine) output(stream string) *streamOutput {
	if o := m.turns.outputs[stream]; o != nil && o.Expires > m.clock {
		return o
	}
	return nil
}

// recordOutput adds events. A duplicate adds none.
func (m *StateMachine) recordOutput(c *RecordOutput) Result {
	o := m.output(c.Stream)
	if o == nil {
		if c.Turn != c.Stream || c.Offset > 0 {
			return refuse(verdict.NotRun, UnknownStream, "the output of stream %q is not recorded", c.Stream)
		}
		m.releaseOutput(m.turns.outputs[c.Stream])
		o = &streamOutput{Stream: c.Stream, Turns: []string{c.Turn}}
		m.turns.outputs[c.Stream] = o
	}
	if o.current() != c.Turn {
		return refuse(verdict.NotRun, StreamTakenUp, "turn %q has taken up stream %q", o.current(), c.Stream)
	}
	if err := m.loadOutput(o); err != nil {
		return refuse(verdict.NotRun, UnknownStream, "the output of stream %q cannot be read: %v", c.Stream, err)
	}
	if c.Offset > len(o.Events) {
		return refuse(verdict.NotRun, verdict.BadRequest, "offset %d: stream %q has %d events", c.Offset, c.Stream, len(o.Events))
	}
	recorded := min(len(c.Events), len(o.Events)-c.Offset)
	o.Events = append(o.Events, c.Events[recorded:]...)
	o.Expires = max(o.Expires, m.clock+c.Retention)
	return Result{}
}

// findOutput returns the output of the stream that a turn takes up after an event,
// and the number of events up to and including that one.
func (m *StateMachine) findOutput(c *ReserveTurn) (*streamOutput, int, *Refusal) {
	o := m.output(c.Resumes)
	if o == nil {
		return nil, 0, newRefusal(verdict.NotRun, UnknownStream, "the output of stream %q is not recorded", c.Resumes)
	}
	if slices.Contains(o.Turns, c.Turn) && o.current() != c.Turn {
		return nil, 0, newRefusal(verdict.NotRun, StreamTakenUp, "turn %q has taken up stream %q", o.current(), c.Resumes)
	}
	if err := m.loadOutput(o); err != nil {
		return nil, 0, newRefusal(verdict.NotRun, UnknownStream, "the output of stream %q cannot be read: %v", c.Resumes, err)
	}
	for i, e := range slices.Backward(o.Events) {
		if e.ID == c.LastEvent {
			return o, i + 1, nil
		}
	}
	return nil, 0, newRefusal(verdict.NotRun, UnknownStream, "event %q of stream %q is not recorded", c.LastEvent, c.Resumes)
}

// takeUp makes a turn the one that receives the stream after its first events. What
// follows them is dropped: its caller has not received it, and the turn generates
// it anew.
func (o *streamOutput) takeUp(turn string, events int) {
	if o.current() == turn {
		return // a duplicate, which may come after events of the turn
	}
	o.Turns = append(slices.Clip(o.Turns), turn)
	o.Events = slices.Clip(o.Events[:events])
}

// data returns the data of the first events, each followed by a line feed, as the
// conversation contains them.
func (o *streamOutput) data(events int) []byte {
	var out []byte
	for _, e := range o.Events[:events] {
		out = append(append(out, e.Data...), '\n')
	}
	return out
}

// releaseOutput releases the stored events of an output that is removed or nil.
func (m *StateMachine) releaseOutput(o *streamOutput) {
	if o != nil && o.Stored != nil {
		m.bodies.Release(o.Stored.Body)
	}
}
