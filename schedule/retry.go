package schedule

import "time"

// tokenBucket is a token bucket that is filled by first attempts and slowly by
// time.
type tokenBucket struct {
	perDeposit float64 // tokens per first attempt
	rate  float64 // tokens per second
	burst float64
	level float64
	refilled    time.Duration
}

func newTokenBucket(ratio, rate, burst float64) tokenBucket {
	return tokenBucket{perDeposit: ratio, rate: rate, burst: burst, level: burst}
}

func (b *tokenBucket) deposit() { b.level = min(b.burst, b.level+b.perDeposit) }

func (b *tokenBucket) refill(now time.Duration) bool {
	if now > b.refilled {
		b.level = min(b.burst, b.level+b.rate*(now-b.refilled).Seconds())
		b.refilled = now
	}
	return b.level >= 1
}

func (b *tokenBucket) take() { b.level-- }

// A team may retry a fifth, and all teams together a tenth, of the recent
// first attempts.
const (
	teamRetryRatio   = 0.2
	globalRetryRatio = 0.1
	teamRetryRate    = 0.2
	globalRetryRate  = 1
	teamRetryBurst   = 20
	globalRetryBurst = 50
)

// MayRetry reports whether the retry budgets allow one more attempt for a
// team, and takes it from them.
func (s *Scheduler) MayRetry(now time.Duration, name string) bool {
	s.advance(now)
	t := s.team(name)
	if !s.retryBudget.refill(now) || !t.retryBudget.refill(now) {
		return false
	}
	s.retryBudget.take()
	t.retryBudget.take()
	return true
}
