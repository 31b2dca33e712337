package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/board"
	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// slowLedger grants every call. Before each grant it calls beforeGrant, which
// advances the clock past the end of the lease.
type slowLedger struct {
	Ledger
	beforeGrant func()
}

func (slowLedger) History(context.Context, ledger.HistoryQuery) ([]ledger.Message, error) {
	return nil, nil
}

func (l slowLedger) OpenCall(_ context.Context, c ledger.OpenCall) (ledger.CallState, error) {
	l.beforeGrant()
	return ledger.CallState{Program: c.Program, Call: 1, Attempt: 1, Status: ledger.CallRunning, Granted: true}, nil
}

func (slowLedger) SettleCall(_ context.Context, c ledger.SettleCall) (ledger.CallState, error) {
	return ledger.CallState{Status: c.Status, Verdict: c.Verdict, Reason: c.Reason}, nil
}

func (slowLedger) MarkSent(context.Context, ledger.MarkSent) (ledger.CallState, error) {
	return ledger.CallState{}, nil
}

type countingEngines struct{ calls atomic.Int32 }

func (e *countingEngines) Stream(context.Context, string, engine.Call, func(engine.Token) error) (engine.Finish, error) {
	e.calls.Add(1)
	return engine.Finish{Reason: "stop"}, nil
}

// Guards against sending a call after the lease under which it was accepted has
// expired: the server may have announced meanwhile that it is leaving.
func TestQueuedCallIsNotSentWithoutALease(t *testing.T) {
	var now atomic.Int64
	b := board.New()
	e := &countingEngines{}
	d := New(Config{
		Host: "h", Incarnation: "1", Engines: e, Prober: alwaysAlive{}, Board: b,
		Ledger: slowLedger{beforeGrant: func() { now.Store(int64(2 * time.Second)) }},
		Clock:  func() time.Duration { return time.Duration(now.Load()) },
	})
	defer d.Close()
	b.ApplyMembers(membership.Difference{Revision: 1, Hosts: 1, Servers: []membership.Server{{
		Announcement: membership.Announcement{
			Server: "s", Address: "s", Kind: membership.Engine, Slots: 1, Models: []membership.Model{{Name: "m"}},
		},
	}}})
	b.ExtendLease(time.Second)

	_, err := d.Model(t.Context(), ModelCall{Program: "p", Team: "a", Key: "k", Model: "m", MaxTokens: 4}, nil)
	assert.Equal(t, verdict.From(err).Reason(), verdict.LeaseExpired)
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	assert.Equal(t, e.calls.Load(), int32(0))
}
