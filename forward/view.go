package forward

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
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
	// flight on each of them is rejected. A lower limit would also reject
	// requests that shared a server with the cause of a crash.
	maxCrashes = 3
	// suspectRetryAfter is the retry-after of a request that is rejected as a
	// suspect.
	suspectRetryAfter = 5 * time.Second
	// crashRetention is how long a host reports a crash that it has detected.
	crashRetention = 90 * time.Second
	// exclusionPeriod is how long a server that could not be reached is not used.
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
	servers  map[string]registry.Entry
	excluded map[string]exclusion // servers that are not used at present, by id
	crashed  map[uint64]*crash    // crashes that this host has detected, by fingerprint of the request
	suspects map[uint64][]string  // servers that all hosts have reported as crashed, by fingerprint
}

// exclusion excludes an incarnation of a server until a time.
type exclusion struct {
	startedAt int64
	until     time.Time
}

// crash lists the servers that have crashed while a request was in flight.
type crash struct {
	servers []string
	at      time.Time // time of the last crash
}

func newView(f *Forwarder) *View {
	return &View{
		forwarder: f, servers: map[string]registry.Entry{}, excluded: map[string]exclusion{}, crashed: map[uint64]*crash{},
		suspects: map[uint64][]string{},
	}
}

// Index returns the routing table in force, or nil.
func (w *View) Index() *route.Index {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.index
}

// version returns the version of the routing table in force, or 0.
func (w *View) version() int64 {
	if x := w.Index(); x != nil {
		return x.Version()
	}
	return 0
}

// service returns a service of the routing table, or nil.
func (w *View) service(name string) *route.Service {
	if x := w.Index(); x != nil {
		return x.Service(name)
	}
	return nil
}

// address returns the address of a server, or "" if it has left.
func (w *View) address(server string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[server].Address
}

// Routes implements cluster.Observer.
func (w *View) Routes(x *route.Index) {
	w.mu.Lock()
	w.index = x
	w.mu.Unlock()
	w.syncServers()
}

// Servers implements cluster.Observer.
func (w *View) Servers(servers map[string]registry.Entry) {
	w.mu.Lock()
	for id, e := range w.servers {
		if n, ok := servers[id]; !ok || n.Address != e.Address {
			w.forwarder.pool.DropAddress(e.Address)
		}
	}
	for id, x := range w.excluded {
		if e, ok := servers[id]; !ok || e.StartedAt != x.startedAt {
			delete(w.excluded, id)
		}
	}
	w.servers = servers
	w.mu.Unlock()
	w.syncServers()
}

// syncServers updates the scheduler's servers.
func (w *View) syncServers() {
	w.mu.Lock()
	var usable []schedule.Server
	for id, e := range w.servers {
		if x, ok := w.excluded[id]; ok && time.Now().Before(x.until) {
			continue
		}
		usable = append(usable, w.schedulerServer(e))
	}
	w.mu.Unlock()
	w.forwarder.queue.Do(func(now time.Duration, s *schedule.Scheduler) {
		for _, v := range s.Snapshot().Servers {
			if !slices.ContainsFunc(usable, func(o schedule.Server) bool { return o.ID == v.ID }) {
				s.RemoveServer(now, v.ID)
			}
		}
		for _, v := range usable {
			s.SetServer(now, v)
		}
	})
}

// schedulerServer converts a registry entry for the scheduler. The service of
// an engine becomes a model, so that the scheduler takes its prefix cache into
// account.
func (w *View) schedulerServer(e registry.Entry) schedule.Server {
	v := schedule.Server{
		ID: e.ID, Incarnation: time.UnixMilli(e.StartedAt).UTC().String(), DataCentre: e.DataCentre,
		Slots: e.Slots, Leaving: e.State != registry.Ready,
	}
	v.Service = e.Service
	if w.index == nil {
		return v
	}
	if s := w.index.Service(e.Service); s != nil && s.Engine != nil {
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
func (w *View) Load(runs map[string]int, hosts int) {
	if w.expireExclusions() {
		w.syncServers()
	}
	w.mu.Lock()
	servers := len(w.servers)
	w.mu.Unlock()
	w.forwarder.metrics.deploymentGauges(w.version(), servers, hosts)
	w.forwarder.queue.Do(func(now time.Duration, s *schedule.Scheduler) {
		s.SetHosts(now, hosts)
		s.SetRemoteInFlight(now, runs)
	})
}

// Suspects implements cluster.Observer.
func (w *View) Suspects(list []cluster.Suspect) {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.suspects)
	for _, s := range list {
		w.suspects[s.Fingerprint] = s.Servers
	}
}

// Report implements cluster.Observer.
func (w *View) Report() (map[string]int, []cluster.Suspect) {
	var runs map[string]int
	w.forwarder.queue.Do(func(_ time.Duration, s *schedule.Scheduler) { runs = s.Runs() })
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []cluster.Suspect
	for f, c := range w.crashed {
		if time.Since(c.at) > crashRetention {
			delete(w.crashed, f)
			continue
		}
		list = append(list, cluster.Suspect{Fingerprint: f, Servers: c.servers})
	}
	return runs, list
}

// crashes returns the number of servers that have crashed while the request was
// in flight on them.
func (w *View) crashes(fingerprint uint64) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := len(w.suspects[fingerprint])
	if c := w.crashed[fingerprint]; c != nil {
		n = max(n, len(c.servers))
	}
	return n
}

// recordIfEnded checks, after an interrupted attempt, whether the server still
// accepts connections. If not, it excludes the server and returns true. If the
// server refuses connections, it also records the crash, with the request as a
// suspect.
func (w *View) recordIfEnded(ctx context.Context, fingerprint uint64, t target) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", t.address)
	if err == nil {
		nc.Close()
		return false
	}
	w.exclude(t.server)
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return true // unreachable, which isn't a crash
	}
	w.mu.Lock()
	c := w.crashed[fingerprint]
	if c == nil {
		c = &crash{}
		w.crashed[fingerprint] = c
	}
	c.at = time.Now()
	if !slices.Contains(c.servers, t.server) {
		c.servers = append(c.servers, t.server)
	}
	w.mu.Unlock()
	w.forwarder.logger.Warn("backend server crashed during a request", zap.String("server", t.server), zap.Uint64("fingerprint", fingerprint))
	return true
}

// exclude stops using a server for the exclusion period or until it restarts.
func (w *View) exclude(server string) {
	w.mu.Lock()
	e, ok := w.servers[server]
	if ok {
		w.excluded[server] = exclusion{startedAt: e.StartedAt, until: time.Now().Add(exclusionPeriod)}
	}
	w.mu.Unlock()
	if !ok {
		return
	}
	w.forwarder.pool.DropAddress(e.Address)
	w.forwarder.queue.Do(func(now time.Duration, s *schedule.Scheduler) { s.RemoveServer(now, server) })
}

// expireExclusions removes expired exclusions. It returns whether there were
// any.
func (w *View) expireExclusions() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := len(w.excluded)
	maps.DeleteFunc(w.excluded, func(_ string, x exclusion) bool { return !time.Now().Before(x.until) })
	return len(w.excluded) < n
}
