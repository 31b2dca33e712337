package ledger

import "time"

type options struct {
	idleTimeout int64 // milliseconds, as are all durations here
	callTimeout int64
	settleGrace int64
	retention   int64
	maxLifetime int64
	maxClosed   int
	maxGone     int
	tickBatch   int
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

// Option sets an optional part of a Machine. All replicas of a group must use
// the same options.
type Option func(*options)

// WithIdleTimeout closes a program that has no running call and no open
// sub-program after d without a command.
func WithIdleTimeout(d time.Duration) Option {
	return func(o *options) { o.idleTimeout = d.Milliseconds() }
}

// WithCallTimeout bounds calls that name no timeout of their own.
func WithCallTimeout(d time.Duration) Option {
	return func(o *options) { o.callTimeout = d.Milliseconds() }
}

// WithSettleGrace is the time after a call's timeout in which its entry host
// can still settle it with the true outcome.
func WithSettleGrace(d time.Duration) Option {
	return func(o *options) { o.settleGrace = d.Milliseconds() }
}

// WithRetention keeps calls and history of a program for d after it has ended
// and its cost is final, and of at most count such programs, latest first. The bare program id stays
// until the program's deadline, so that a late open-program cannot start it
// again.
func WithRetention(d time.Duration, count int) Option {
	return func(o *options) { o.retention, o.maxClosed = d.Milliseconds(), count }
}

// WithMaxLifetime is the latest deadline of a program, counted from its
// opening.
func WithMaxLifetime(d time.Duration) Option {
	return func(o *options) { o.maxLifetime = d.Milliseconds() }
}

// WithGoneServers is the number of server incarnations remembered as gone.
func WithGoneServers(count int) Option {
	return func(o *options) { o.maxGone = count }
}

// WithTickBatch bounds the programs that one tick looks at, so that many
// programs due together do not delay the commands behind the tick.
func WithTickBatch(count int) Option {
	return func(o *options) { o.tickBatch = count }
}
