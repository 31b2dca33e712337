package dispatch

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/board"
	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/schedule"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// Ledger is a client of the program ledger on the control hosts. Its methods
// retry until the context ends, and their errors carry a verdict.
type Ledger interface {
	OpenProgram(ctx context.Context, c ledger.OpenProgram) (ledger.ProgramState, error)
	EndProgram(ctx context.Context, c ledger.EndProgram) (ledger.ProgramState, error)
	OpenCall(ctx context.Context, c ledger.OpenCall) (ledger.CallState, error)
	MarkSent(ctx context.Context, c ledger.MarkSent) (ledger.CallState, error)
	SettleCall(ctx context.Context, c ledger.SettleCall) (ledger.CallState, error)
	// TakeOver starts the next attempt of a call. latest is the state that was read
	// last, which names the host of the current attempt.
	TakeOver(ctx context.Context, latest ledger.CallState, c ledger.TakeOver) (ledger.CallState, error)
	Program(ctx context.Context, q ledger.ProgramQuery) (ledger.ProgramState, error)
	Call(ctx context.Context, q ledger.CallQuery) (ledger.CallState, error)
	History(ctx context.Context, q ledger.HistoryQuery) ([]ledger.Message, error)
}

// Engines sends model calls to inference engines and streams their tokens.
type Engines interface {
	Stream(ctx context.Context, address string, c engine.Call, emit func(engine.Token) error) (engine.Finish, error)
}

// Services sends tool calls to plain services.
type Services interface {
	Call(ctx context.Context, address, operation string, id backend.CallID, body []byte) (status int, answer []byte, err error)
}

// Timeouts of calls and of ledger commands.
const (
	// defaultModelTimeout bounds every model call.
	defaultModelTimeout = 10 * time.Minute
	// defaultToolTimeout bounds calls of services without a configured timeout.
	defaultToolTimeout = time.Minute
	// ledgerTimeout bounds one ledger command, leader election included. The
	// admission of a program counts towards the timeout of its open command.
	ledgerTimeout = 10 * time.Second
	// settleTimeout bounds a settlement. It is longer than ledgerTimeout because
	// an answer whose tokens are already spent is lost if it can't be recorded.
	settleTimeout = time.Minute
)

// Dispatcher runs the calls of one entry host.
type Dispatcher struct {
	host         string
	incarnation  string
	ledger       Ledger
	engines      Engines
	services     Services
	crashes      CrashRegistry
	prober       Prober
	leaseTTL     time.Duration
	queue        *Queue
	board        *board.Board
	clock        Clock
	logger       *zap.Logger
	metrics      tally.Scope
	historyCache *historyCache

	requestSerial atomic.Uint64 // serial number of the last request id

	stopping context.Context // cancelled by Close
	stop     context.CancelFunc

	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// newRequestID returns the id of a new open request or of a new intent to send.
// The ledger deduplicates proposals by it: a repeated open or take-over receives
// the grant whose first response was lost, and a repeated intent is not rejected
// as a second send.
func (d *Dispatcher) newRequestID() string {
	return strconv.FormatUint(d.requestSerial.Add(1), 36)
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithLogger sets the logger. By default, nothing is logged.
func WithLogger(l *zap.Logger) Option { return func(d *Dispatcher) { d.logger = l } }

// WithMetrics sets the metrics scope. By default, no metrics are reported.
func WithMetrics(s tally.Scope) Option { return func(d *Dispatcher) { d.metrics = s } }

// Config holds the identity and the dependencies of a Dispatcher.
type Config struct {
	Host        string
	Incarnation string // unique for each process that is started under the host's name
	Ledger      Ledger
	Engines     Engines
	Services    Services
	Crashes     CrashRegistry
	Prober      Prober
	LeaseTTL    time.Duration // TTL of the entry hosts' leases
	Board       *board.Board
	Clock       Clock
	Seed        uint64 // seed of the scheduler's random source
}

// New returns a running dispatcher. The caller must Close it.
func New(c Config, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		host:         c.Host,
		incarnation:  c.Incarnation,
		ledger:       c.Ledger,
		engines:      c.Engines,
		services:     c.Services,
		crashes:      c.Crashes,
		prober:       c.Prober,
		leaseTTL:     c.LeaseTTL,
		board:        c.Board,
		clock:        c.Clock,
		logger:       zap.NewNop(),
		metrics:      tally.NoopScope,
		historyCache: newHistoryCache(historyCacheMessages),
	}
	d.stopping, d.stop = context.WithCancel(context.Background())
	for _, o := range opts {
		o(d)
	}
	scheduler := schedule.New(rand.NewPCG(c.Seed, 0))
	d.queue = NewQueue(scheduler, c.Clock)
	c.Board.Subscribe(d.boardChanged)
	return d
}

// Close rejects new calls and new programs, cancels withdrawals, waits for the
// running requests and stops the queue.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.stop()
	d.running.Wait()
	d.queue.Close()
}

// Queue returns the call queue, for status pages and load watchers.
func (d *Dispatcher) Queue() *Queue { return d.queue }

// Incarnation returns the id that distinguishes this process from the others
// that were started under the host's name.
func (d *Dispatcher) Incarnation() string { return d.incarnation }

// begin registers a running request, for which Close waits. It returns an error
// if the host has no live lease or is shutting down.
func (d *Dispatcher) begin(firstSend bool) error {
	v := verdict.MayHaveRun
	if firstSend {
		v = verdict.NotRun
	}
	if !d.board.LeaseLive(d.clock()) {
		return verdict.New(v, verdict.LeaseExpired, "the lease of this entry host has expired",
			verdict.WithRetryAfter(time.Second))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return verdict.New(v, verdict.Draining, "this entry host is shutting down",
			verdict.WithRetryAfter(time.Second))
	}
	d.running.Add(1)
	return nil
}

// boardChanged updates the metrics and passes servers, suspects, the number of
// hosts and team limits to the scheduler when they change.
func (d *Dispatcher) boardChanged(e board.Event) {
	applied, _ := d.board.Revisions()
	d.metrics.Gauge("config-revision").Update(float64(applied))
	d.metrics.Gauge("servers").Update(float64(len(d.board.Servers())))
	switch e {
	case board.ServersChanged:
		d.syncServers()
	case board.ConfigChanged:
		d.syncTeams()
	}
}

func (d *Dispatcher) syncServers() {
	servers := d.board.Servers()
	hosts := d.board.Hosts()
	suspects := schedulerSuspects(d.board.Suspects())
	d.queue.Do(func(now time.Duration, s *schedule.Scheduler) {
		present := make(map[string]bool, len(servers))
		for _, v := range servers {
			present[v.Server] = true
			s.SetServer(now, schedulerServer(v))
		}
		for _, v := range s.Snapshot().Servers {
			if !present[v.ID] {
				s.RemoveServer(now, v.ID)
			}
		}
		s.SetHosts(now, hosts)
		s.SetSuspects(now, suspects)
	})
}

func (d *Dispatcher) syncTeams() {
	c := d.board.Config()
	d.queue.Do(func(now time.Duration, s *schedule.Scheduler) {
		for _, team := range c.Teams() {
			t, _ := c.Team(team)
			s.SetTeam(now, team, schedule.TeamLimits{Weight: t.Weight, MaxPrograms: t.MaxPrograms})
		}
	})
}
