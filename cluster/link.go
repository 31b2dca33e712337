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
	// initialRetryDelay is the interval at which a control host that does not answer is
	// asked again at first. It doubles up to syncInterval, and the time for an
	// answer grows with it: the opening packet to a host without power is lost.
	initialRetryDelay   = 100 * time.Millisecond
	initialTimeout = 200 * time.Millisecond
	// linkHostTTL is the silence after which a control host that no other one names
	// is forgotten.
	linkHostTTL = 30 * time.Second
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
	// LedgerHostReport returns what a host of the ledger says of itself; nil for entry
	// hosts.
	LedgerHostReport func() *LedgerHostReport
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
	hosts    map[string]*controlHost
	seeds    []string
	view     *registry.View
	leaders  map[int]partitionLeader
	ledgerHosts  map[string]*control.Peer // hosts of the ledger
	loadSource    string                   // the control host in the same data centre that sums up load
}

// controlHost is one control host.
type controlHost struct {
	*control.Peer
	id         string
	cancel     context.CancelFunc
	dataCentre string
	incarnation       uint64
	revision   int64
	answeredAt    time.Time
	advertisedAt    time.Time // by itself or by another control host
	responsive   bool      // the last time
	lost       bool
}

// NewLink returns a link. Start connects it.
func NewLink(c LinkConfig, logger *zap.Logger) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	return &Link{
		config: c, logger: logger, ctx: ctx, cancel: cancel,
		hosts: map[string]*controlHost{}, ledgerHosts: map[string]*control.Peer{}, leaders: map[int]partitionLeader{}, seeds: c.Seeds, view: registry.NewView(),
	}
}

// Start connects to the seeds and tells the observer what it learns.
func (l *Link) Start(o Observer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observer = o
	l.addHosts(l.seeds)
	l.wait.Add(1)
	go l.expireHosts()
}

// Close drops the connections and waits.
func (l *Link) Close() {
	l.cancel()
	l.wait.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.ledgerHosts {
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
	l.addHosts(ids)
}

// addHosts starts to ask control hosts. The caller holds the lock.
func (l *Link) addHosts(ids []string) {
	for _, id := range ids {
		if h := l.hosts[id]; h != nil {
			h.advertisedAt = time.Now()
			continue
		}
		ctx, cancel := context.WithCancel(l.ctx)
		h := &controlHost{
			Peer: control.NewPeer(id, l.config.Address(id), l.config.ID, l.config.Key, nil, l.config.Dial),
			id:   id, cancel: cancel, advertisedAt: time.Now(),
		}
		l.hosts[id] = h
		l.wait.Add(1)
		go l.poll(ctx, h)
	}
}

// expireHosts forgets control hosts that are gone.
func (l *Link) expireHosts() {
	defer l.wait.Done()
	for pause.For(l.ctx, linkHostTTL/10) {
		l.mu.Lock()
		l.addHosts(l.seeds)
		for id, h := range l.hosts {
			if time.Since(h.advertisedAt) > linkHostTTL && time.Since(h.answeredAt) > linkHostTTL {
				h.cancel()
				delete(l.hosts, id)
				l.view.RemoveSource(id)
			}
		}
		l.mu.Unlock()
	}
}

// poll asks one control host for changes until it is forgotten.
func (l *Link) poll(ctx context.Context, h *controlHost) {
	defer l.wait.Done()
	defer h.Close()
	retry := initialRetryDelay
	for {
		interval := syncInterval
		switch {
		case !l.sync(ctx, h, initialTimeout+retry):
			interval = retry
			retry = min(2*retry, syncInterval)
		case l.isLoadSource(h):
			interval = loadInterval
			fallthrough
		default:
			retry = initialRetryDelay
		}
		if !pause.For(ctx, interval) {
			return
		}
	}
}

// isLoadSource returns whether a control host is the one that sums up load: the
// first one that answers in the same data centre, or the first one at all.
func (l *Link) isLoadSource(h *controlHost) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loadSource == h.id
}

// sync asks a control host once, and returns whether it has answered. A host
// that answered the last time gets syncTimeout, any other one a shorter time.
func (l *Link) sync(ctx context.Context, h *controlHost, timeout time.Duration) bool {
	l.mu.Lock()
	if h.responsive {
		timeout = syncTimeout
	}
	summing := l.loadSource == h.id
	r := syncRequest{Host: l.config.ID, Incarnation: h.incarnation, Revision: h.revision, WantInFlight: summing}
	l.mu.Unlock()
	if v := l.ledger.Load(); v != nil && v.Plan != nil {
		r.PlanVersion = v.Plan.Version
	}
	if l.config.LedgerHostReport != nil {
		r.LedgerHost = l.config.LedgerHostReport()
	} else {
		r.InFlight, r.Suspects = l.observer.Report()
	}
	attempt, cancel := context.WithTimeout(ctx, min(timeout, syncTimeout))
	defer cancel()
	var out syncResponse
	if err := h.Call(attempt, methodSync, r, &out); err != nil {
		h.Reset()
		l.markLost(h, err)
		return false
	}
	if l.config.LedgerHostReport == nil && out.TableVersion > l.tableVersion() {
		l.fetchTable(ctx, h)
	}
	l.applyResponse(h, out, summing)
	return true
}

func (l *Link) tableVersion() int64 {
	if x := l.index.Load(); x != nil {
		return x.Version()
	}
	return 0
}

func (l *Link) markLost(h *controlHost, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h.responsive = false
	if !h.lost && l.ctx.Err() == nil {
		l.logger.Warn("control host lost", zap.String("control-host", h.id), zap.Error(err))
		h.lost = true
	}
	if l.loadSource == h.id {
		l.loadSource = ""
	}
}

func (l *Link) fetchTable(ctx context.Context, h *controlHost) {
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
	if x.Version() <= l.tableVersion() {
		return
	}
	l.index.Store(x)
	l.logger.Info("routing table in force", zap.Int64("version", x.Version()), zap.String("control-host", h.id),
		zap.Int("routes", len(out.Table.Routes)))
	l.observer.Routes(x)
}

// applyResponse takes in the answer of a control host.
func (l *Link) applyResponse(h *controlHost, r syncResponse, summing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h.lost {
		l.logger.Info("control host regained", zap.String("control-host", h.id))
	}
	h.responsive = true
	h.lost, h.answeredAt, h.dataCentre = false, time.Now(), r.DataCentre
	full := r.Full || r.Incarnation != h.incarnation
	h.incarnation, h.revision = r.Incarnation, r.Revision
	l.addHosts(r.Hosts)
	if l.loadSource == "" || l.hosts[l.loadSource] == nil ||
		h.dataCentre == l.config.DataCentre && l.hosts[l.loadSource].dataCentre != l.config.DataCentre {
		l.loadSource = h.id
	}
	l.applyLedgerView(r.Ledger)
	if l.config.LedgerHostReport != nil {
		return
	}
	if full || len(r.Changes) > 0 {
		l.view.Update(h.id, full, r.Changes)
		l.observer.Servers(l.view.Servers())
	}
	if summing {
		l.observer.Load(r.InFlight, r.EntryHosts)
	}
	if len(r.Suspects) > 0 {
		l.observer.Suspects(r.Suspects)
	}
}
