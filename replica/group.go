package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/disk"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// Transport sends messages to the replica of the group whose id is
// Message.To.ID. It must not block, and may drop, delay or reorder messages.
type Transport interface {
	Send(m Message)
}

// Config identifies a replica, its peers and its data folder.
type Config struct {
	// ID is this replica's id. Peers lists the ids of all replicas that form the
	// group, including this one. Peers is empty for a replica that joins an
	// existing group.
	ID    string
	Peers []string
	// Open allows replicas with other ids to join the group, and lost ones to be
	// removed.
	Open bool
	// Dir is the data folder of this replica of this group.
	Dir string
}

type options struct {
	fs                disk.FS
	timing            Timing
	logger            *zap.Logger
	snapshotEntries   int
	snapshotBytes     int64
	keepEntries       uint64
	maxQueuedRequests int
	rejoin            bool
	residentBytes     int
}

// Option sets an optional property of a Group.
type Option func(*options)

// WithFS sets the file system; the default is the operating system's.
func WithFS(fs disk.FS) Option { return func(o *options) { o.fs = fs } }

// WithTiming sets the intervals and timeouts; the default is DefaultTiming.
func WithTiming(t Timing) Option { return func(o *options) { o.timing = t } }

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(o *options) { o.logger = l } }

// WithSnapshots sets the number of entries, or bytes of their data, after which
// a snapshot is taken, and the number of entries before it that are kept in the
// log for slow followers.
func WithSnapshots(entries int, bytes int64, keep uint64) Option {
	return func(o *options) { o.snapshotEntries, o.snapshotBytes, o.keepEntries = entries, bytes, keep }
}

// WithResidentLog limits the data of log entries in memory: that of the newest
// applied entries to the given number of bytes or twice as much, and that of entries
// in flight to one follower. Other entries are read from the disk when they are
// needed. Without it, all entries of the log are in memory.
func WithResidentLog(bytes int) Option { return func(o *options) { o.residentBytes = bytes } }

// WithRejoin makes Open move the contents of a damaged or rolled-back data
// folder aside and join the group as a new incarnation. Without it, Open fails
// on such a folder with an error that wraps disk.ErrDamaged.
func WithRejoin() Option { return func(o *options) { o.rejoin = true } }

// Group runs one replica of a group: its Node, its store and its state machine.
//
// It uses three goroutines: the loop owns the Node, the writer owns the log on
// disk, and the applier owns the state machine. They communicate by queues, so
// that neither a slow disk nor a large snapshot delays heartbeats.
type Group struct {
	config       Config
	options      options
	transport    Transport
	stateMachine StateMachine
	store        *disk.Store
	node         *Node
	started      time.Time

	inbox          *queue[Message]
	requests       *queue[*request]
	writes         *queue[write]
	written        *queue[write]
	toApply        *queue[applyItem]
	savedSnapshots *queue[disk.SnapshotInfo]
	proposals      pendingProposals
	transfer       *disk.Transfer // snapshot being sent, or nil; owned by the loop

	leader          atomic.Pointer[Ref]
	leaderTerm      atomic.Uint64             // term in which this replica leads; 0 if it does not
	leaderSince     atomic.Pointer[time.Time] // of the last change of leaderTerm
	status          atomic.Pointer[Status]
	sendingSnapshot atomic.Bool   // a snapshot is being sent
	closing         chan struct{} // closed by Close
	stop            chan struct{} // closed to end the goroutines
	done            chan struct{} // closed when the goroutines have ended
	stopOnce        sync.Once
	closeOnce       sync.Once
	failure         error // set before stop is closed
	joinPeers       atomic.Pointer[[]string]
	retiring        atomic.Pointer[[]string]
	desired         atomic.Pointer[[]string]
	diskLevel       atomic.Int32
	pendingWrites   int                   // number of queued and running disk writes; owned by the loop
	pendingReads    map[uint64][]*request // reads not yet confirmed, by id
	lastReadID      uint64
	workers         sync.WaitGroup
}

// maxInbox limits the number of queued messages. Further ones are dropped, like
// messages lost by the network.
const maxInbox = 4096

// ticksPerHeartbeat is the number of timer ticks per heartbeat interval. Every
// tick costs an idle group a wake-up.
const ticksPerHeartbeat = 2

// Open starts a replica. It fails if the data folder is damaged, unless
// WithRejoin is given.
func Open(c Config, m StateMachine, t Transport, opts ...Option) (*Group, error) {
	o := options{
		fs: disk.OS{}, timing: DefaultTiming(), logger: zap.NewNop(),
		snapshotEntries: 20_000, snapshotBytes: 64 << 20, keepEntries: 2_000, maxQueuedRequests: 16_384,
	}
	for _, f := range opts {
		f(&o)
	}
	o.logger = o.logger.With(zap.String("replica", c.ID), zap.String("folder", c.Dir))
	g, err := open(c, m, t, o)
	if errors.Is(err, disk.ErrDamaged) && o.rejoin {
		o.logger.Error("data folder is damaged; joining as a new incarnation", zap.Error(err))
		if err := disk.SetAside(o.fs, c.Dir, rand.Uint64()); err != nil {
			return nil, fmt.Errorf("open replica %s: %w", c.ID, err)
		}
		g, err = open(c, m, t, o)
	}
	if err != nil {
		return nil, fmt.Errorf("open replica %s: %w", c.ID, err)
	}
	return g, nil
}

func open(c Config, m StateMachine, t Transport, o options) (*Group, error) {
	var storeOptions []disk.Option
	user, hasSegments := m.(SegmentUser)
	if hasSegments {
		storeOptions = append(storeOptions, disk.WithSegments(rand.Uint64()))
	}
	if o.residentBytes > 0 {
		storeOptions = append(storeOptions, disk.WithEntriesOnDisk())
	}
	store, recovered, err := disk.Open(o.fs, c.Dir, c.ID, rand.Uint64(), storeOptions...)
	if err != nil {
		return nil, err
	}
	if recovered.TornBytes > 0 {
		o.logger.Warn("truncated a torn write at the end of the log", zap.Int64("bytes", recovered.TornBytes))
	}
	if hasSegments {
		user.UseSegments(store.Segments())
	}
	g := &Group{
		config: c, options: o, transport: t, stateMachine: m, store: store, started: time.Now(),
		inbox: newQueue[Message](), requests: newQueue[*request](), writes: newQueue[write](), written: newQueue[write](),
		toApply: newQueue[applyItem](), savedSnapshots: newQueue[disk.SnapshotInfo](),
		closing: make(chan struct{}), stop: make(chan struct{}), done: make(chan struct{}),
		pendingReads: map[uint64][]*request{},
		proposals:    pendingProposals{byIndex: map[uint64]pendingProposal{}},
	}
	if err := g.start(recovered); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	return g, nil
}

func (g *Group) start(r disk.Recovered) error {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	self := Ref{ID: r.Identity.ID, Incarnation: r.Identity.Incarnation}
	node, err := NewNode(g.now(), NodeOptions{Self: self, Initial: g.config.Peers, Open: g.config.Open, Timing: g.options.timing, Random: random, ResidentBytes: g.options.residentBytes}, r)
	if err != nil {
		return err
	}
	g.node = node
	a, err := newApplier(g, r)
	if err != nil {
		return err
	}
	g.workers.Add(3)
	go g.loop()
	go g.runWriter()
	go a.run()
	go func() {
		g.workers.Wait()
		close(g.done)
	}()
	return nil
}

func (g *Group) now() Now {
	t := time.Now()
	return Now{Elapsed: t.Sub(g.started), UnixMillis: t.UnixMilli()}
}

// Deliver queues a message received from another replica, or drops it if the
// queue is full. It does not block.
func (g *Group) Deliver(m Message) {
	if g.inbox.len() < maxInbox {
		g.inbox.put(m)
	}
}

// SetJoinPeers sets the ids of replicas of an open group to which this one
// sends its requests to join.
func (g *Group) SetJoinPeers(ids []string) { g.joinPeers.Store(&ids) }

// SetRetiring sets the ids of members to be removed permanently from an open
// group.
func (g *Group) SetRetiring(ids []string) { g.retiring.Store(&ids) }

// SetDesiredMembers sets the ids of the desired members of an open group. Other
// replicas may not join, and other members are removed once all desired ones
// are voters. nil allows any replica to join.
func (g *Group) SetDesiredMembers(ids []string) { g.desired.Store(&ids) }

// SetDiskLevel sets how scarce the disk of this replica is, from 0. The leader's Status
// has the highest level of all replicas.
func (g *Group) SetDiskLevel(level int) { g.diskLevel.Store(int32(level)) }

// Leader returns the id of the group's leader, and false if it is unknown.
func (g *Group) Leader() (id string, ok bool) {
	r := g.leader.Load()
	if r == nil || *r == (Ref{}) {
		return "", false
	}
	return r.ID, true
}

// Done returns a channel that is closed when the replica has stopped, after
// Close or a failure.
func (g *Group) Done() <-chan struct{} { return g.done }

// Err returns the failure that stopped the replica, or nil. It is set once Done
// is closed.
func (g *Group) Err() error {
	select {
	case <-g.done:
		return g.failure
	default:
		return nil
	}
}

// Propose appends a command to the log and returns the state machine's result
// once the command is committed and applied. The verdict of an error is not-run
// if the command will never be applied, and may-have-run if that is unknown.
func (g *Group) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return g.submit(ctx, &request{command: command, response: make(chan response, 1)})
}

// Read returns once the state machine reflects everything committed before the
// call. It fails on a replica that is not the leader.
func (g *Group) Read(ctx context.Context) error {
	_, err := g.submit(ctx, &request{read: true, response: make(chan response, 1)})
	return err
}

func (g *Group) submit(ctx context.Context, r *request) ([]byte, error) {
	if g.requests.len() > g.options.maxQueuedRequests {
		return nil, verdict.New(verdict.NotRun, verdict.Overloaded, "too many requests are queued for the log")
	}
	select {
	case <-g.stop:
		return nil, g.unavailable()
	default:
	}
	g.requests.put(r)
	select {
	case resp := <-r.response:
		return resp.result, resp.err
	case <-ctx.Done():
		return nil, r.abandon(ctx)
	case <-g.done:
	}
	select {
	case resp := <-r.response:
		return resp.result, resp.err
	default:
		return nil, g.unavailable()
	}
}

func (g *Group) unavailable() error {
	message := "replica " + g.config.ID + " is closed"
	if g.failure != nil {
		message = "replica " + g.config.ID + " stopped: " + g.failure.Error()
	}
	return verdict.New(verdict.NotRun, verdict.ControlUnavailable, message)
}

// shutDown stops the replica. err is the failure that caused the stop, or nil
// for a regular one.
func (g *Group) shutDown(err error) {
	g.stopOnce.Do(func() {
		if errors.Is(err, ErrRolledBack) || errors.Is(err, disk.ErrDamaged) {
			err = errors.Join(err, g.store.MarkDamaged(err.Error()))
		}
		g.failure = err
		if err != nil {
			g.options.logger.Error("replica stopped by a failure", zap.Error(err))
		}
		close(g.stop)
	})
}

// Fail stops the replica because of a failure of its state machine. If the failure
// wraps disk.ErrDamaged, the data folder is marked as damaged.
func (g *Group) Fail(err error) { g.shutDown(err) }

// DiskBytes returns the size of the log and of the segments.
func (g *Group) DiskBytes() int64 { return g.store.Bytes() }

// Close transfers leadership, stops the replica and waits until it has stopped.
// Pending requests are completed or fail.
func (g *Group) Close() error {
	g.closeOnce.Do(func() { close(g.closing) })
	<-g.done
	return g.store.Close()
}
