package cluster

import (
	"math"
	"time"
)

const (
	// beginMemory is the time constant with which the permits of programs are
	// forgotten.
	beginMemory = 3 * time.Minute
	// beginLag is the mean time by which continuations follow their beginning. Without
	// it, a burst of beginnings would make programs seem shorter.
	beginLag = 8 * time.Second
	// priorBeginnings and priorContinuations count as seen at first: programs have 4
	// to 9 turns with a tool call each.
	priorBeginnings    = 3
	priorContinuations = 10 * priorBeginnings
	// minBeginnings is the number of programs that must have been seen before one may
	// be refused within the limit.
	minBeginnings = 10
	// beginShare is the part of the rate that programs are planned for. The rest
	// makes up for programs that are longer than the mean.
	beginShare = 0.95
	// withinLimitShare is that part while the requests are within the limit. The
	// estimate of what programs need may be too high by as much.
	withinLimitShare = 1.3
	// reserveShare is the part of the capacity that programs which begin beyond the
	// limit leave for those that have begun.
	reserveShare = 0.5
)

// beginnings decides whether a program of a workspace may begin. The programs that
// have begun must get permits for all their requests, and these come later.
type beginnings struct {
	updatedAt time.Duration
	// recent is the number of beginnings whose continuations are yet to come. They
	// move to begun with beginLag.
	recent           float64
	begun, continued float64 // permits granted, with forgetting
}

// perBeginning returns the mean number of permits that a program needs after the
// first one.
func (b *beginnings) perBeginning() float64 {
	return (b.continued + priorContinuations) / (b.begun + priorBeginnings)
}

// rate returns the rate at which programs may begin, given that of all permits.
func (b *beginnings) rate(all float64) float64 { return beginShare * all / (1 + b.perBeginning()) }

// advance updates the state up to now.
func (b *beginnings) advance(now time.Duration) {
	elapsed := (now - b.updatedAt).Seconds()
	keep, late := math.Exp(-elapsed/beginMemory.Seconds()), b.recent*math.Exp(-elapsed/beginLag.Seconds())
	b.begun, b.continued = b.begun*keep+b.recent-late, b.continued*keep
	b.recent, b.updatedAt = late, now
}

// missing returns the number of permits that are missing for another program, 0 or
// less if it may begin. The programs in progress and the new one must find their
// permits in the bucket and in the rate of the time that they take. Beyond the limit,
// a program also leaves a reserve in the bucket.
func (b *beginnings) missing(tokens, capacity, all float64, exceeded bool) float64 {
	missing := 1 - tokens
	share := beginShare
	if exceeded {
		missing += reserveShare * capacity
	} else {
		share = withinLimitShare
	}
	if exceeded || b.begun >= minBeginnings {
		needed := 1 + (b.recent+1)*b.perBeginning()
		missing = max(missing, needed-tokens-share*all*beginLag.Seconds())
	}
	return missing
}
