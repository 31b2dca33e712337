package cluster

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/bootclock"
	"github.com/sycamoreline/sycamoreline/control"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/registry"
	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/schedule"
)

const (
	// syncInterval is the delay between two polls of one control host. Entry
	// hosts must receive the departure of a backend server and a new routing
	// table within 2 s, even if the first poll after such a change is lost.
	syncInterval = 600 * time.Millisecond
	// loadInterval is the delay between two polls of the control host that
	// supplies the aggregated load of all entry hosts.
	loadInterval = 250 * time.Millisecond
	// timingInterval is the interval at which the times that servers take are reported
	// to a control host.
	timingInterval = time.Second
	// minTimingHosts is the number of entry hosts from which on the times are reported.
	// With fewer, each host has a run on every server about once a second and learns
	// by itself. Shared speeds cost a deployment of 15 hosts 0.05 of its score, as
	// servers that had just started counted as slow for seconds.
	minTimingHosts = 32
	// urgentReportDelay is the delay from the last poll of that control host until
	// the next one if a server has failed a request meanwhile.
	urgentReportDelay = 80 * time.Millisecond
	// syncTimeout bounds one poll. After a failed poll, the connection is
	// dropped.
	syncTimeout = 600 * time.Millisecond
	// tableRetryDelay is the delay after a failed request for a part of the
	// routing table.
	tableRetryDelay = 50 * time.Millisecond
	// initialRetryDelay is the initial delay between polls of a control host
	// that does not answer. The delay doubles up to syncInterval. The timeout of
	// such a poll is initialTimeout plus the delay, at most syncTimeout. It is
	// short at first: the first packet to a host without power is lost, and TCP
	// retransmits it only after a second.
	initialRetryDelay = 100 * time.Millisecond
	initialTimeout    = 200 * time.Millisecond
	// maxServersPartBytes is the size of one part of the changes of a registry.
	// Parts of all control hosts must arrive within syncTimeout even on a link
	// with little bandwidth left.
	maxServersPartBytes = 8 << 10
	// minServersPartBytes is the size of the first part after a failed request.
	// It doubles with each part that arrives.
	minServersPartBytes = 2 << 10
	// linkHostTTL is the time after which a control host is removed if it is not
	// a seed, does not answer and is not listed by another one.
	linkHostTTL = 30 * time.Second
)

// Observer receives the updates that an entry host gets from the control hosts.
// Its methods are called one at a time and must not block.
type Observer interface {
	// Routes is called with a routing table of a higher version.
	Routes(x *route.Index)
	// Servers is called with all usable backend servers, by id.
	Servers(servers map[string]registry.Entry)
	// Load is called about every loadInterval with the load of all entry hosts.
	Load(l SharedLoad)
	// Suspects is called with the requests that were in flight on servers when
	// they crashed.
	Suspects(s []Suspect)
	// Limits is called with the limits of backend servers that any host has
	// observed.
	Limits(limits []ServerLimit)
	// Report returns the state of this host.
	Report() HostReport
}

// SharedLoad is what the entry hosts have reported to a control host. Reports
// older than loadMaxAge are not included.
type SharedLoad struct {
	// InFlight are the in-flight requests of all other entry hosts, by server.
	InFlight map[string]int
	Hosts    int // number of entry hosts
	// Speeds are the speeds of the servers that differ from the mean of their
	// service, in percent. The map is not changed later.
	Speeds map[string]int
	// Evidence is what the entry hosts have seen of servers that fail requests.
	Evidence []ServerEvidence
	Queues   map[string]schedule.ServiceQueue // by service
	Service  *schedule.Service                // for workspaces; nil without any
}

// HostReport is the state that an entry host reports to the control hosts.
type HostReport struct {
	InFlight map[string]int // in-flight requests by server
	// Levels are the numbers of calls by level, by service, and Service is the work for
	// workspaces; nil without any.
	Levels  map[string][]int
	Service *schedule.Service
	// Suspects are requests that were in flight on servers whose crash this host
	// detected.
	Suspects []Suspect
	// Limits are the limits of backend servers that this host has observed.
	Limits []ServerLimit
	// Outcomes and Succeeded are the outcomes of this host's recent requests by
	// server, and the successes by service.
	Outcomes  []ServerOutcomes
	Succeeded map[string]float64
	Waiting   map[string]int // calls that wait for a server, by service
	// Timings are the mean times per unit of work on the servers that this host has
	// used lately, in microseconds.
	Timings map[string]int
}

// LinkConfig configures a Link.
type LinkConfig struct {
	ID         string
	DataCentre string
	Seeds      []string
	Key        control.Key
	Address    func(id string) string // returns the address of a host's peer port
	Dial       control.DialFunc       // nil for TCP
	// LedgerHostReport returns the report of a ledger host; nil for an entry
	// host.
	LedgerHostReport func() *LedgerHostReport
	// StrictRevocation is the time for which keys of workspaces may be used after the
	// table was confirmed as the newest; 0 for no such limit.
	StrictRevocation time.Duration
	// MinTimingHosts is the number of entry hosts from which on the times that servers
	// take are reported; 0 for minTimingHosts.
	MinTimingHosts int
}

// Link connects an entry host or a ledger host to all control hosts. On an
// entry host, it also calls the ledger hosts.
type Link struct {
	config LinkConfig
	logger *zap.Logger
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	index        atomic.Pointer[route.Index] // routing table in force
	confirmed    atomic.Bool                 // a table of the log has been in force
	confirmation atomic.Pointer[tableConfirmation]
	ledger       atomic.Pointer[LedgerView]
	tableOffered chan struct{} // signals that a control host has a newer table
	urgent       chan struct{} // signals that a report should not wait for loadInterval

	mu             sync.Mutex
	observer       Observer
	hosts          map[string]*controlHost
	seeds          []string
	view           *registry.View
	leaders        map[int]partitionLeader
	ledgerHosts    map[string]*control.Peer // by id
	serversChanged bool                     // since the observer was notified
	entryHosts     int                      // as last reported by a control host
	speeds         map[string]int           // of servers that differ, in percent
	speedsDigest   uint64
	loadSource     string // id of the control host that supplies the aggregated load
	tableFetch     *tableFetch
	controlLeader  partitionLeader // of the control hosts' log

	permits permitQueue
}

// controlHost is the state of one control host.
type controlHost struct {
	*control.Peer
	id           string
	cancel       context.CancelFunc
	dataCentre   string
	partBytes    int // size of the next part of the registry
	answeredAt   time.Time
	advertisedAt time.Time // last listed as a seed or by a control host
	timingsAt    time.Time // when timings were last reported to it
	ledgerDigest uint64    // of the last view of the ledger hosts that it has sent
	responsive   bool      // the last request succeeded
	warned       bool      // a warning was logged since the last answer
}

// NewLink returns a link. Start connects it.
func NewLink(c LinkConfig, logger *zap.Logger) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	return &Link{
		config: c, logger: logger, ctx: ctx, cancel: cancel,
		hosts: map[string]*controlHost{}, ledgerHosts: map[string]*control.Peer{}, leaders: map[int]partitionLeader{}, seeds: c.Seeds, view: registry.NewView(),
		tableFetch: newTableFetch(c.ID), tableOffered: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
		permits: permitQueue{ready: make(chan struct{}, 1)},
	}
}

// Start connects to the seeds and starts to notify the observer, which is nil
// on a ledger host.
func (l *Link) Start(o Observer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observer = o
	l.addHosts(l.seeds)
	l.wait.Go(l.expireHosts)
	if l.config.LedgerHostReport == nil {
		l.wait.Go(l.fetchTables)
		l.wait.Go(l.requestPermits)
	}
}

// Close closes the connections and waits for all goroutines.
func (l *Link) Close() {
	l.cancel()
	l.wait.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.ledgerHosts {
		p.Close()
	}
}

// Ledger returns the last reported state of the ledger hosts, or nil before the
// first response of a control host.
func (l *Link) Ledger() *LedgerView { return l.ledger.Load() }

// Index returns the routing table in force, or nil before the first one is
// received.
func (l *Link) Index() *route.Index { return l.index.Load() }

// Confirmed reports whether the table in force is one of the control hosts' log.
// Right after a restart of all hosts it is one that was in force before; the log
// may have a newer one.
func (l *Link) Confirmed() bool { return l.confirmed.Load() }

// SetSeeds replaces the control hosts to contact first.
func (l *Link) SetSeeds(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = ids
	l.addHosts(ids)
}

// addHosts records that control hosts are listed, and starts to poll new ones.
// The caller holds l.mu.
func (l *Link) addHosts(ids []string) {
	for _, id := range ids {
		if h := l.hosts[id]; h != nil {
			h.advertisedAt = time.Now()
			continue
		}
		ctx, cancel := context.WithCancel(l.ctx)
		h := &controlHost{
			Peer: control.NewPeer(id, l.config.Address(id), l.config.ID, l.config.Key, nil, l.config.Dial),
			id:   id, cancel: cancel, advertisedAt: time.Now(), partBytes: maxServersPartBytes,
		}
		l.hosts[id] = h
		l.wait.Add(1)
		go l.poll(ctx, h)
	}
}

// expireHosts periodically removes the control hosts that have neither answered
// nor been listed for linkHostTTL. Seeds count as listed.
func (l *Link) expireHosts() {
	for pause.For(l.ctx, linkHostTTL/10) {
		l.mu.Lock()
		l.addHosts(l.seeds)
		for id, h := range l.hosts {
			if time.Since(h.advertisedAt) > linkHostTTL && time.Since(h.answeredAt) > linkHostTTL {
				h.cancel()
				delete(l.hosts, id)
				l.view.RemoveSource(id)
				l.tableFetch.withdraw(id)
			}
		}
		l.mu.Unlock()
	}
}

// poll polls one control host until it is removed.
func (l *Link) poll(ctx context.Context, h *controlHost) {
	defer l.wait.Done()
	defer h.Close()
	delay := initialRetryDelay
	for {
		ok := l.sync(ctx, h, initialTimeout+delay)
		next := time.Now().Add(l.interval(h))
		if ok && l.fetchServers(ctx, h, next) {
			delay = initialRetryDelay
		} else {
			next = time.Now().Add(delay)
			delay = min(2*delay, syncInterval)
		}
		if !l.awaitPoll(ctx, h, next) {
			return
		}
	}
}

// awaitPoll waits until the next poll of a control host is due, or until an urgent
// report to it is. It returns false if the context has ended.
func (l *Link) awaitPoll(ctx context.Context, h *controlHost, next time.Time) bool {
	if l.isLoadSource(h) {
		earliest := time.Now().Add(urgentReportDelay)
		timer := time.NewTimer(time.Until(next))
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-l.urgent:
			next = earliest
		}
	}
	return pause.For(ctx, time.Until(next))
}

// ReportSoon sends the next report without waiting for loadInterval. It is called
// when a server has failed a request.
func (l *Link) ReportSoon() {
	select {
	case l.urgent <- struct{}{}:
	default:
	}
}

// interval returns the delay between two polls of a control host that answers.
func (l *Link) interval(h *controlHost) time.Duration {
	if l.isLoadSource(h) {
		return min(loadInterval, l.confirmationInterval(h))
	}
	return min(syncInterval, l.confirmationInterval(h))
}

// isLoadSource returns whether a control host supplies the aggregated load: the
// first one that answers in the same data centre, or else the first one at all.
func (l *Link) isLoadSource(h *controlHost) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loadSource == h.id
}

// sync polls a control host once, and returns whether it has answered. After a
// successful poll, syncTimeout applies instead of the given timeout.
func (l *Link) sync(ctx context.Context, h *controlHost, timeout time.Duration) bool {
	l.mu.Lock()
	if h.responsive {
		timeout = syncTimeout
	}
	wantLoad := l.loadSource == h.id
	r := syncRequest{Host: l.config.ID, WantInFlight: wantLoad, AcceptsTotals: wantLoad, LedgerDigest: h.ledgerDigest}
	withTimings := l.entryHosts >= cmp.Or(l.config.MinTimingHosts, minTimingHosts) && time.Since(h.timingsAt) >= timingInterval
	if withTimings {
		h.timingsAt = time.Now()
	}
	if wantLoad {
		r.SpeedsDigest = l.speedsDigest
	}
	if l.config.LedgerHostReport == nil {
		r.serversRequest = l.serversRequest(h)
	}
	l.mu.Unlock()
	if v := l.ledger.Load(); v != nil && v.Plan != nil {
		r.PlanVersion = v.Plan.Version
	}
	if l.config.LedgerHostReport != nil {
		r.LedgerHost = l.config.LedgerHostReport()
	} else {
		report := l.observer.Report()
		r.DataCentre, r.Confirm = l.config.DataCentre, l.wantsConfirmation()
		r.Levels, r.Service = report.Levels, report.Service
		r.InFlight, r.Suspects, r.Limits = report.InFlight, report.Suspects, report.Limits
		r.Outcomes, r.Succeeded, r.Waiting = report.Outcomes, report.Succeeded, report.Waiting
		if withTimings {
			r.Timings = report.Timings
		}
	}
	attempt, cancel := context.WithTimeout(ctx, min(timeout, syncTimeout))
	defer cancel()
	var out syncResponse
	sentAt := bootclock.Now()
	if err := h.Call(attempt, methodSync, r, &out); err != nil {
		l.markUnreachable(h, err)
		return false
	}
	l.applyResponse(h, out, wantLoad, sentAt)
	return true
}

// serversRequest returns the request for the next part of the registry of a
// control host. The caller holds l.mu.
func (l *Link) serversRequest(h *controlHost) serversRequest {
	r := serversRequest{Position: l.view.Position(h.id)}
	if h.partBytes < maxServersPartBytes {
		r.PartBytes = h.partBytes
	}
	return r
}

// fetchServers requests the missing parts of the registry of a control host
// until the next poll is due. It returns false if a request fails.
func (l *Link) fetchServers(ctx context.Context, h *controlHost, until time.Time) bool {
	for time.Now().Before(until) {
		l.mu.Lock()
		r := l.serversRequest(h)
		l.mu.Unlock()
		if !r.HasGap() {
			return true
		}
		attempt, cancel := context.WithTimeout(ctx, syncTimeout)
		var part registry.Part
		err := h.Call(attempt, methodServers, r, &part)
		cancel()
		if err != nil {
			l.markUnreachable(h, err)
			return false
		}
		l.receiveServersPart(h, part)
	}
	return true
}

// receiveServersPart records a part. It notifies the observer only after the last
// one; after the others, the next poll does.
func (l *Link) receiveServersPart(h *controlHost, p registry.Part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hosts[h.id] != h {
		return // removed while the request was in progress
	}
	l.updateServers(h, p)
	if !p.HasGap() {
		l.logger.Info("backend servers received", zap.String("control-host", h.id), zap.Int64("revision", p.Revision))
		l.notifyServers()
	}
}

// updateServers records a part of the registry of a control host. The caller
// holds l.mu.
func (l *Link) updateServers(h *controlHost, p registry.Part) {
	h.partBytes = min(2*h.partBytes, maxServersPartBytes)
	if l.view.Update(h.id, p) {
		l.serversChanged = true
	}
}

// notifyServers notifies the observer if the backend servers have changed. The
// caller holds l.mu.
func (l *Link) notifyServers() {
	if l.serversChanged {
		l.serversChanged = false
		l.observer.Servers(l.view.Servers())
	}
}

// markUnreachable records that a request has failed, and drops the connection.
func (l *Link) markUnreachable(h *controlHost, err error) {
	h.Reset()
	l.mu.Lock()
	defer l.mu.Unlock()
	h.responsive, h.partBytes = false, minServersPartBytes
	l.tableFetch.withdraw(h.id)
	if !h.warned && l.ctx.Err() == nil {
		l.logger.Warn("control host unreachable", zap.String("control-host", h.id), zap.Error(err))
		h.warned = true
	}
	if l.loadSource == h.id {
		l.loadSource = ""
	}
}

// fetchTables fetches the updates of the routing table, one at a time: parallel
// transfers of the same update would share the bandwidth of this host.
func (l *Link) fetchTables() {
	for {
		if l.fetchTablePart() {
			continue
		}
		select {
		case <-l.tableOffered:
		case <-l.ctx.Done():
			return
		}
	}
}

// fetchTablePart requests the next part of an update, and returns false if
// there is nothing to fetch.
func (l *Link) fetchTablePart() bool {
	l.mu.Lock()
	id, r, ok := l.tableFetch.next()
	h, timeout := l.hosts[id], l.tableFetch.timeout()
	l.mu.Unlock()
	if !ok || h == nil || l.ctx.Err() != nil {
		return false
	}
	attempt, cancel := context.WithTimeout(l.ctx, timeout)
	defer cancel()
	var out tablePartResponse
	err := h.Call(attempt, methodTable, r, &out)
	if err == nil {
		err = l.receiveTablePart(h, out)
	} else {
		l.mu.Lock()
		l.tableFetch.failed(id)
		l.mu.Unlock()
	}
	if err != nil && l.ctx.Err() == nil {
		l.logger.Warn("routing table fetch failed", zap.String("control-host", id), zap.Int64("base", r.Base), zap.Int("offset", r.Offset),
			zap.Duration("timeout", timeout), zap.Error(err))
		pause.For(l.ctx, tableRetryDelay)
	}
	return true
}

// receiveTablePart records a part and puts the table in force once it is
// complete.
func (l *Link) receiveTablePart(h *controlHost, p tablePartResponse) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, err := l.tableFetch.receive(h.id, p)
	if t == nil {
		return err
	}
	x := route.NewIndex(t)
	l.index.Store(x)
	l.logger.Info("routing table in force", zap.Int64("version", x.Version()), zap.String("control-host", h.id),
		zap.Int("routes", len(t.Routes)), zap.Int("bytes", p.Size))
	l.observer.Routes(x)
	return nil
}

// applyResponse records the response of a control host to a poll that was sent at a
// time of bootclock.Now, and notifies the observer of changes.
func (l *Link) applyResponse(h *controlHost, r syncResponse, wantLoad bool, sentAt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hosts[h.id] != h {
		return // removed while the request was in progress
	}
	if h.warned {
		l.logger.Info("control host reachable again", zap.String("control-host", h.id))
	}
	h.responsive = true
	h.warned, h.answeredAt, h.dataCentre = false, time.Now(), r.DataCentre
	l.entryHosts = r.EntryHosts
	l.addHosts(r.Hosts)
	if l.loadSource == "" || l.hosts[l.loadSource] == nil ||
		h.dataCentre == l.config.DataCentre && l.hosts[l.loadSource].dataCentre != l.config.DataCentre {
		l.loadSource = h.id
	}
	if r.Leader != "" && r.Term >= l.controlLeader.term {
		l.controlLeader = partitionLeader{r.Leader, r.Term}
	}
	if r.Ledger != nil {
		l.applyLedgerView(*r.Ledger)
		h.ledgerDigest = r.LedgerDigest
	}
	if l.config.LedgerHostReport != nil {
		return
	}
	if x := l.index.Load(); x != nil && !r.Provisional && r.TableVersion > 0 && x.Version() >= r.TableVersion {
		l.confirmed.Store(true)
	}
	l.confirmTable(&r, sentAt)
	if l.tableFetch.offer(h.id, r.TableVersion, h.dataCentre == l.config.DataCentre) {
		select {
		case l.tableOffered <- struct{}{}:
		default:
		}
	}
	l.updateServers(h, r.Part)
	l.notifyServers()
	if wantLoad {
		l.applyLoad(h, &r)
	}
	if len(r.Suspects) > 0 {
		l.observer.Suspects(r.Suspects)
	}
	if len(r.Limits) > 0 {
		l.observer.Limits(r.Limits)
	}
}

// applyLoad notifies the observer of the load of all entry hosts. The caller holds
// l.mu.
func (l *Link) applyLoad(h *controlHost, r *syncResponse) {
	inFlight, err := r.inFlight()
	evidence, evidenceErr := r.evidence()
	service, serviceErr := r.service()
	if err = errors.Join(err, evidenceErr, serviceErr); err != nil {
		l.logger.Warn("aggregated load not readable", zap.String("control-host", h.id), zap.Error(err))
		return
	}
	if r.SpeedsDigest != l.speedsDigest {
		l.speeds, l.speedsDigest = r.Speeds, r.SpeedsDigest
		l.logger.Info("speeds of backend servers learned", zap.String("control-host", h.id), zap.Int("servers", len(l.speeds)), zap.Any("percent", l.speeds))
	}
	l.observer.Load(SharedLoad{Speeds: l.speeds, InFlight: inFlight, Hosts: r.EntryHosts, Evidence: evidence, Queues: r.Queues, Service: service})
}

const (
	// permitTimeout bounds the request for a permit; the call waits for it.
	permitTimeout = 250 * time.Millisecond
	// permitRetryDelay is the wait after a request for a permit has failed.
	permitRetryDelay = 200 * time.Millisecond
)

// Permit asks the leader of the control hosts for a permit to send one request
// to a limited server. It returns 0 if the request may be sent now, or else the
// time after which to ask again.
func (l *Link) Permit(ctx context.Context, o ServerLimit) time.Duration {
	l.mu.Lock()
	h := l.hosts[l.controlLeader.id]
	if h == nil || !h.responsive {
		l.mu.Unlock()
		return permitRetryDelay
	}
	l.mu.Unlock()
	attempt, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	var out permitResponse
	if err := h.Call(attempt, methodPermit, permitRequest{Host: l.config.ID, ServerLimit: &o}, &out); err != nil {
		if leader := redirect(err); leader != "" {
			l.mu.Lock()
			l.controlLeader.id = leader
			l.mu.Unlock()
		}
		if ctx.Err() == nil {
			l.logger.Warn("permit request failed", zap.String("server", o.Server), zap.String("control-host", h.id), zap.Error(err))
		}
		return permitRetryDelay
	}
	return out.Wait
}
