package schedule

import "time"

// Option configures a Scheduler.
type Option func(*Scheduler)

// policies are the replaceable decisions of a Scheduler.
type policies struct {
	admitter admitter
	order    Order
	router   router
	// lookahead is the number of calls at the front of a queue that are
	// considered, and recomputeRank the seconds of rank that a second of
	// recomputation costs.
	lookahead     int
	recomputeRank float64
	detect        bool // slowed servers
	hedging       bool
	unlimited     bool // calls are sent at once and queue in the engines
}

func defaultPolicies() policies {
	return policies{
		admitter:      activeSlots{headroom: 0.25},
		order:         LeastAttained{Penalty: 2 * time.Millisecond, MaxPenalty: 20 * time.Second, ClassPenalty: time.Second},
		router:        earliestFinish{samples: 8, recomputeWeight: 2, loadWeight: 0.25, excess: 0.5, evictWeight: 1},
		lookahead:     lookahead,
		recomputeRank: 1,
		detect:        true,
		hedging:       true,
	}
}

// WithOrder sets the order of waiting calls within a team.
func WithOrder(o Order) Option { return func(s *Scheduler) { s.order = o } }
