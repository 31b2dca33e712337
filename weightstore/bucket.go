// Package weightstore fetches model weights from the weight store within a
// rate, and has the stand-in that serves them.
package weightstore

import "time"

// Bucket is a token bucket of bytes. It is deterministic: time is passed in,
// as the duration since any fixed moment.
type Bucket struct {
	perSecond float64
	burst     float64
	available float64 // below zero, bytes that are still to be waited for
	lastFill  time.Duration
}

// NewBucket returns a full bucket that fills by perSecond bytes up to burst.
func NewBucket(perSecond, burst int64) *Bucket {
	return &Bucket{perSecond: float64(perSecond), burst: float64(burst), available: float64(burst)}
}

// Take takes n bytes and returns how long to wait before using them. Waits are
// given out in order of the calls. Time that runs backwards counts as standing
// still.
func (b *Bucket) Take(now time.Duration, n int64) time.Duration {
	if now > b.lastFill {
		b.available = min(b.burst, b.available+b.perSecond*(now-b.lastFill).Seconds())
		b.lastFill = now
	}
	b.available -= float64(n)
	if b.available >= 0 {
		return 0
	}
	return time.Duration(-b.available / b.perSecond * float64(time.Second))
}
