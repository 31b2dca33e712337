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

// Transport sends messages to the replica of the group with the id in To. It
// must not block, and may drop, delay or reorder messages.
type Transport interface {
	Send(m Message)
}

// Config names a replica and its place.
type Config struct {
	// ID is this replica's id; Peers are the ids of all replicas that form
	// the group, including this one.
	ID    string
	Peers []string
	// Open lets other replicas join the group and removes lost ones. Peers is
	// empty for a replica that joins.
	Open bool
	// Dir is the data folder of this replica of this group.
	Dir string
}

type options struct {
	fs              disk.FS
	timing          Timing
	logger          *zap.Logger
	snapshotEntries int
	snapshotBytes   int64
	keepEntries     uint64
	maxQueuedRequests      int
	rejoin          bool
}

// Option sets an optional property of a Group.
type Option func(*options)

// WithFS sets the file system; the default is the operating system's.
func WithFS(fs disk.FS) Option { return func(o *options) { o.fs = fs } }

// WithTiming sets heartbeat and election times.
func WithTiming(t Timing) Option { return func(o *options) { o.timing = t } }

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(o *options) { o.logger = l } }

// WithSnapshots sets after how many entries or bytes of commands a snapshot is
// taken, and how many entries below it stay in the log for slow followers.
func WithSnapshots(entries int, bytes int64, keep uint64) Option {
	return func(o *options) { o.snapshotEntries, o.snapshotBytes, o.keepEntries = entries, bytes, keep }
}

// WithRejoin sets a damaged or rolled-back data folder aside and joins the
// group as a new incarnation. Without it, Open fails on such a folder with an
// error that wraps disk.ErrDamaged.
func WithRejoin() Option { return func(o *options) { o.rejoin = true } }

// Group runs one replica of a group: the core, its disk and its machine.
//
// Three goroutines share the work: the loop owns the Node, the writer owns the
// log, the applier owns the Machine. They pass queues to each other, so that
// neither a slow disk nor a large snapshot holds up heartbeats.
type Group struct {
	config    Config
	options   options
	transport Transport
	stateMachine   StateMachine
	store     *disk.Store
	node      *Node
	started   time.Time

	inbox    *queue[Message]
	requests *queue[*request]
	writes   *queue[write]
	written  *queue[write]
	toApply  *queue[applyItem]
	savedSnapshots    *queue[disk.SnapshotInfo]
	proposals  pendingProposals

	leader   atomic.Pointer[Ref]
	leaderTerm atomic.Uint64 // 0 when this replica does not lead
	status   atomic.Pointer[Status]
	sendingSnapshot  atomic.Bool   // a snapshot is being sent
	closing  chan struct{} // Close was called
	stop     chan struct{} // the goroutines must end
	done     chan struct{} // they have ended
	stopOnce  sync.Once
	closeOnce   sync.Once
	failure  error // set before stop is closed
	joinPeers atomic.Pointer[[]string]
	retiring atomic.Pointer[[]string]
	desired   atomic.Pointer[[]string]
	pendingWrites     int // writes under way; owned by the loop
	pendingReads  map[uint64][]*request
	lastReadID   uint64
	workers  sync.WaitGroup
}

// maxInbox bounds the messages that wait; more are dropped, as on a network.
const maxInbox = 4096

// ticksPerHeartbeat sets how finely timers are checked; every tick costs an
// idle group a wake-up.
const ticksPerHeartbeat = 2

// Open starts the replica. It fails on a damaged data folder unless WithRejoin
// was given.
func Open(c Config, m StateMachine, t Transport, opts ...Option) (*Group, error) {
	o := options{
		fs: disk.OS{}, timing: DefaultTiming(), logger: zap.NewNop(),
		snapshotEntries: 20_000, snapshotBytes: 64 << 20, keepEntries: 2_000, maxQueuedRequests: 16_384,
	}
	for _, f := range opts {
		f(&o)
	}
	o.logger = o.logger.With(zap.String("replica", c.ID), zap.String("folder", c.Dir))
	store, recovered, err := openStore(c, o)
	if err != nil {
		return nil, fmt.Errorf("open replica %s: %w", c.ID, err)
	}
	if recovered.TornBytes > 0 {
		o.logger.Warn("cut a torn write from the end of the log", zap.Int64("bytes", recovered.TornBytes))
	}
	g := &Group{
		config: c, options: o, transport: t, stateMachine: m, store: store, started: time.Now(),
		inbox: newQueue[Message](), requests: newQueue[*request](), writes: newQueue[write](), written: newQueue[write](),
		toApply: newQueue[applyItem](), savedSnapshots: newQueue[disk.SnapshotInfo](),
		closing: make(chan struct{}), stop: make(chan struct{}), done: make(chan struct{}),
		pendingReads: map[uint64][]*request{},
		proposals: pendingProposals{byIndex: map[uint64]pendingProposal{}},
	}
	if err := g.start(recovered); err != nil {
		return nil, errors.Join(fmt.Errorf("open replica %s: %w", c.ID, err), store.Close())
	}
	return g, nil
}

func openStore(c Config, o options) (*disk.Store, disk.Recovered, error) {
	store, r, err := disk.Open(o.fs, c.Dir, c.ID, rand.Uint64())
	if !errors.Is(err, disk.ErrDamaged) || !o.rejoin {
		return store, r, err
	}
	o.logger.Error("data folder is damaged; joining as a new incarnation", zap.Error(err))
	if err := disk.SetAside(o.fs, c.Dir, rand.Uint64()); err != nil {
		return nil, disk.Recovered{}, err
	}
	return disk.Open(o.fs, c.Dir, c.ID, rand.Uint64())
}

func (g *Group) start(r disk.Recovered) error {
	seed := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	self := Ref{ID: r.Identity.ID, Incarnation: r.Identity.Incarnation}
	node, err := NewNode(g.now(), NodeOptions{Self: self, Initial: g.config.Peers, Open: g.config.Open, Timing: g.options.timing, Random: seed}, r)
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

// Deliver hands over a message from another replica. It does not block.
func (g *Group) Deliver(m Message) {
	if g.inbox.len() < maxInbox {
		g.inbox.put(m)
	}
}

// SetJoinPeers sets the ids of replicas that this one asks to let it join an
// open group.
func (g *Group) SetJoinPeers(ids []string) { g.joinPeers.Store(&ids) }

// SetRetiring sets the ids of members that are to leave an open group for good.
func (g *Group) SetRetiring(ids []string) { g.retiring.Store(&ids) }

// SetDesiredMembers sets the ids that are to be the members of an open group; others
// leave or may not join. nil lets any replica join.
func (g *Group) SetDesiredMembers(ids []string) { g.desired.Store(&ids) }

// Leader returns the id of the group's leader, and false if none is known.
func (g *Group) Leader() (id string, ok bool) {
	r := g.leader.Load()
	if r == nil || *r == (Ref{}) {
		return "", false
	}
	return r.ID, true
}

// Done is closed when the replica has stopped, by Close or by a failure.
func (g *Group) Done() <-chan struct{} { return g.done }

// Err returns why the replica stopped by itself, or nil. It is set once Done
// is closed.
func (g *Group) Err() error {
	select {
	case <-g.done:
		return g.failure
	default:
		return nil
	}
}

// Propose appends a command to the log and returns the machine's result once
// it is committed and applied. The verdict of an error is not-run if the
// command will never be applied, and may-have-run if that is not known.
func (g *Group) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return g.submit(ctx, &request{command: command, answer: make(chan answer, 1)})
}

// Read returns once the machine holds everything that was committed before
// the call. It fails on a replica that does not lead.
func (g *Group) Read(ctx context.Context) error {
	_, err := g.submit(ctx, &request{read: true, answer: make(chan answer, 1)})
	return err
}

func (g *Group) submit(ctx context.Context, r *request) ([]byte, error) {
	if g.requests.len() > g.options.maxQueuedRequests {
		return nil, verdict.New(verdict.NotRun, verdict.Overloaded, "too many requests wait for the log")
	}
	select {
	case <-g.stop:
		return nil, g.unavailable()
	default:
	}
	g.requests.put(r)
	select {
	case a := <-r.answer:
		return a.result, a.err
	case <-ctx.Done():
		return nil, r.abandon(ctx)
	case <-g.done:
	}
	select {
	case a := <-r.answer:
		return a.result, a.err
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

// fail stops the replica.
func (g *Group) fail(err error) {
	g.stopOnce.Do(func() {
		if errors.Is(err, ErrRolledBack) {
			err = errors.Join(err, g.store.MarkDamaged(err.Error()))
		}
		g.failure = err
		if err != nil {
			g.options.logger.Error("replica stops", zap.Error(err))
		}
		close(g.stop)
	})
}

// Close hands leadership over, stops the replica and waits until it has
// stopOnce. Requests that are under way get an answer.
func (g *Group) Close() error {
	g.closeOnce.Do(func() { close(g.closing) })
	<-g.done
	return g.store.Close()
}
