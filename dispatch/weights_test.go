package dispatch

import (
	"context"
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

// versionEngines runs a script per engine and records the calls. An engine that
// has lost the weights of a call rejects it.
type versionEngines struct {
	scripts map[string]script // by address
	lost    map[string]bool   // by address
	calls   []engine.Call
}

func (e *versionEngines) Stream(ctx context.Context, address string, c engine.Call, emit func(engine.Token) error) (engine.Finish, error) {
	e.calls = append(e.calls, c)
	if e.lost[address] {
		return engine.Finish{}, verdict.New(verdict.NotRun, verdict.UnknownModel, "version is not loaded")
	}
	s := &scriptedEngines{scripts: e.scripts, yield: func(string) {}}
	return s.Stream(ctx, address, c, emit)
}

// engineServer returns an engine that has versions of the model m.
func engineServer(id string, versions ...string) membership.Server {
	a := membership.Announcement{Server: id, Address: id, Kind: membership.Engine, Slots: 1}
	for _, v := range versions {
		a.Models = append(a.Models, membership.Model{Name: "m", Version: v})
	}
	return membership.Server{Announcement: a}
}

// newVersionSender returns the sender of a call of the model m, and its
// execution.
func newVersionSender(t *testing.T, engines Engines, servers ...membership.Server) (*modelSender, *execution, *textSink) {
	b, start := board.New(), time.Now()
	d := New(Config{
		Host: "h", Incarnation: "1", Ledger: intentLedger{}, Engines: engines, Prober: alwaysAlive{}, Board: b,
		Clock: func() time.Duration { return time.Since(start) },
	})
	t.Cleanup(d.Close)
	b.ApplyMembers(membership.Difference{Revision: 1, Hosts: 1, Servers: servers})
	c := newCall(ledger.ModelCall, true, "h", "1")
	c.state = ledger.CallState{Program: "p", Call: 1, Attempt: 1}
	sink := &textSink{}
	s := &modelSender{d: d, call: c, sink: sink, request: ModelCall{Model: "m"}}
	return s, &execution{d: d, call: c, sender: s, logger: zap.NewNop()}, sink
}

// Guards against an answer that one version of the weights begins and another
// one continues after a failed send.
func TestResumedAnswersKeepTheirWeights(t *testing.T) {
	tests := []struct {
		name          string
		first, second []string // versions of the engines
		script        script   // of the first engine
		requested     string   // version that the caller has named
		lost          bool     // the second engine has unloaded the weights
		wantText      string
		wantVersion   string // of the call to the second engine
		wantErr       string
	}{
		{name: "same weights", first: []string{"v1"}, second: []string{"v1"}, script: "ab!", wantText: "abCD", wantVersion: "v1"},
		{name: "other weights", first: []string{"v1"}, second: []string{"v2"}, script: "ab!", wantText: "ab", wantErr: "does not have the weights"},
		{name: "no tokens yet", first: []string{"v1"}, second: []string{"v2"}, script: "!", wantText: "CD"},
		{name: "one of several", first: []string{"v1"}, second: []string{"v2", "v1"}, script: "ab!", wantText: "abCD", wantVersion: "v1"},
		{name: "begun by any of several", first: []string{"v1", "v2"}, second: []string{"v1"}, script: "ab!", wantText: "ab", wantErr: "does not have the weights"},
		{name: "without versions", first: []string{""}, second: []string{""}, script: "ab!", wantText: "abCD"},
		{name: "first without a version", first: []string{""}, second: []string{"v1"}, script: "ab!", wantText: "ab", wantErr: "does not have the weights"},
		{name: "second without a version", first: []string{"v1"}, second: []string{""}, script: "ab!", wantText: "ab", wantErr: "does not have the weights"},
		{name: "named by the caller", first: []string{"v1", "v2"}, second: []string{"v1", "v2"}, script: "ab!", requested: "v2", wantText: "abCD", wantVersion: "v2"},
		{name: "unloaded since", first: []string{"v1"}, second: []string{"v1"}, script: "ab!", lost: true, wantText: "ab", wantVersion: "v1", wantErr: "does not have the weights"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, second := engineServer("first", tt.first...), engineServer("second", tt.second...)
			e := &versionEngines{scripts: map[string]script{"first": tt.script, "second": "CD"}, lost: map[string]bool{"second": tt.lost}}
			s, x, sink := newVersionSender(t, e, first, second)
			s.request.Version = tt.requested
			_, err := s.send(t.Context(), x, send{server: first, assignment: schedule.Assignment{Server: "first"}, number: 1})
			assert.ErrorContains(t, err, "stream failed")
			r, err := s.send(t.Context(), x, send{server: second, assignment: schedule.Assignment{Server: "second"}, number: 2})
			assert.Equal(t, sink.text.String(), tt.wantText)
			assert.Equal(t, r.send.server.Server, "second")
			if len(e.calls) > 1 {
				assert.Equal(t, e.calls[1].Version, tt.wantVersion)
			}
			if tt.wantErr == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, tt.wantErr)
			assert.Equal(t, verdict.Of(err), verdict.NotRun)
			assert.Equal(t, verdict.From(err).Reason(), verdict.NoServer)
			assert.Equal(t, len(e.calls) > 1, tt.lost, "the second engine ran the call")
		})
	}
}

// Guards against a resumed call that waits at an engine with other weights
// although one with its weights is free.
func TestResumedCallsAreQueuedForTheirWeights(t *testing.T) {
	first := engineServer("first", "v1")
	s, x, _ := newVersionSender(t, &versionEngines{scripts: map[string]script{"first": "ab!"}}, first)
	_, err := s.send(t.Context(), x, send{server: first, assignment: schedule.Assignment{Server: "first"}, number: 1})
	assert.ErrorContains(t, err, "stream failed")
	assert.Equal(t, x.request.Version, "v1")
}

// Guards against a hedge that continues an answer with other weights, and
// against one that is not started although it produces the first token.
func TestHedgesKeepTheirWeights(t *testing.T) {
	tests := []struct {
		name   string
		tokens int
		hedge  string // version of its engine
		want   bool
	}{
		{"same weights", 2, "v1", true},
		{"other weights", 2, "v2", false},
		{"other weights before the first token", 0, "v2", true},
	}
	for _, tt := range tests {
		e := &versionEngines{scripts: map[string]script{"hedge": "CD"}}
		s, x, sink := newVersionSender(t, e, engineServer("hedge", tt.hedge))
		h := &hedgedStream{execution: x, sender: s, ends: make(chan streamEnd, 2)}
		h.streams = []*stream{{send: send{server: engineServer("first", "v1")}, cancel: func() {}}}
		s.weights = s.weightsOn(h.streams[0].send.server)
		for i := range tt.tokens {
			assert.NilError(t, h.token(0, engine.Token{Offset: i, Text: "a"}))
		}
		got := h.startHedge(t.Context(), schedule.Assignment{Server: "hedge", Hedge: true})
		assert.Equal(t, got, tt.want, tt.name)
		if !got {
			assert.Equal(t, h.buffering, false, tt.name)
			continue
		}
		assert.NilError(t, (<-h.ends).err)
		assert.Equal(t, sink.text.String(), "aa"[:tt.tokens]+"CD", tt.name)
		assert.Equal(t, s.weights.version, tt.hedge, tt.name)
	}
}
