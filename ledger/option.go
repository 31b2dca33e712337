package ledger

import "time"

type options struct {
	idleTimeout int64 // durations are in milliseconds
	callTimeout int64
	settleGrace int64
	retention   int64
	maxLifetime int64
	maxClosed   int
	maxGone     int
	tickBatch   int
	bodies      Bodies // or nil
	inlineBytes int
}

func defaultOptions() options {
	return options{
		idleTimeout: (10 * time.Minute).Milliseconds(),
		callTimeout: (10 * time.Minute).Milliseconds(),
		settleGrace: (5 * time.Second).Milliseconds(),
		retention:   (15 * time.Minute).Milliseconds(),
		maxLifetime: (24 * time.Hour).Milliseconds(),
		maxClosed:   20_000,
		maxGone:     4_096,
		tickBatch:   4_000,
	}
}

// Option configures a StateMachine. All replicas of a group must use the same
// options.
type Option func(*options)

// WithIdleTimeout ends a program after d without activity, if it has no running
// call and all its sub-programs are closed.
func WithIdleTimeout(d time.Duration) Option {
	return func(o *options) { o.idleTimeout = d.Milliseconds() }
}

// WithCallTimeout sets the timeout of calls that do not set their own.
func WithCallTimeout(d time.Duration) Option {
	return func(o *options) { o.callTimeout = d.Milliseconds() }
}

// WithSettleGrace sets how long after a call's timeout its entry host can still
// settle it with the true outcome.
func WithSettleGrace(d time.Duration) Option {
	return func(o *options) { o.settleGrace = d.Milliseconds() }
}

// WithRetention sets how long the calls and history of a program are kept after
// it was closed, and the maximum number of closed programs for which they are
// kept: those closed first are purged first. A program is closed when it has ended
// and its cost is final. The program itself is kept until its deadline, if that is
// later, so that a late open-program cannot start it again.
func WithRetention(d time.Duration, count int) Option {
	return func(o *options) { o.retention, o.maxClosed = d.Milliseconds(), count }
}

// WithMaxLifetime limits the deadline of a program to d after its opening.
func WithMaxLifetime(d time.Duration) Option {
	return func(o *options) { o.maxLifetime = d.Milliseconds() }
}

// WithMaxGoneServers sets how many of the latest gone server incarnations are
// recorded. Calls cannot be marked as sent to a recorded one.
func WithMaxGoneServers(count int) Option {
	return func(o *options) { o.maxGone = count }
}

// WithTickBatch limits the due actions that one tick performs, so that many
// programs due at the same time do not delay the commands after the tick.
func WithTickBatch(count int) Option {
	return func(o *options) { o.tickBatch = count }
}
