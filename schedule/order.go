package schedule

import "time"

// Order ranks the waiting calls of one team in one pool. A rank does not
// change while a call waits, so that the queue needs no reordering; a rank
// that contains the time of arrival ages by itself.
type Order interface {
	// Rank returns the rank of a call that arrives now, smaller first.
	Rank(now time.Duration, r *Request) time.Duration
}

// FirstInFirstOut serves calls in order of arrival.
type FirstInFirstOut struct{}

// Rank implements Order.
func (FirstInFirstOut) Rank(now time.Duration, _ *Request) time.Duration { return now }

// LeastAttained serves the programs first that have had the least service. A
// call ranks as if it had arrived later by Penalty for each token that its
// program has had, at most MaxPenalty: that is the longest time for which later
// arrivals overtake it.
type LeastAttained struct {
	Penalty    time.Duration // per attained token
	MaxPenalty time.Duration
	// ClassPenalty is added once for Standard and twice for Batch.
	ClassPenalty time.Duration
}

// Rank implements Order.
func (o LeastAttained) Rank(now time.Duration, r *Request) time.Duration {
	return now + o.handicap(r)
}

func (o LeastAttained) handicap(r *Request) time.Duration {
	penalty := o.MaxPenalty
	if r.AttainedTokens < int64(o.MaxPenalty/max(1, o.Penalty)) {
		penalty = time.Duration(r.AttainedTokens) * o.Penalty
	}
	return penalty + time.Duration(r.Class)*o.ClassPenalty
}
