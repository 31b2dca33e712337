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
	// syncInterval is the delay between two polls of one control host. Entry
	// hosts must receive the departure of a backend server and a new routing
	// table within 2 s, also when the first poll after it is lost.
	syncInterval = 600 * time.Millisecond
	// loadInterval is the delay between two polls of the control host that
	// supplies the aggregated load of all entry hosts.
	loadInterval = 250 * time.Millisecond
	// syncTimeout bounds one poll; a connection that exceeds it is dropped.
	syncTimeout = 600 * time.Millisecond
	// firstRetry is the initial delay between polls of a control host that does
	// not answer. It doubles up to syncInterval, and the timeout, which starts
	// at initialTimeout plus this delay, grows with it: the first packet to a
	// host without power is lost.
	firstRetry   = 100 * time.Millisecond
	firstTimeout = 200 * time.Millisecond
	// quiet is the time after which a control host that neither answers nor is
	// listed by another one is removed.
	quiet = 30 * time.Second
)

// Observer receives the updates that an entry host gets from the control hosts.
// Its methods are called one at a time and must not block.
type Observer interface {
	// Routes is called with a routing table of a higher version.
	Routes(x *route.Index)
	// Servers is called with all backend servers in use, by id.
	Servers(servers map[string]registry.Entry)
	// Load is called with the in-flight requests of all other entry hosts, by
	// server, as of about a quarter of a second ago, and the number of entry
	// hosts.
	Load(runs map[string]int, hosts int)
	// Suspects is called with the requests that were in flight on servers when
	// they crashed.
	Suspects(s []Suspect)
	// Report returns the in-flight requests of this host by server, and the
	// requests that were in flight on servers that it saw crash.
	Report() (runs map[string]int, s []Suspect)
}

// LinkConfig configures a Link.
type LinkConfig struct {
	ID         string
	DataCentre string
	Seeds      []string
	Key        control.Key
	Address    func(id string) string
	Dial       control.DialFunc // nil for TCP
	// Keeper returns the report of a ledger host; nil for an entry host.
	Keeper func() *KeeperReport
}

// Link connects an entry host or a ledger host to all control hosts. On an
// entry host, it also calls the ledger hosts.
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
	keepers  map[string]*control.Peer // by id
	heard    string                   // id of the control host that supplies the aggregated load
}

// linkHost is the state of one control host.
type linkHost struct {
	*control.Peer
	id         string
	cancel     context.CancelFunc
	dataCentre string
	life       uint64
	revision   int64
	heardAt    time.Time
	namedAt    time.Time // last listed by itself or by another control host
	answered   bool      // the last poll succeeded
	lost       bool      // a warning was logged since the last answer
}

// NewLink returns a link. Start connects it.
func NewLink(c LinkConfig, logger *zap.Logger) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	return &Link{
		config: c, logger: logger, ctx: ctx, cancel: cancel,
		hosts: map[string]*linkHost{}, keepers: map[string]*control.Peer{}, leaders: map[int]partitionLeader{}, seeds: c.Seeds, view: registry.NewView(),
	}
}

// Start connects to the seeds and starts to notify the observer, which is nil
// on a ledger host.
func (l *Link) Start(o Observer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observer = o
	l.meet(l.seeds)
	l.wait.Add(1)
	go l.review()
}

// Close closes the connections and waits for all goroutines.
func (l *Link) Close() {
	l.cancel()
	l.wait.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.keepers {
		p.Close()
	}
}

// Ledger returns the last reported state of the ledger hosts; nil before a
// control host has answered.
func (l *Link) Ledger() *LedgerView { return l.ledger.Load() }

// Index returns the routing table in force; nil before the first one is
// received.
func (l *Link) Index() *route.Index { return l.index.Load() }

// SetSeeds replaces the control hosts to contact first.
func (l *Link) SetSeeds(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = ids
	l.meet(ids)
}

// meet adds control hosts and starts to poll them. The caller holds l.mu.
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

// review removes control hosts that have expired.
func (l *Link) review() {
	defer l.wait.Done()
	for pause.For(l.ctx, quiet/10) {
		l.mu.Lock()
		l.meet(l.seeds)
		for id, h := range l.hosts {
			if time.Since(h.namedAt) > quiet && time.Since(h.heardAt) > quiet {
				h.cancel()
				delete(l.hosts, id)
				l.view.Forget(id)
			}
		}
		l.mu.Unlock()
	}
}

// follow polls one control host until it is removed.
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

// summing returns whether a control host supplies the aggregated load: the
// first one that answers in the same data centre, or else the first one at all.
func (l *Link) summing(h *linkHost) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard == h.id
}

// ask polls a control host once, and returns whether it has answered. A host
// whose last poll succeeded gets syncTimeout, any other one a shorter time.
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
		l.logger.Warn("control host unreachable", zap.String("control-host", h.id), zap.Error(err))
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
		l.logger.Warn("routing table fetch failed", zap.String("control-host", h.id), zap.Error(err))
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

// take applies the response of a control host.
func (l *Link) take(h *linkHost, r syncResponse, summing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h.lost {
		l.logger.Info("control host reachable again", zap.String("control-host", h.id))
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
