package forward

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/cluster"
	"github.com/sycamoreline/sycamoreline/registry"
	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/schedule"
)

const (
	// maxCrashes is the number of crashed servers at which a request that was in
	// flight on them is rejected. A lower limit would also reject requests that
	// only shared a server with the cause of a crash.
	maxCrashes = 3
	// suspectRetryAfter is the retry-after of a request that is rejected as a
	// suspect.
	suspectRetryAfter = 5 * time.Second
	// crashRetention is how long a host reports a crash that it has detected.
	crashRetention = 90 * time.Second
	// exclusionPeriod is how long a server is not used after it could not be
	// reached or another server has answered at its address.
	exclusionPeriod = 3 * time.Second
	// probeTimeout bounds the connection attempt that checks whether a server
	// still accepts connections.
	probeTimeout = 300 * time.Millisecond
)

// View is an entry host's view of the deployment: routing table, backend
// servers, load and suspects. It implements cluster.Observer and keeps the
// scheduler up to date.
type View struct {
	forwarder *Forwarder

	mu       sync.Mutex
	index    *route.Index
	indexAt  time.Time // when index came into force
	order    *urgencies
	servers  map[string]registry.Entry
	leaving  leavingServers
	excluded map[string]exclusion // servers that are not used at present, by id
	crashed  map[uint64]*crash    // crashes that this host has detected, by fingerprint of the request
	suspects map[uint64][]string  // crashed servers, as reported by any host, by fingerprint of the request
	limits   *cluster.Limits
	outcomes *cluster.Outcomes
	accused  map[string]bool // servers of which any host has reported failures
	// backingOff counts the calls that wait to be sent again after a rejection.
	backingOff map[backingOff]int
	// knownSince is the time of the first update of the servers.
	knownSince time.Time
}

// exclusion excludes an incarnation of a server until a time.
type exclusion struct {
	startedAt int64
	until     time.Time
}

// crash lists the servers that have crashed while one request was in flight on
// them.
type crash struct {
	servers []string
	at      time.Time // time of the last crash
}

func newView(f *Forwarder) *View {
	return &View{
		forwarder: f, servers: map[string]registry.Entry{}, leaving: leavingServers{}, excluded: map[string]exclusion{},
		crashed: map[uint64]*crash{}, suspects: map[uint64][]string{}, limits: cluster.NewLimits(),
		outcomes: cluster.NewOutcomes(), accused: map[string]bool{}, backingOff: map[backingOff]int{},
	}
}

// Index returns the routing table in force, or nil.
func (view *View) Index() *route.Index {
	view.mu.Lock()
	defer view.mu.Unlock()
	return view.index
}

// version returns the version of the routing table in force, or 0.
func (view *View) version() int64 {
	version, _ := view.table()
	return version
}

// table returns the version of the routing table in force and its age on this
// host, which are 0 without one.
func (view *View) table() (version int64, age time.Duration) {
	view.mu.Lock()
	defer view.mu.Unlock()
	if view.index == nil {
		return 0, 0
	}
	return view.index.Version(), time.Since(view.indexAt)
}

// hasWorkspaces reports whether the routing table in force has workspaces.
func (view *View) hasWorkspaces() bool {
	x := view.Index()
	return x != nil && x.HasWorkspaces()
}

// urgency returns the urgency of a call to an engine or to another server; 0 without
// workspaces.
func (view *View) urgency(c *Call, engine bool) int {
	view.mu.Lock()
	defer view.mu.Unlock()
	return view.order.of(c, engine)
}

// service returns a service of the routing table, or nil.
func (view *View) service(name string) *route.Service {
	if x := view.Index(); x != nil {
		return x.Service(name)
	}
	return nil
}

// knownFor returns the time since the first control host has returned its
// servers.
func (view *View) knownFor() time.Duration {
	view.mu.Lock()
	defer view.mu.Unlock()
	if view.knownSince.IsZero() {
		return 0
	}
	return time.Since(view.knownSince)
}

// softwareVersions returns the sorted software versions of the servers of some
// services that are not leaving. The version of servers that announce none is "".
func (view *View) softwareVersions(services ...string) []string {
	view.mu.Lock()
	defer view.mu.Unlock()
	var versions []string
	for _, e := range view.servers {
		if slices.Contains(services, e.Service) && !view.isLeaving(e) {
			versions = append(versions, e.Version)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// entry returns the entry of a server, which is empty if it has left, and
// whether the server is leaving.
func (view *View) entry(server string) (e registry.Entry, leaving bool) {
	view.mu.Lock()
	defer view.mu.Unlock()
	e, ok := view.servers[server]
	return e, ok && view.isLeaving(e)
}

// isLeaving reports whether a server has announced that it is leaving, or has
// said so in a response. The caller must hold view.mu.
func (view *View) isLeaving(e registry.Entry) bool {
	return e.State != registry.Ready || view.leaving.contains(e.ID, e.StartedAt)
}

// Routes implements cluster.Observer.
func (view *View) Routes(x *route.Index) {
	view.mu.Lock()
	order := newUrgencies(x)
	view.index, view.indexAt, view.order = x, time.Now(), order
	view.mu.Unlock()
	view.forwarder.queue.Do(func(now time.Duration, s *schedule.Scheduler) { s.SetShares(now, sharesOf(x, order)) })
	view.forwarder.metrics.limits(x)
	view.syncServers()
}

// Servers implements cluster.Observer.
func (view *View) Servers(servers map[string]registry.Entry) {
	view.mu.Lock()
	for id, e := range view.servers {
		if n, ok := servers[id]; !ok || n.Address != e.Address {
			view.forwarder.pool.DropAddress(e.Address)
		}
	}
	for id, x := range view.excluded {
		if e, ok := servers[id]; !ok || e.StartedAt != x.startedAt {
			delete(view.excluded, id)
		}
	}
	view.servers = servers
	if view.knownSince.IsZero() {
		view.knownSince = time.Now()
	}
	view.leaving.update(view.forwarder.clock(), servers)
	view.mu.Unlock()
	view.syncServers()
}

// syncServers updates the scheduler's servers.
func (view *View) syncServers() {
	view.forwarder.queue.Do(func(now time.Duration, s *schedule.Scheduler) {
		// The list is made with the scheduler locked, so that concurrent updates
		// cannot replace it with an older one.
		s.SetServers(now, view.usableServers())
	})
}

func (view *View) usableServers() []schedule.Server {
	view.mu.Lock()
	defer view.mu.Unlock()
	usable := make([]schedule.Server, 0, len(view.servers))
	for id, e := range view.servers {
		if x, ok := view.excluded[id]; ok && time.Now().Before(x.until) {
			continue
		}
		usable = append(usable, view.schedulerServer(e))
	}
	return usable
}

// incarnation returns the scheduler's name of an incarnation of a server.
func incarnation(startedAt int64) string { return strconv.FormatInt(startedAt, 10) }

// schedulerServer converts a registry entry for the scheduler. The service of
// an engine becomes a model, so that the scheduler takes its prefix cache into
// account. The caller must hold view.mu.
func (view *View) schedulerServer(e registry.Entry) schedule.Server {
	v := schedule.Server{
		ID: e.ID, Incarnation: incarnation(e.StartedAt), DataCentre: e.DataCentre,
		Slots: e.Slots, SoftwareVersion: e.Version, Leaving: view.isLeaving(e),
	}
	v.Service = e.Service
	if view.index == nil {
		return v
	}
	if s := view.index.Service(e.Service); s != nil && s.Engine != nil {
		v.Service = ""
		v.Models = []schedule.ServerModel{{Name: e.Service}}
		v.CacheTokens = s.Engine.CacheTokens
		if s.Engine.Slots > 0 {
			v.Slots = s.Engine.Slots
		}
	}
	return v
}

// Load implements cluster.Observer.
func (view *View) Load(l cluster.SharedLoad) {
	if view.expireExclusions() {
		view.syncServers()
	}
	view.mu.Lock()
	servers := len(view.servers)
	view.leaving.update(view.forwarder.clock(), view.servers)
	view.mu.Unlock()
	view.forwarder.metrics.deploymentGauges(view.version(), servers, l.Hosts)
	view.forwarder.queue.Do(func(now time.Duration, s *schedule.Scheduler) {
		s.SetHosts(now, l.Hosts)
		if l.Service != nil {
			s.SetService(now, l.Service)
		}
		s.SetRemoteInFlight(now, l.InFlight)
		s.SetQueues(now, l.Queues)
		s.SetSpeeds(now, l.Speeds)
	})
	view.applyEvidence(l.Evidence)
}

// Suspects implements cluster.Observer.
func (view *View) Suspects(list []cluster.Suspect) {
	view.mu.Lock()
	defer view.mu.Unlock()
	clear(view.suspects)
	for _, s := range list {
		view.suspects[s.Fingerprint] = s.Servers
	}
}

// Report implements cluster.Observer.
func (view *View) Report() cluster.HostReport {
	var levels map[string][]int
	var service *schedule.Service
	var inFlight, waiting, timings map[string]int
	view.forwarder.queue.Do(func(now time.Duration, s *schedule.Scheduler) {
		levels, service = s.Levels(), s.Service(now)
		inFlight, waiting, timings = s.InFlight(), s.Waiting(), s.Timings(now)
	})
	view.mu.Lock()
	defer view.mu.Unlock()
	var list []cluster.Suspect
	for f, c := range view.crashed {
		if time.Since(c.at) > crashRetention {
			delete(view.crashed, f)
			continue
		}
		list = append(list, cluster.Suspect{Fingerprint: f, Servers: c.servers})
	}
	for k, n := range view.backingOff {
		waiting[k.service] += n
		if levels != nil {
			q := schedule.ServiceQueue{Levels: levels[k.service]}
			q.AddLevels(append(make([]int, k.level), n))
			levels[k.service] = q.Levels
		}
	}
	now := view.forwarder.clock()
	view.limits.Expire(now)
	outcomes, succeeded := view.outcomes.Report(now, func(server string) bool { return view.accused[server] })
	return cluster.HostReport{
		Levels: levels, Service: service,
		InFlight: inFlight, Suspects: list, Limits: view.limits.Report(now), Outcomes: outcomes, Succeeded: succeeded, Waiting: waiting, Timings: timings,
	}
}

// backingOff is the service and the level of calls that wait to be sent again after a
// rejection.
type backingOff struct {
	service string
	level   int
}

// addBackingOff adds n to the calls that wait to be sent again.
func (view *View) addBackingOff(k backingOff, n int) {
	view.mu.Lock()
	defer view.mu.Unlock()
	if view.backingOff[k] += n; view.backingOff[k] == 0 {
		delete(view.backingOff, k)
	}
}

// Limits implements cluster.Observer.
func (view *View) Limits(list []cluster.ServerLimit) {
	view.mu.Lock()
	defer view.mu.Unlock()
	for _, o := range list {
		view.limits.Observe(view.forwarder.clock(), o)
	}
}

// observeLimit records the limit that a server has named in a response, or 0 if
// it named none.
func (view *View) observeLimit(server string, perSecond float64) {
	view.mu.Lock()
	defer view.mu.Unlock()
	if e, ok := view.servers[server]; ok {
		view.limits.Observe(view.forwarder.clock(), cluster.ServerLimit{Server: server, StartedAt: e.StartedAt, PerSecond: perSecond})
	}
}

// limit returns the limit of a server, which is 0 if it has none.
func (view *View) limit(server string) cluster.ServerLimit {
	view.mu.Lock()
	defer view.mu.Unlock()
	return view.limits.Get(view.forwarder.clock(), server, view.servers[server].StartedAt)
}

// markLeaving gives an incarnation of a server no new requests, after a response
// to the request has said that it is leaving.
func (view *View) markLeaving(t target, request string) {
	view.mu.Lock()
	marked := view.leaving.mark(view.forwarder.clock(), t.server, t.startedAt)
	if marked {
		view.leaving.update(view.forwarder.clock(), view.servers)
	}
	view.mu.Unlock()
	if !marked {
		return
	}
	view.forwarder.logger.Info("backend server is leaving", zap.String("server", t.server), zap.Int64("started-at", t.startedAt),
		zap.String("request", request))
	view.forwarder.pool.DropAddress(t.address)
	view.syncServers()
}

// crashes returns the number of servers that have crashed while the request was
// in flight on them.
func (view *View) crashes(fingerprint uint64) int {
	view.mu.Lock()
	defer view.mu.Unlock()
	n := len(view.suspects[fingerprint])
	if c := view.crashed[fingerprint]; c != nil {
		n = max(n, len(c.servers))
	}
	return n
}

// excludeIfDown checks, after an interrupted attempt, whether the server still
// accepts connections. If not, it excludes the server and returns true. If the
// server refuses connections, it also records the crash, with the request as a
// suspect.
func (view *View) excludeIfDown(ctx context.Context, fingerprint uint64, t target) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", t.address)
	if err == nil {
		nc.Close()
		return false
	}
	view.exclude(t.server)
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return true // unreachable, which isn't a crash
	}
	view.mu.Lock()
	c := view.crashed[fingerprint]
	if c == nil {
		c = &crash{}
		view.crashed[fingerprint] = c
	}
	c.at = time.Now()
	if !slices.Contains(c.servers, t.server) {
		c.servers = append(c.servers, t.server)
	}
	view.mu.Unlock()
	view.forwarder.logger.Warn("backend server crashed during a request", zap.String("server", t.server), zap.Uint64("fingerprint", fingerprint))
	return true
}

// exclude stops using a server until it restarts, but no longer than
// exclusionPeriod.
func (view *View) exclude(server string) {
	view.mu.Lock()
	e, ok := view.servers[server]
	if ok {
		view.excluded[server] = exclusion{startedAt: e.StartedAt, until: time.Now().Add(exclusionPeriod)}
	}
	view.mu.Unlock()
	if !ok {
		return
	}
	view.forwarder.pool.DropAddress(e.Address)
	view.forwarder.queue.Do(func(now time.Duration, s *schedule.Scheduler) { s.RemoveServer(now, server) })
}

// expireExclusions removes expired exclusions and reports whether there were any.
func (view *View) expireExclusions() bool {
	view.mu.Lock()
	defer view.mu.Unlock()
	n := len(view.excluded)
	maps.DeleteFunc(view.excluded, func(_ string, x exclusion) bool { return !time.Now().Before(x.until) })
	return len(view.excluded) < n
}
