package schedule

import "time"

// Option configures a Scheduler.
type Option func(*Scheduler)

// policies are the replaceable decisions of a Scheduler.
type policies struct {
	admitter      admitter
	ranking         ranking
	router        router
	teamShares        bool // of teams in the queue
	ignoreReports bool
	detectSlow        bool // slowed servers
	hedging       bool
	thresholds    thresholds
	floors        floors
	unlimited     bool // calls are sent at once and queue in the engines
}

func defaultPolicies() policies {
	return policies{
		admitter:   activeSlots{headroom: 0.25, bursts: true},
		ranking:      leastAttained{penalty: 2 * time.Millisecond, maxPenalty: 20 * time.Second, classPenalty: time.Second},
		router:     earliestFinish{samples: 8, recomputeWeight: 2, loadWeight: 0.25, maxOvercommit: 0.5},
		teamShares:     true,
		detectSlow:     true,
		hedging:    true,
		thresholds: defaultThresholds,
	}
}
