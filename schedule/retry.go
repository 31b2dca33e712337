package schedule

import "time"

// tokenBucket is a token bucket that is refilled at a constant rate and by
// deposits, such as one for each first attempt of a call.
type tokenBucket struct {
	perDeposit float64       // tokens per deposit
	rate       float64       // tokens per second
	burst      float64       // capacity
	level      float64       // tokens in the bucket
	refilled   time.Duration // last refill
}

func newTokenBucket(perDeposit, rate, burst float64) tokenBucket {
	return tokenBucket{perDeposit: perDeposit, rate: rate, burst: burst, level: burst}
}

func (b *tokenBucket) deposit() { b.level = min(b.burst, b.level+b.perDeposit) }

// refill adds the tokens due since the last refill, and reports whether the
// bucket contains at least one token.
func (b *tokenBucket) refill(now time.Duration) bool {
	if now > b.refilled {
		b.level = min(b.burst, b.level+b.rate*(now-b.refilled).Seconds())
		b.refilled = now
	}
	return b.level >= 1
}

func (b *tokenBucket) take() { b.level-- }

// The retries that a host sends for a team are limited to a fifth of the team's
// recent first attempts there, those for all teams to a tenth of all of them.
// The rates are the retries per second that are allowed in addition, and the
// bursts are the bucket capacities.
const (
	teamRetryRatio = 0.2
	hostRetryRatio = 0.1
	teamRetryRate  = 0.2
	hostRetryRate  = 1
	teamRetryBurst = 20
	hostRetryBurst = 50
)

// MayRetry reports whether the retry budgets of the team and of the host allow
// a retry. If so, it takes one token from each.
func (s *Scheduler) MayRetry(now time.Duration, teamName string) bool {
	s.advance(now)
	t := s.team(teamName)
	if !s.retryBudget.refill(now) || !t.retryBudget.refill(now) {
		return false
	}
	s.retryBudget.take()
	t.retryBudget.take()
	return true
}
