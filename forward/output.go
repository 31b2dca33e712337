package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/cluster"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/sse"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	// outputTimeout bounds the recording of events, for which their caller waits.
	outputTimeout = settleTimeout
	// maxBatchEvents is the maximum number of events that are recorded together.
	maxBatchEvents = 32
)

// errOutputNotRecorded is the cause of an error if events could not be recorded. The
// call ends, since later events can't be passed on either.
var errOutputNotRecorded = errors.New("output of the turn was not recorded")

// recordsOutput reports whether the events of the call are recorded before they are
// passed on: its turn can be continued later, and taken up elsewhere meanwhile, by
// a host that must then know the events before.
func (c *Call) recordsOutput() bool {
	return c.Turn != nil && c.Route.Kind == route.Stream && c.Route.KeepsHistory && c.Route.Resumable
}

// takenUpAfter returns the id of the event after which the call takes up recorded
// output, or empty.
func (c *Call) takenUpAfter() string {
	if !c.recordsOutput() || !c.continues() {
		return ""
	}
	return c.LastEvent
}

// outputStream returns the ledger id of the request that began the recorded output.
func (c *Call) outputStream() string {
	if c.takenUpAfter() != "" {
		return c.ledgerID(c.Resumes)
	}
	return c.ledgerID(c.ID)
}

// takeUpOutput makes the output before the last event that the caller has received
// the beginning of the output of the turn.
func (r *execution) takeUpOutput(v cluster.Reservation) error {
	if err := r.holdAnswer(len(v.Output)); err != nil {
		return verdict.New(verdict.NotRun, verdict.Overloaded, "the output of the stream is too large", verdict.WithCause(err), verdict.WithRetryAfter(recoveryRetryAfter()))
	}
	r.output, r.outputEvents = v.Output, v.OutputEvents
	return nil
}

// recordOutput records events in the ledger.
func (r *execution) recordOutput(frames []sse.Frame) error {
	// Not the context of the attempt: once events are recorded, they must also be
	// passed on, since another attempt goes on after the last one passed on.
	ctx, cancel := context.WithTimeout(r.ctx, min(outputTimeout, time.Until(r.call.Deadline)))
	defer cancel()
	c := ledger.RecordOutput{
		Stream: r.call.outputStream(), Turn: r.call.ledgerID(r.call.ID), Offset: r.outputEvents, Retention: r.streamRetention().Milliseconds(),
	}
	for _, f := range frames {
		c.Events = append(c.Events, ledger.OutputEvent{ID: f.ID, Data: f.Data})
	}
	started := time.Now()
	if err := r.turns.RecordOutput(ctx, r.call.ledgerID(r.call.Program), c); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.From(err).Reason(), "events could not be recorded", verdict.WithCause(errors.Join(errOutputNotRecorded, err)))
	}
	r.metrics.outputRecorded(time.Since(started))
	r.outputEvents += len(frames)
	return nil
}

// eventSource reads the events of a server's answer.
type eventSource interface {
	// next returns at least one event, valid until the next call, or an error, which
	// is io.EOF at the end of the stream.
	next() ([]sse.Frame, error)
	close()
}

// newEventSource returns a source of single events or, if each of them would have
// to wait for the ledger, of all that have arrived.
func (r *execution) newEventSource(resp *http.Response) eventSource {
	frames := sse.NewFrameReader(resp.Body, maxEventBytes)
	if !r.call.recordsOutput() {
		return &singleEvents{frames: frames}
	}
	b := &eventBatches{response: resp, events: make(chan sse.Frame, maxBatchEvents), done: make(chan struct{})}
	go b.read(frames)
	return b
}

type singleEvents struct {
	frames *sse.FrameReader
	event  [1]sse.Frame
}

func (s *singleEvents) next() ([]sse.Frame, error) {
	var err error
	s.event[0], err = s.frames.Next()
	return s.event[:], err
}

func (*singleEvents) close() {}

// eventBatches reads ahead, so that a slow ledger doesn't delay each event by the
// time of all before it.
type eventBatches struct {
	response *http.Response
	events   chan sse.Frame
	err      error // valid once events is closed
	ended    bool  // next has seen the end of events
	done     chan struct{}
}

func (b *eventBatches) read(frames *sse.FrameReader) {
	defer close(b.events)
	for {
		f, err := frames.Next()
		if err != nil {
			b.err = err
			return
		}
		select {
		case b.events <- f:
		case <-b.done:
			return
		}
	}
}

func (b *eventBatches) next() ([]sse.Frame, error) {
	first, ok := <-b.events
	if !ok {
		b.ended = true
		return nil, b.err
	}
	batch := []sse.Frame{first}
	for len(batch) < maxBatchEvents {
		select {
		case f, ok := <-b.events:
			if !ok {
				return batch, nil // the next call returns the error
			}
			batch = append(batch, f)
		default:
			return batch, nil
		}
	}
	return batch, nil
}

// close ends the reading and waits for its end. It closes the connection of a stream
// that has not been read to its end.
func (b *eventBatches) close() {
	if b.ended {
		return
	}
	close(b.done)
	backend.CloseIn(b.response, 0)
	for range b.events { //nolint:revive // waits for the end of the reader
	}
}
