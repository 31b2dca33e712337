package cluster

import (
	"math"
	"time"
)

const (
	// beginMemory is the time constant with which the permits of programs are
	// forgotten. Continuations follow their beginning within seconds up to a minute.
	// A time constant of that length would underestimate them while more programs
	// begin than before.
	beginMemory = 3 * time.Minute
	// priorBeginnings and priorContinuations count as seen at first: programs have 4
	// to 9 turns with a tool call each.
	priorBeginnings    = 3
	priorContinuations = 10 * priorBeginnings
	// beginShare is the part of the rate that programs are planned for. The rest
	// makes up for programs that are longer than the mean.
	beginShare = 0.95
	// reserveShare is the part of the capacity that is kept for programs that have
	// begun.
	reserveShare = 0.5
)

// beginnings decides how many programs of a workspace may begin while its requests
// exceed the limit. The programs that have begun must get permits for all their
// requests, and these come later.
type beginnings struct {
	begun, continued float64 // permits granted, with forgetting
	share            credit  // of the permits for beginnings
}

// perBeginning returns the mean number of permits that a program needs after the
// first one.
func (b *beginnings) perBeginning() float64 {
	return (b.continued + priorContinuations) / (b.begun + priorBeginnings)
}

// rate returns the rate at which programs may begin, given that of all permits.
func (b *beginnings) rate(all float64) float64 { return beginShare * all / (1 + b.perBeginning()) }

// reserve returns the level of the bucket below which no program begins.
func (b *beginnings) reserve(capacity float64) float64 { return reserveShare * capacity }

// advance updates the state up to now.
func (b *beginnings) advance(now time.Duration, all float64) {
	keep := math.Exp(-(now - b.share.updatedAt).Seconds() / beginMemory.Seconds())
	b.begun, b.continued = b.begun*keep, b.continued*keep
	rate := b.rate(all)
	b.share.fill(now, rate, max(1, rate))
}

// allowed reports whether a program may begin.
func (b *beginnings) allowed() bool { return b.share.tokens >= 1-tokenTolerance }
