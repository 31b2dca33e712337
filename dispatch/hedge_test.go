package dispatch

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/board"
	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/schedule"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// script is the behaviour of a fake engine in one stream: a letter sends a
// token, "|" starts or resumes the other stream and waits until this one is
// resumed, "!" fails the stream, and the end of the script completes the answer.
type script string

// scriptedEngines runs one script per engine, only one of them at a time.
type scriptedEngines struct {
	scripts map[string]script // by address
	resumed map[string]chan struct{}
	yield   func(from string) // starts or resumes the stream of the other engine
}

func (e *scriptedEngines) Stream(ctx context.Context, address string, c engine.Call, emit func(engine.Token) error) (engine.Finish, error) {
	offset := c.ResumeFrom
	for _, step := range e.scripts[address] {
		switch step {
		case '|':
			e.yield(address)
			select {
			case <-e.resumed[address]:
			case <-ctx.Done():
				return engine.Finish{}, ctx.Err()
			}
		case '!':
			defer e.yield(address)
			return engine.Finish{}, verdict.New(verdict.MayHaveRun, verdict.ServerFailed, "stream failed")
		default:
			if err := emit(engine.Token{Offset: offset, Text: string(step)}); err != nil {
				return engine.Finish{}, err
			}
			offset++
		}
	}
	return engine.Finish{Reason: "stop"}, nil
}

// intentLedger is a ledger that accepts every intent and nothing else.
type intentLedger struct{ Ledger }

func (intentLedger) MarkSent(context.Context, ledger.MarkSent) (ledger.CallState, error) {
	return ledger.CallState{}, nil
}

type alwaysAlive struct{}

func (alwaysAlive) Alive(context.Context, membership.Server) bool { return true }

type textSink struct{ text strings.Builder }

func (s *textSink) Token(t engine.Token) error {
	s.text.WriteString(t.Text)
	return nil
}

// Guards against an answer that mixes the tokens of two engines, and against
// lost or duplicate tokens when a call moves to the hedge.
func TestHedgedStreams(t *testing.T) {
	tests := []struct {
		name          string
		first, second script
		want          string
		wantErr       string
	}{
		{name: "hedge supersedes the slow stream", first: "ab|cd|ef", second: "CDEF", want: "abCDEF"},
		{name: "first completes before the hedge has a token", first: "ab|cdef", second: "|CDEF", want: "abcdef"},
		{name: "hedge fails and first completes", first: "ab|cd|ef", second: "|!", want: "abcdef"},
		{name: "first fails before the hedge has a token", first: "ab|cd!", second: "|CDEF", want: "abCDEF"},
		{name: "hedge fails after it has superseded first", first: "ab|cd", second: "CD!", want: "abCD", wantErr: "stream failed"},
		{name: "both fail", first: "ab|c!", second: "|!", want: "ab", wantErr: "stream failed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := runHedged(t, tt.first, tt.second)
			assert.Equal(t, got, tt.want)
			if tt.wantErr != "" {
				assert.ErrorContains(t, err, tt.wantErr)
				return
			}
			assert.NilError(t, err)
		})
	}
}

// runHedged runs the first script and, from its first "|", the second one as the
// hedge. It returns the text that the caller received.
func runHedged(t *testing.T, first, second script) (string, error) {
	t.Helper()
	id := schedule.CallID{Program: "p", Call: 1, Attempt: 1}
	e := &scriptedEngines{
		scripts: map[string]script{"first": first, "second": second},
		resumed: map[string]chan struct{}{"first": make(chan struct{}, 8), "second": make(chan struct{}, 8)},
	}
	b := board.New()
	start := time.Now()
	d := New(Config{
		Host: "h", Incarnation: "1", Ledger: intentLedger{}, Engines: e, Prober: alwaysAlive{}, Board: b,
		Clock: func() time.Duration { return time.Since(start) },
	})
	defer d.Close()
	b.ApplyMembers(membership.Difference{Revision: 1, Hosts: 1, Servers: []membership.Server{
		{Announcement: membership.Announcement{Server: "second", Address: "second", Kind: membership.Engine, Slots: 1}},
	}})
	var hedge sync.Once
	e.yield = func(from string) {
		other := "second"
		if from == "second" {
			other = "first"
		}
		started := false
		hedge.Do(func() {
			started = true
			d.queue.Do(func(time.Duration, *schedule.Scheduler) {
				d.queue.hedges[id] <- schedule.Assignment{ID: id, Server: "second", Hedge: true}
			})
		})
		if !started {
			e.resumed[other] <- struct{}{}
		}
	}
	c := newCall(ledger.ModelCall, true, "h", "1")
	c.state = ledger.CallState{Program: "p", Call: 1, Attempt: 1, Answer: json.RawMessage(`{}`)}
	sink := &textSink{}
	s := &modelSender{d: d, call: c, sink: sink}
	x := &execution{d: d, call: c, sender: s, logger: zap.NewNop()}
	h := &hedgedStream{execution: x, sender: s, ends: make(chan streamEnd, 2)}
	_, _, err := h.run(t.Context(), send{
		server:     membership.Server{Announcement: membership.Announcement{Server: "first", Address: "first"}},
		assignment: schedule.Assignment{ID: id, Server: "first"},
	})
	return sink.text.String(), err
}
