package schedule

import "time"

// ranking orders the waiting calls of one team in one pool. A rank does not
// change while a call waits, so that the queue needs no reordering; a rank
// that contains the time of arrival ages by itself.
type ranking interface {
	// rank returns the rank of a call that arrives now, smaller first.
	rank(now time.Duration, r *Request) time.Duration
}

// leastAttained serves the programs first that have had the least service. A
// call ranks as if it had arrived later by penalty for each token that its
// program has had, at most maxPenalty: that is the longest time for which later
// arrivals overtake it.
type leastAttained struct {
	penalty    time.Duration // per attained token
	maxPenalty time.Duration
	// classPenalty is added once for Standard and twice for Batch.
	classPenalty time.Duration
}

func (o leastAttained) rank(now time.Duration, r *Request) time.Duration {
	penalty := o.maxPenalty
	if r.AttainedTokens < int64(o.maxPenalty/max(1, o.penalty)) {
		penalty = time.Duration(r.AttainedTokens) * o.penalty
	}
	return now + penalty + time.Duration(r.Class)*o.classPenalty
}
