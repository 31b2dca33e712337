// Package connlimit limits the memory and descriptors that connections hold before
// a request on them is accepted. It decides which connections are closed, and
// counts what they read; it neither parses requests nor limits bodies. Start
// reading at Account for the decisions, and at Listener for the driver.
package connlimit

import (
	"cmp"
	"sync"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

const (
	// connBytes is the cost of a connection: its buffers and the stack of its
	// goroutine.
	connBytes = 16 << 10
	// tlsBytes is the additional cost of a connection with TLS.
	tlsBytes = 32 << 10
	// headFactor is the memory of the bytes of a head, relative to their number: a
	// long line is read into a growing buffer.
	headFactor = 2
	// lineBytes is the cost of a line of a head. Measured: 95 bytes for decoded
	// fields with short, different names, and as much garbage.
	lineBytes = 200
	// unitBytes is the precision to which connections are compared by what they
	// hold. An ordinary head fits into one unit beside the connection.
	unitBytes = 16 << 10
	// overdueAfter is the time after which a connection that sends nothing, or whose
	// head is incomplete, is closed before newer ones. An ordinary head arrives at
	// once.
	overdueAfter = time.Second
	// logInterval is the shortest time between two log lines about one port.
	logInterval = time.Second
	// descriptorDivisor limits the connections to half of the descriptors.
	descriptorDivisor = 2
	// maxCountedDescriptors bounds the limit of descriptors that is taken into
	// account: a process without one gets no finer costs by it.
	maxCountedDescriptors = 1 << 20
)

// Account has the connections of one process. It is safe for concurrent use.
type Account struct {
	logger  *zap.Logger
	metrics tally.Scope
	limit   int64 // bytes
	cost    int64 // of a connection in bytes

	mu     sync.Mutex
	shared int64 // bytes of the limit that are no port's reserve
	ports  []*Port
	opened uint64 // number of connections so far
}

// AccountOption configures an Account.
type AccountOption func(*Account)

// WithLogger sets the logger. By default, nothing is logged.
func WithLogger(l *zap.Logger) AccountOption { return func(a *Account) { a.logger = l } }

// WithMetrics sets the scope of the metrics. By default, there are none.
func WithMetrics(m tally.Scope) AccountOption { return func(a *Account) { a.metrics = m } }

// WithDescriptors sets the limit of the process's descriptors. By default, it is
// that of the operating system.
func WithDescriptors(n uint64) AccountOption {
	return func(a *Account) { a.cost = connectionCost(a.limit, n) }
}

// NewAccount returns an account with a limit in bytes.
func NewAccount(limit int64, opts ...AccountOption) *Account {
	a := &Account{logger: zap.NewNop(), metrics: tally.NoopScope, limit: limit, shared: limit, cost: connBytes}
	var files syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files) == nil {
		a.cost = connectionCost(limit, files.Cur)
	}
	for _, o := range opts {
		o(a)
	}
	return a
}

// connectionCost returns the cost of a connection, of which as many fit into the
// limit as may use descriptors.
func connectionCost(limit int64, descriptors uint64) int64 {
	n := int64(min(descriptors, maxCountedDescriptors)) / descriptorDivisor
	return max(connBytes, limit/max(1, n))
}

// Port is a port of the process. It may use its reserve and what other ports leave
// of the rest.
type Port struct {
	account *Account
	name    string
	reserve int64
	tls     bool

	held     int64 // all below are guarded by Account.mu
	entries  map[*Entry]struct{}
	closed   int // connections closed since the last log line
	loggedAt time.Time
}

// Port adds a port with a reserve of limit/divisor bytes, or none if the divisor
// is 0.
func (a *Account) Port(name string, divisor int64, tls bool) *Port {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := &Port{account: a, name: name, tls: tls, entries: map[*Entry]struct{}{}}
	if divisor > 0 {
		p.reserve = a.limit / divisor
		a.shared -= p.reserve
	}
	a.ports = append(a.ports, p)
	return p
}

// Entry is the account's entry of one connection.
type Entry struct {
	port  *Port
	close func() // called without the account's lock

	held     int64 // all below are guarded by Account.mu
	order    uint64
	since    time.Time // of the opening, the latest answer or the first byte after it
	accepted bool
	used     bool // a request has been accepted before
	removed  bool
}

// Open adds a connection. close is called if it has to be closed, which may be at
// once.
func (p *Port) Open(now time.Time, closeConn func()) *Entry {
	a := p.account
	a.mu.Lock()
	a.opened++
	e := &Entry{port: p, close: closeConn, order: a.opened, since: now}
	p.entries[e] = struct{}{}
	e.add(p.base())
	a.unlockAndClose(p.enforce(now))
	return e
}

// base returns the cost of a connection of the port without a head.
func (p *Port) base() int64 {
	if p.tls {
		return p.account.cost + tlsBytes
	}
	return p.account.cost
}

// Grow adds a part of a head that has been read. It returns false if the
// connection is closed.
func (e *Entry) Grow(now time.Time, bytes, lines int) bool {
	a := e.port.account
	a.mu.Lock()
	if e.removed {
		a.mu.Unlock()
		return false
	}
	if e.held == e.port.base() {
		e.since = now
	}
	e.add(int64(bytes)*headFactor + int64(lines)*lineBytes)
	victims := e.port.enforce(now)
	removed := e.removed
	a.unlockAndClose(victims)
	return !removed
}

// Hold adds a part of a body that has been read for an accepted request. It returns
// false if the part does not fit.
func (e *Entry) Hold(now time.Time, bytes int) bool {
	a := e.port.account
	a.mu.Lock()
	if e.removed {
		a.mu.Unlock()
		return false
	}
	e.add(int64(bytes))
	victims := e.port.enforce(now)
	fits := !e.port.isOver()
	if !fits {
		e.add(-int64(bytes))
	}
	a.unlockAndClose(victims)
	return fits
}

// Accept records that a request has been accepted. The connection is not closed
// until it has been answered. It returns false if it has been closed.
func (e *Entry) Accept() bool {
	e.port.account.mu.Lock()
	defer e.port.account.mu.Unlock()
	e.accepted, e.used = true, true
	return !e.removed
}

// Idle records that the connection waits for the next request.
func (e *Entry) Idle(now time.Time) {
	e.port.account.mu.Lock()
	defer e.port.account.mu.Unlock()
	e.accepted, e.since = false, now
	if !e.removed {
		e.add(e.port.base() - e.held)
	}
}

// Close removes the connection.
func (e *Entry) Close() {
	e.port.account.mu.Lock()
	defer e.port.account.mu.Unlock()
	e.remove()
}

// IsClosed reports whether the connection has been closed or removed.
func (e *Entry) IsClosed() bool {
	e.port.account.mu.Lock()
	defer e.port.account.mu.Unlock()
	return e.removed
}

func (e *Entry) add(n int64) {
	e.held += n
	e.port.held += n
}

func (e *Entry) remove() {
	if !e.removed {
		e.removed = true
		e.port.held -= e.held
		delete(e.port.entries, e)
	}
}

// enforce removes connections of a port until it keeps to its limit, and returns
// them. The caller holds the lock.
func (p *Port) enforce(now time.Time) []*Entry {
	var victims []*Entry
	for p.isOver() {
		var worst *Entry
		for e := range p.entries {
			if !e.accepted && (worst == nil || e.before(worst, now)) {
				worst = e
			}
		}
		if worst == nil {
			break
		}
		worst.remove()
		victims = append(victims, worst)
	}
	return victims
}

// isOver reports whether the port uses more than its reserve, and all ports more
// than what is shared.
func (p *Port) isOver() bool {
	beyond := int64(0)
	for _, o := range p.account.ports {
		beyond += max(0, o.held-o.reserve)
	}
	return p.held > p.reserve && beyond > p.account.shared
}

// before reports whether a connection is closed before another one: the one that
// holds more, then one that is overdue, then one that has never been used, then
// the newest. Of two that have been used, the one that has been idle for longer
// goes first.
func (e *Entry) before(o *Entry, now time.Time) bool {
	last := cmp.Compare(e.order, o.order)
	if e.used && o.used {
		last = o.since.Compare(e.since)
	}
	return cmp.Or(
		cmp.Compare(e.units(), o.units()),
		compareBool(e.isOverdue(now), o.isOverdue(now)),
		compareBool(!e.used, !o.used),
		last,
	) > 0
}

func (e *Entry) isOverdue(now time.Time) bool { return now.Sub(e.since) > overdueAfter }

func (e *Entry) units() int64 { return e.held / unitBytes }

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// unlockAndClose reports connections that have been removed, releases the lock and
// closes them.
func (a *Account) unlockAndClose(victims []*Entry) {
	for _, e := range victims {
		a.report(e)
	}
	a.mu.Unlock()
	for _, e := range victims {
		e.close()
	}
}

// report counts a connection that is closed. The caller holds the lock.
func (a *Account) report(e *Entry) {
	p := e.port
	a.metrics.Tagged(map[string]string{"port": p.name}).Counter("connections-closed-for-memory").Inc(1)
	p.closed++
	now := time.Now()
	if now.Sub(p.loggedAt) < logInterval {
		return
	}
	a.logger.Warn("connections without an accepted request closed: their memory is over the limit",
		zap.String("port", p.name), zap.Int("connections", p.closed), zap.Int64("held-bytes", p.held), zap.Int64("limit-bytes", a.limit))
	p.closed, p.loggedAt = 0, now
}
