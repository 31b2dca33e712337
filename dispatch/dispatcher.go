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

// Ledger is the program ledger on the control hosts. Its methods retry until
// the context ends; their errors carry verdicts.
type Ledger interface {
	OpenProgram(ctx context.Context, c ledger.OpenProgram) (ledger.ProgramState, error)
	EndProgram(ctx context.Context, c ledger.EndProgram) (ledger.ProgramState, error)
	OpenCall(ctx context.Context, c ledger.OpenCall) (ledger.CallState, error)
	MarkSent(ctx context.Context, c ledger.MarkSent) (ledger.CallState, error)
	SettleCall(ctx context.Context, c ledger.SettleCall) (ledger.CallState, error)
	// TakeOver takes a call over from the host that the present state names.
	TakeOver(ctx context.Context, present ledger.CallState, c ledger.TakeOver) (ledger.CallState, error)
	Program(ctx context.Context, q ledger.ProgramQuery) (ledger.ProgramState, error)
	Call(ctx context.Context, q ledger.CallQuery) (ledger.CallState, error)
	History(ctx context.Context, q ledger.HistoryQuery) ([]ledger.Message, error)
}

// Engines streams model calls.
type Engines interface {
	Stream(ctx context.Context, address string, c engine.Call, emit func(engine.Token) error) (engine.Finish, error)
}

// Services makes calls of plain services.
type Services interface {
	Call(ctx context.Context, address, operation string, id backend.CallID, body []byte) (status int, answer []byte, err error)
}

// Timeouts of a call where nothing else is set.
const (
	defaultModelTimeout = 10 * time.Minute
	defaultToolTimeout  = time.Minute
	// ledgerTimeout bounds one command of the ledger; it covers an election.
	ledgerTimeout = 10 * time.Second
	// settleTimeout is longer, since an answer that was paid for is lost with
	// its settlement.
	settleTimeout = time.Minute
)

// Dispatcher runs the calls of one entry host.
type Dispatcher struct {
	host        string
	incarnation string
	ledger      Ledger
	engines     Engines
	services    Services
	crashes     Crashes
	prober      Prober
	leaseTTL    time.Duration
	queue       *Queue
	board       *board.Board
	clock       Clock
	logger      *zap.Logger
	metrics     tally.Scope
	historyCache   *historyCache

	requests atomic.Uint64

	stopping context.Context // ends when Close is called
	stop     context.CancelFunc

	mu     sync.Mutex
	closed bool
	running   sync.WaitGroup
}

// newRequest names one open or take-over, so that a repeated proposal whose
// first answer was lost still gets the grant.
func (d *Dispatcher) newRequest() string {
	return strconv.FormatUint(d.requests.Add(1), 36)
}

// Option sets an optional part of a Dispatcher.
type Option func(*Dispatcher)

// WithLogger sets the logger; the default discards.
func WithLogger(l *zap.Logger) Option { return func(d *Dispatcher) { d.logger = l } }

// WithMetrics sets the metrics scope; the default discards.
func WithMetrics(s tally.Scope) Option { return func(d *Dispatcher) { d.metrics = s } }

// Config are what a Dispatcher works with.
type Config struct {
	Host        string
	Incarnation string // differs for each process that runs under the host's name
	Ledger      Ledger
	Engines     Engines
	Services    Services
	Crashes     Crashes
	Prober      Prober
	LeaseTTL    time.Duration // of entry hosts
	Board       *board.Board
	Clock       Clock
	Seed        uint64 // of the scheduler's random source
}

// New returns a dispatcher. Close stops it.
func New(p Config, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		host:        p.Host,
		incarnation: p.Incarnation,
		ledger:      p.Ledger,
		engines:     p.Engines,
		services:    p.Services,
		crashes:     p.Crashes,
		prober:      p.Prober,
		leaseTTL:    p.LeaseTTL,
		board:       p.Board,
		clock:       p.Clock,
		logger:      zap.NewNop(),
		metrics:     tally.NoopScope,
		historyCache:   newHistoryCache(historyCacheMessages),
	}
	d.stopping, d.stop = context.WithCancel(context.Background())
	for _, o := range opts {
		o(d)
	}
	scheduler := schedule.New(rand.NewPCG(p.Seed, 0))
	d.queue = NewQueue(scheduler, p.Clock)
	p.Board.Subscribe(d.boardChanged)
	return d
}

// Close refuses new calls, waits for the running ones and stops the queue.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.stop()
	d.running.Wait()
	d.queue.Close()
}

// Queue gives status pages and load readers the scheduler.
func (d *Dispatcher) Queue() *Queue { return d.queue }

// Incarnation names this process among those that ran under the host's name.
func (d *Dispatcher) Incarnation() string { return d.incarnation }

// begin counts a running call. It refuses when the host may take no new work.
func (d *Dispatcher) begin(firstSend bool) error {
	v := verdict.MayHaveRun
	if firstSend {
		v = verdict.NotRun
	}
	if !d.board.LeaseLive(d.clock()) {
		return verdict.New(v, verdict.LeaseExpired, "this entry host has lost the control hosts",
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

// boardChanged passes members and limits on to the scheduler.
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
		known := make(map[string]bool, len(servers))
		for _, v := range servers {
			known[v.Server] = true
			s.SetServer(now, schedulerServer(v))
		}
		for _, v := range s.Snapshot().Servers {
			if !known[v.ID] {
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
