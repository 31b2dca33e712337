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
	// difference from before it would miss removals.
	compactRevision int64
	fencing         int64
	liveHosts       int
	servers         map[string]*server
	hosts           map[hostIncarnation]*host
	suspects        map[string]*suspect
	grants          map[string]*grant
	crashes         crashes
	// changed has all records by the revision of their last change, and removed
	// those of gone members and cleared suspects.
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
	maxRemoved       int
	maxCrashes       int
	suspectRetention int64 // durations are in milliseconds
	orderLifetime    int64
	rejoinWindow     int64
}

// Option configures a StateMachine. All replicas must use the same options.
type Option func(*options)

// WithRemoved sets how many records of gone members and cleared suspects are
// kept, the latest, so that differences include their removal.
func WithRemoved(count int) Option {
	return func(o *options) { o.maxRemoved = count }
}

// WithSuspects keeps crash reports for d, and at most count of them, the latest.
func WithSuspects(d time.Duration, count int) Option {
	return func(o *options) { o.suspectRetention, o.maxCrashes = d.Milliseconds(), count }
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
		maxRemoved:       8_192,
		maxCrashes:       4_096,
		suspectRetention: (24 * time.Hour).Milliseconds(),
		orderLifetime:    (10 * time.Second).Milliseconds(),
		rejoinWindow:     (10 * time.Minute).Milliseconds(),
	}
	for _, set := range opts {
		set(&o)
	}
	return newMachine(o)
}

func newMachine(o options) *StateMachine {
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
func (m *StateMachine) recordChange(before int64, it recordKey, removed bool) int64 {
	m.changed.Delete(before)
	m.removed.Delete(before)
	m.revision++
	m.changed.Set(m.revision, it)
	if removed {
		m.removed.Set(m.revision, it)
	}
	return m.revision
}

// compact deletes the records that were removed first, down to the limit.
func (m *StateMachine) compact() {
	for m.removed.Len() > m.options.maxRemoved {
		revision, it, _ := m.removed.PopMin()
		m.changed.Delete(revision)
		m.compactRevision = revision
		switch {
		case it.server != "":
			delete(m.servers, it.server)
		case it.suspect != "":
			delete(m.suspects, it.suspect)
		default:
			delete(m.hosts, it.host)
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
