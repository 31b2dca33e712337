package membership

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/tidwall/btree"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// StateMachine is the replicated state of the members. It is not safe for
// concurrent use.
type StateMachine struct {
	options  options
	clock    int64 // greatest time passed with a command, Unix milliseconds
	revision int64
	// compactRevision is the greatest revision of a compacted record. A
	// difference from an earlier revision would miss removals.
	compactRevision int64
	fencing         int64 // last fencing number granted
	liveHosts       int   // entry hosts that are members
	servers         map[string]*server
	hosts           map[hostIncarnation]*host
	suspects        map[string]*suspect
	grants          map[string]*grant
	crashes         crashes
	// changed indexes the keys of all records by the revision of their last
	// change; removed indexes only those of gone members and cleared suspects.
	changed *btree.Map[int64, recordKey]
	removed *btree.Map[int64, recordKey]
}

// recordKey is the key of a record. Exactly one field is set.
type recordKey struct {
	server  string
	host    hostIncarnation
	suspect string
}

type options struct {
	maxRemoved     int
	maxCrashes     int
	crashRetention int64 // durations are in milliseconds
	orderLifetime  int64
	rejoinWindow   int64
}

// Option configures a StateMachine. All replicas must use the same options.
type Option func(*options)

// WithMaxRemoved sets how many of the latest records of gone members and cleared
// suspects are kept, so that differences include their removal.
func WithMaxRemoved(count int) Option {
	return func(o *options) { o.maxRemoved = count }
}

// WithCrashRetention sets how long crashes are kept, and the maximum number kept.
// The oldest are removed first.
func WithCrashRetention(d time.Duration, count int) Option {
	return func(o *options) { o.crashRetention, o.maxCrashes = d.Milliseconds(), count }
}

// WithOrderLifetime sets the maximum time from sending an order to a server until
// the order has succeeded or failed.
func WithOrderLifetime(d time.Duration) Option {
	return func(o *options) { o.orderLifetime = d.Milliseconds() }
}

// WithRejoinWindow sets how long an expired server can rejoin under the same
// incarnation. After that, its engine memory is assumed to be lost.
func WithRejoinWindow(d time.Duration) Option {
	return func(o *options) { o.rejoinWindow = d.Milliseconds() }
}

// New returns a state machine without members.
func New(opts ...Option) *StateMachine {
	o := options{
		maxRemoved:     8_192,
		maxCrashes:     4_096,
		crashRetention: (24 * time.Hour).Milliseconds(),
		orderLifetime:  (10 * time.Second).Milliseconds(),
		rejoinWindow:   (10 * time.Minute).Milliseconds(),
	}
	for _, set := range opts {
		set(&o)
	}
	return newStateMachine(o)
}

func newStateMachine(o options) *StateMachine {
	return &StateMachine{
		options:  o,
		servers:  make(map[string]*server),
		hosts:    make(map[hostIncarnation]*host),
		suspects: make(map[string]*suspect),
		grants:   make(map[string]*grant),
		crashes:  newCrashes(),
		changed:  new(btree.Map[int64, recordKey]),
		removed:  new(btree.Map[int64, recordKey]),
	}
}

// Revision returns the member revision, which counts changes of records.
func (m *StateMachine) Revision() int64 { return m.revision }

// Apply applies a Command in JSON and returns its Result in JSON. Malformed
// input is refused and leaves the state unchanged.
func (m *StateMachine) Apply(unixMillis int64, command []byte) []byte {
	var c Command
	if err := json.Unmarshal(command, &c); err != nil {
		return encode(m.refuse(verdict.BadRequest, "%s", err))
	}
	return encode(m.ApplyCommand(unixMillis, c))
}

// ApplyCommand is Apply without the JSON encoding.
func (m *StateMachine) ApplyCommand(unixMillis int64, c Command) Result {
	if err := c.check(); err != nil {
		return m.refuse(verdict.BadRequest, "%s", err)
	}
	m.clock = max(m.clock, min(unixMillis, maxUnixMillis))
	m.expireCrashes()
	r := m.apply(&c)
	m.compact()
	r.Revision = m.revision
	return r
}

func (m *StateMachine) apply(c *Command) Result {
	switch {
	case c.Join != nil:
		return m.join(c.Join)
	case c.Announce != nil:
		return m.announce(c.Announce)
	case c.Expire != nil:
		return m.expire(c.Expire)
	case c.Acquire != nil:
		return m.acquire(c.Acquire)
	case c.Yield != nil:
		return m.yield(c.Yield)
	default:
		return m.reportCrash(c.ReportCrash)
	}
}

func (m *StateMachine) refuse(reason verdict.Reason, format string, args ...any) Result {
	return Result{Revision: m.revision, Refusal: &Refusal{reason, fmt.Sprintf(format, args...)}}
}

// recordChange assigns the next revision to a changed record and returns it.
// previous is the revision of its last change, or 0.
func (m *StateMachine) recordChange(previous int64, key recordKey, removed bool) int64 {
	m.changed.Delete(previous)
	m.removed.Delete(previous)
	m.revision++
	m.changed.Set(m.revision, key)
	if removed {
		m.removed.Set(m.revision, key)
	}
	return m.revision
}

// compact deletes the oldest records of gone members and cleared suspects, down to
// the limit.
func (m *StateMachine) compact() {
	for m.removed.Len() > m.options.maxRemoved {
		revision, key, _ := m.removed.PopMin()
		m.changed.Delete(revision)
		m.compactRevision = revision
		switch {
		case key.server != "":
			delete(m.servers, key.server)
		case key.suspect != "":
			delete(m.suspects, key.suspect)
		default:
			delete(m.hosts, key.host)
		}
	}
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // unreachable: all types of this package can be encoded
	}
	return data
}
