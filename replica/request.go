package replica

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// request is a pending proposal or read.
type request struct {
	command  []byte
	read     bool
	response chan response // buffered, so that finish never blocks
	claimed  atomic.Bool   // set by the loop when it takes the request, or by a caller that cancels it first
}

type response struct {
	result []byte
	err    error
}

func (r *request) finish(result []byte, err error) { r.response <- response{result, err} }

// abandon returns the error for a caller whose context has ended. A request that
// the loop has not taken yet is withdrawn.
func (r *request) abandon(ctx context.Context) error {
	reason := verdict.Timeout
	if ctx.Err() == context.Canceled {
		reason = verdict.Cancelled
	}
	if r.read || r.claimed.CompareAndSwap(false, true) {
		return verdict.New(verdict.NotRun, reason, "request ended before the replica processed it", verdict.WithCause(ctx.Err()))
	}
	return verdict.New(verdict.MayHaveRun, reason, "request ended before the proposal was applied", verdict.WithCause(ctx.Err()))
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

// pendingProposal is a proposal that is in the log but not yet applied.
type pendingProposal struct {
	term    uint64
	request *request
}

// pendingProposals are the proposals added by the loop and completed by the
// applier.
type pendingProposals struct {
	mu      sync.Mutex
	byIndex map[uint64]pendingProposal
}

func (p *pendingProposals) add(index, term uint64, r *request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.byIndex[index]; ok {
		old.request.finish(nil, outcomeUnknown("the leader was replaced"))
	}
	p.byIndex[index] = pendingProposal{term: term, request: r}
}

// complete returns the result of the proposal at an index to its caller. If the
// applied entry has another term, the proposal was replaced and can never be
// committed.
func (p *pendingProposals) complete(index, term uint64, result []byte) {
	p.mu.Lock()
	x, ok := p.byIndex[index]
	delete(p.byIndex, index)
	p.mu.Unlock()
	switch {
	case !ok:
	case x.term == term:
		x.request.finish(result, nil)
	default:
		x.request.finish(nil, verdict.New(verdict.NotRun, verdict.ControlUnavailable, "a new leader replaced the proposal"))
	}
}

// failAbove fails the proposals above an index with an unknown outcome.
func (p *pendingProposals) failAbove(index uint64, message string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, x := range p.byIndex {
		if i > index {
			x.request.finish(nil, outcomeUnknown(message))
			delete(p.byIndex, i)
		}
	}
}
