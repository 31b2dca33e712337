package cluster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/control"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/registry"
	"github.com/sycamoreline/sycamoreline/route"
)

const (
	// syncInterval separates two questions to one control host. A backend
	// server that leaves, and a new routing table, must be known within 2 s,
	// also when the first question after it is lost.
	syncInterval = 600 * time.Millisecond
	// loadInterval separates two questions to the control host that sums up the
	// load of all entry hosts.
	loadInterval = 250 * time.Millisecond
	// syncTimeout bounds one question; a connection that exceeds it is dropped.
	syncTimeout = 600 * time.Millisecond
	// firstRetry is the interval at which a control host that does not answer is
	// asked again at first. It doubles up to syncInterval, and the time for an
	// answer grows with it: the opening packet to a host without power is lost.
	firstRetry   = 100 * time.Millisecond
	firstTimeout = 200 * time.Millisecond
	// quiet is the silence after which a control host that no other one names
	// is forgotten.
	quiet = 30 * time.Second
)

// Observer is told what an entry host learns. Its methods are called one at a
// time and must not block.
type Observer interface {
	// Routes is called with a routing table of a higher version.
	Routes(x *route.Index)
	// Servers is called with all backend servers in use, by id.
	Servers(servers map[string]registry.Entry)
	// Load is called with the requests of all other entry hosts, by server, as
	// of about a quarter of a second ago, and the number of entry hosts.
	Load(runs map[string]int, hosts int)
	// Suspects is called with the requests that have crashed servers.
	Suspects(s []Suspect)
	// Report returns this host's requests under way by server, and the requests
	// that it has seen crash servers.
	Report() (runs map[string]int, s []Suspect)
}

// LinkConfig is what an entry host needs to reach the control hosts.
type LinkConfig struct {
	ID         string
	DataCentre string
	Seeds      []string
	Key        control.Key
	Address    func(id string) string
	Dial       control.DialFunc // nil for TCP
	// Keeper returns what a host of the ledger says of itself; nil for entry
	// hosts.
	Keeper func() *KeeperReport
}

// Link is an entry host's connection to all control hosts.
type Link struct {
	config LinkConfig
	logger *zap.Logger
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	index  atomic.Pointer[route.Index]
	ledger atomic.Pointer[LedgerView]

	mu       sync.Mutex
	observer Observer
	hosts    map[string]*linkHost
	seeds    []string
	view     *registry.View
	leaders  map[int]partitionLeader
	keepers  map[string]*control.Peer // hosts of the ledger
	heard    string                   // the control host in the same data centre that sums up load
}

// linkHost is one control host.
type linkHost struct {
	*control.Peer
	id         string
	cancel     context.CancelFunc
	dataCentre string
	life       uint64
	revision   int64
	heardAt    time.Time
	namedAt    time.Time // by itself or by another control host
	answered   bool      // the last time
	lost       bool
}

// NewLink returns a link. Start connects it.
func NewLink(c LinkConfig, logger *zap.Logger) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	return &Link{
		config: c, logger: logger, ctx: ctx, cancel: cancel,
		hosts: map[string]*linkHost{}, keepers: map[string]*control.Peer{}, leaders: map[int]partitionLeader{}, seeds: c.Seeds, view: registry.NewView(),
	}
}

// Start connects to the seeds and tells the observer what it learns.
func (l *Link) Start(o Observer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observer = o
	l.meet(l.seeds)
	l.wait.Add(1)
	go l.review()
}

// Close drops the connections and waits.
func (l *Link) Close() {
	l.cancel()
	l.wait.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.keepers {
		p.Close()
	}
}

// Ledger returns what is known of the hosts of the ledger; nil before a control
// host has answered.
func (l *Link) Ledger() *LedgerView { return l.ledger.Load() }

// Index returns the routing table in force; nil before the first one is known.
func (l *Link) Index() *route.Index { return l.index.Load() }

// SetSeeds replaces the control hosts to ask first.
func (l *Link) SetSeeds(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = ids
	l.meet(ids)
}

// meet starts to ask control hosts. The caller holds the lock.
func (l *Link) meet(ids []string) {
	for _, id := range ids {
		if h := l.hosts[id]; h != nil {
			h.namedAt = time.Now()
			continue
		}
		ctx, cancel := context.WithCancel(l.ctx)
		h := &linkHost{
			Peer: control.NewPeer(id, l.config.Address(id), l.config.ID, l.config.Key, nil, l.config.Dial),
			id:   id, cancel: cancel, namedAt: time.Now(),
		}
		l.hosts[id] = h
		l.wait.Add(1)
		go l.follow(ctx, h)
	}
}

// review forgets control hosts that are gone.
func (l *Link) review() {
	defer l.wait.Done()
	for pause.For(l.ctx, quiet/10) {
		l.mu.Lock()
		l.meet(l.seeds)
		for id, h := range l.hosts {
			if time.Since(h.namedAt) > quiet && time.Since(h.heardAt) > quiet {
				h.cancel()
				delete(l.hosts, id)
				l.view.RemoveSource(id)
			}
		}
		l.mu.Unlock()
	}
}

// follow asks one control host for changes until it is forgotten.
func (l *Link) follow(ctx context.Context, h *linkHost) {
	defer l.wait.Done()
	defer h.Close()
	retry := firstRetry
	for {
		interval := syncInterval
		switch {
		case !l.ask(ctx, h, firstTimeout+retry):
			interval = retry
			retry = min(2*retry, syncInterval)
		case l.summing(h):
			interval = loadInterval
			fallthrough
		default:
			retry = firstRetry
		}
		if !pause.For(ctx, interval) {
			return
		}
	}
}

// summing returns whether a control host is the one that sums up load: the
// first one that answers in the same data centre, or the first one at all.
func (l *Link) summing(h *linkHost) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard == h.id
}

// ask asks a control host once, and returns whether it has answered. A host
// that answered the last time gets syncTimeout, any other one a shorter time.
func (l *Link) ask(ctx context.Context, h *linkHost, timeout time.Duration) bool {
	l.mu.Lock()
	if h.answered {
		timeout = syncTimeout
	}
	summing := l.heard == h.id
	r := syncRequest{Host: l.config.ID, Life: h.life, Revision: h.revision, WantRuns: summing}
	l.mu.Unlock()
	if v := l.ledger.Load(); v != nil && v.Plan != nil {
		r.PlanVersion = v.Plan.Version
	}
	if l.config.Keeper != nil {
		r.Keeper = l.config.Keeper()
	} else {
		r.Runs, r.Suspects = l.observer.Report()
	}
	attempt, cancel := context.WithTimeout(ctx, min(timeout, syncTimeout))
	defer cancel()
	var out syncResponse
	if err := h.Call(attempt, methodSync, r, &out); err != nil {
		h.Reset()
		l.lose(h, err)
		return false
	}
	if l.config.Keeper == nil && out.TableVersion > l.version() {
		l.fetchTable(ctx, h)
	}
	l.take(h, out, summing)
	return true
}

func (l *Link) version() int64 {
	if x := l.index.Load(); x != nil {
		return x.Version()
	}
	return 0
}

func (l *Link) lose(h *linkHost, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h.answered = false
	if !h.lost && l.ctx.Err() == nil {
		l.logger.Warn("control host lost", zap.String("control-host", h.id), zap.Error(err))
		h.lost = true
	}
	if l.heard == h.id {
		l.heard = ""
	}
}

func (l *Link) fetchTable(ctx context.Context, h *linkHost) {
	attempt, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var out tableResponse
	if err := h.Call(attempt, methodTable, struct{}{}, &out); err != nil || out.Table == nil {
		l.logger.Warn("routing table not received", zap.String("control-host", h.id), zap.Error(err))
		return
	}
	x := route.NewIndex(out.Table)
	l.mu.Lock()
	defer l.mu.Unlock()
	if x.Version() <= l.version() {
		return
	}
	l.index.Store(x)
	l.logger.Info("routing table in force", zap.Int64("version", x.Version()), zap.String("control-host", h.id),
		zap.Int("routes", len(out.Table.Routes)))
	l.observer.Routes(x)
}

// take takes in the answer of a control host.
func (l *Link) take(h *linkHost, r syncResponse, summing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h.lost {
		l.logger.Info("control host regained", zap.String("control-host", h.id))
	}
	h.answered = true
	h.lost, h.heardAt, h.dataCentre = false, time.Now(), r.DataCentre
	full := r.Full || r.Life != h.life
	h.life, h.revision = r.Life, r.Revision
	l.meet(r.Hosts)
	if l.heard == "" || l.hosts[l.heard] == nil ||
		h.dataCentre == l.config.DataCentre && l.hosts[l.heard].dataCentre != l.config.DataCentre {
		l.heard = h.id
	}
	l.takeLedger(r.Ledger)
	if l.config.Keeper != nil {
		return
	}
	if full || len(r.Changes) > 0 {
		l.view.Update(h.id, full, r.Changes)
		l.observer.Servers(l.view.Servers())
	}
	if summing {
		l.observer.Load(r.Runs, r.EntryHosts)
	}
	if len(r.Suspects) > 0 {
		l.observer.Suspects(r.Suspects)
	}
}
