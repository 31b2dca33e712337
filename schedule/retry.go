package schedule

import "time"

// budget is a token bucket that is filled by first attempts and slowly by
// time.
type budget struct {
	ratio float64 // tokens per first attempt
	rate  float64 // tokens per second
	burst float64
	level float64
	at    time.Duration
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
	if !s.retries.has(now) || !t.retries.has(now) {
		return false
	}
	s.retries.take()
	t.retries.take()
	return true
}
