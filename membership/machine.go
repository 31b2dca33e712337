package membership

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/tidwall/btree"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// StateMachine is the state of the members. It is not safe for concurrent use.
type StateMachine struct {
	options  options
	clock    int64 // greatest time seen, Unix milliseconds
	revision int64
	// compactRevision is the revision up to which removed records may be missing from
	// differences.
	compactRevision int64
	fencing         int64
	liveHosts       int
	servers         map[string]*server
	hosts           map[hostIncarnation]*host
	suspects        map[string]*suspect
	grants          map[string]*grant
	crashes         crashes
	// changed has every record at the revision of its last change, and
	// removed those that are gone.
	changed *btree.Map[int64, recordKey]
	removed *btree.Map[int64, recordKey]
}

// recordKey names a record. Exactly one field is set.
type recordKey struct {
	server  string
	host    hostIncarnation
	suspect string
}

type options struct {
	maxRemoved       int
	maxCrashes       int
	suspectRetention int64 // milliseconds, as are all durations here
	orderLifetime    int64
	rejoinWindow     int64
}

// Option sets an optional part of a Machine. All replicas must use the same
// options.
type Option func(*options)

// WithRemoved is the number of gone members and cleared suspects that
// differences can still name, latest first.
func WithRemoved(count int) Option {
	return func(o *options) { o.maxRemoved = count }
}

// WithSuspects keeps crash reports for d, and at most count, latest first.
func WithSuspects(d time.Duration, count int) Option {
	return func(o *options) { o.suspectRetention, o.maxCrashes = d.Milliseconds(), count }
}

// WithOrderLifetime is the longest time from the sending of an order to a
// server to its end, whether it succeeds or not.
func WithOrderLifetime(d time.Duration) Option {
	return func(o *options) { o.orderLifetime = d.Milliseconds() }
}

// WithRejoinWindow is the time in which an expired server can come back under
// the same incarnation. After it, its engine memory counts as lost.
func WithRejoinWindow(d time.Duration) Option {
	return func(o *options) { o.rejoinWindow = d.Milliseconds() }
}

// New returns a machine without members.
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

// Revision counts the changes of members.
func (m *StateMachine) Revision() int64 { return m.revision }

// Apply carries out a Command in JSON and returns its Result in JSON.
// Malformed input is refused and changes nothing.
func (m *StateMachine) Apply(unixMillis int64, command []byte) []byte {
	var c Command
	if err := json.Unmarshal(command, &c); err != nil {
		return encode(m.refuse(verdict.BadRequest, "%s", err))
	}
	return encode(m.ApplyCommand(unixMillis, c))
}

// ApplyCommand is Apply without the JSON.
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

// recordChange gives a changed record the next revision, which it returns.
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

// compact forgets the records that were removed first, above the limit.
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
		panic(err) // the types hold nothing that JSON cannot express
	}
	return data
}
