// Package weightstore fetches model weights from the weight store over HTTP,
// within a rate limit, and resumes interrupted transfers. It does not load
// weights into engines. Start reading at Client.Fetch; StandIn simulates a
// weight store.
package weightstore

import "time"

// Bucket is a token bucket that limits the rate of bytes. It does not read a
// clock: the time is a parameter, as the duration since any fixed moment.
type Bucket struct {
	perSecond float64
	burst     float64
	available float64 // bytes; a negative value is the number to wait for
	lastFill  time.Duration
}

// NewBucket returns a full bucket that holds up to burst bytes and is refilled
// with perSecond bytes per second.
func NewBucket(perSecond, burst int64) *Bucket {
	return &Bucket{perSecond: float64(perSecond), burst: float64(burst), available: float64(burst)}
}

// Take takes n bytes and returns how long the caller must wait before using
// them. Callers are served in the order of their calls. If now is before the
// time of an earlier call, the bucket is not refilled.
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
