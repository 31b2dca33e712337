package replica

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// request is a proposal or a read that a caller waits for.
type request struct {
	command []byte
	read    bool
	answer  chan answer // has room for the only answer
	claimed atomic.Bool // by the loop, or by a caller who gave up before it
}

type answer struct {
	result []byte
	err    error
}

func (r *request) finish(result []byte, err error) { r.answer <- answer{result, err} }

// abandon returns the error for a caller who waits no longer.
func (r *request) abandon(ctx context.Context) error {
	reason := verdict.Timeout
	if ctx.Err() == context.Canceled {
		reason = verdict.Cancelled
	}
	if r.read || r.claimed.CompareAndSwap(false, true) {
		return verdict.New(verdict.NotRun, reason, "gave up before the log took the request", verdict.WithCause(ctx.Err()))
	}
	return verdict.New(verdict.MayHaveRun, reason, "gave up before the proposal was committed", verdict.WithCause(ctx.Err()))
}

func notLeader(leader Ref) error {
	if leader == (Ref{}) {
		return verdict.New(verdict.NotRun, verdict.ControlUnavailable, "the group has no leader")
	}
	return verdict.Newf(verdict.NotRun, verdict.ControlUnavailable, "not the leader; the leader is %s", leader.ID)
}

func outcomeUnknown(message string) error {
	return verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown, message)
}

// pendingProposal is a proposal in the log that is not applied yet.
type pendingProposal struct {
	term    uint64
	request *request
}

// pendingProposals are shared by the loop, which adds them, and the applier.
type pendingProposals struct {
	mu      sync.Mutex
	byIndex map[uint64]pendingProposal
}

func (w *pendingProposals) add(index, term uint64, r *request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if old, ok := w.byIndex[index]; ok {
		old.request.finish(nil, outcomeUnknown("the leader was replaced"))
	}
	w.byIndex[index] = pendingProposal{term: term, request: r}
}

// applied answers the proposal at an index. An entry of another term there
// means that the proposal was replaced and can never be committed.
func (w *pendingProposals) applied(index, term uint64, result []byte) {
	w.mu.Lock()
	x, ok := w.byIndex[index]
	delete(w.byIndex, index)
	w.mu.Unlock()
	switch {
	case !ok:
	case x.term == term:
		x.request.finish(result, nil)
	default:
		x.request.finish(nil, verdict.New(verdict.NotRun, verdict.ControlUnavailable, "a new leader replaced the proposal"))
	}
}

// abandonAbove answers the proposals above an index whose outcome is unknown.
func (w *pendingProposals) abandonAbove(index uint64, message string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, x := range w.byIndex {
		if i > index {
			x.request.finish(nil, outcomeUnknown(message))
			delete(w.byIndex, i)
		}
	}
}
