package schedule

import "time"

// ranking orders the waiting calls of one team in one pool. The rank of a call
// is constant while it waits, so that the queue is never reordered. A rank that
// includes the arrival time still prevents starvation, since calls that arrive
// later get greater ranks.
type ranking interface {
	// rank returns the rank of a call that arrives now. Lower ranks run first.
	rank(now time.Duration, r *Request) time.Duration
}

// leastAttained is least-attained-service ranking. The rank of a call is its
// arrival time plus a penalty for each token that its program has attained. The
// sum of these penalties is limited to maxPenalty, so calls of the same class
// can only overtake a call if they arrive within maxPenalty after it.
type leastAttained struct {
	penalty    time.Duration // per attained token
	maxPenalty time.Duration
	// classPenalty is added once for Standard calls and twice for Batch calls.
	classPenalty time.Duration
}

func (o leastAttained) rank(now time.Duration, r *Request) time.Duration {
	penalty := o.maxPenalty
	if r.AttainedTokens < int64(o.maxPenalty/max(1, o.penalty)) {
		penalty = time.Duration(r.AttainedTokens) * o.penalty
	}
	return now + penalty + time.Duration(r.Class)*o.classPenalty
}
