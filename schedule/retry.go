package schedule

import "time"

// budget is a token bucket that is filled at a constant rate and by deposits,
// such as one for each first attempt of a call.
type budget struct {
	ratio float64       // tokens per deposit
	rate  float64       // tokens per second
	burst float64       // capacity
	level float64       // tokens in the bucket
	at    time.Duration // last refill
}

func newBudget(ratio, rate, burst float64) budget {
	return budget{ratio: ratio, rate: rate, burst: burst, level: burst}
}

func (b *budget) deposit() { b.level = min(b.burst, b.level+b.ratio) }

func (b *budget) has(now time.Duration) bool {
	if now > b.at {
		b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
		b.at = now
	}
	return b.level >= 1
}

func (b *budget) take() { b.level-- }

// The retries of a team are limited to a fifth of its recent first attempts,
// those of all teams to a tenth of all recent first attempts.
const (
	teamRetryRatio   = 0.2
	globalRetryRatio = 0.1
	teamRetryRate    = 0.2
	globalRetryRate  = 1
	teamRetryBurst   = 20
	globalRetryBurst = 50
)

// MayRetry reports whether the retry budgets of the team and of the host allow a
// retry. If so, it takes one token from each.
func (s *Scheduler) MayRetry(now time.Duration, name string) bool {
	s.advance(now)
	t := s.team(name)
	if !s.retries.has(now) || !t.retries.has(now) {
		return false
	}
	s.retries.take()
	t.retries.take()
	return true
}
