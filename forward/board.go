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
	// maxCrashes is the number of servers that one request may crash before it
	// is refused. Requests that shared a server with it are counted too, so
	// that a smaller number would refuse them.
	maxCrashes = 3
	// suspectRetryAfter is told callers of such a request.
	suspectRetryAfter = 5 * time.Second
	// crashRetention is how long a host reports a crash that it has seen.
	crashRetention = 90 * time.Second
	// exclusionPeriod is how long a server that could not be reached is left alone.
	exclusionPeriod = 3 * time.Second
	// probeTimeout bounds the connection that tells whether a server has ended.
	probeTimeout = 300 * time.Millisecond
)

// View is what an entry host knows of the deployment. It implements
// cluster.Observer.
type View struct {
	forwarder *Forwarder

	mu       sync.Mutex
	index    *route.Index
	servers  map[string]registry.Entry
	excluded map[string]exclusion // servers not to be used, by id
	crashed  map[uint64]*crash          // seen by this host
	suspects map[uint64][]string        // of all hosts
}

// exclusionPeriod is an incarnation of a server that is not to be used.
type exclusion struct {
	born  int64
	until time.Time
}

type crash struct {
	servers []string
	at      time.Time
}

func newView(f *Forwarder) *View {
	return &View{
		forwarder: f, servers: map[string]registry.Entry{}, excluded: map[string]exclusion{}, crashed: map[uint64]*crash{},
		suspects: map[uint64][]string{},
	}
}

// Index returns the routing table in force, or nil.
func (b *View) Index() *route.Index {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.index
}

func (b *View) version() int64 {
	if x := b.Index(); x != nil {
		return x.Version()
	}
	return 0
}

func (b *View) service(name string) *route.Service {
	if x := b.Index(); x != nil {
		return x.Service(name)
	}
	return nil
}

func (b *View) address(server string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.servers[server].Address
}

// Routes implements cluster.Observer.
func (b *View) Routes(x *route.Index) {
	b.mu.Lock()
	b.index = x
	b.mu.Unlock()
	b.syncServers()
}

// Servers implements cluster.Observer.
func (b *View) Servers(servers map[string]registry.Entry) {
	b.mu.Lock()
	for id, e := range b.servers {
		if n, ok := servers[id]; !ok || n.Address != e.Address {
			b.forwarder.pool.DropAddress(e.Address)
		}
	}
	for id, x := range b.excluded {
		if e, ok := servers[id]; !ok || e.StartedAt != x.born {
			delete(b.excluded, id)
		}
	}
	b.servers = servers
	b.mu.Unlock()
	b.syncServers()
}

// syncServers gives the servers to the scheduler.
func (b *View) syncServers() {
	b.mu.Lock()
	var list []schedule.Server
	for id, e := range b.servers {
		if x, out := b.excluded[id]; out && time.Now().Before(x.until) {
			continue
		}
		list = append(list, b.schedulerServer(e))
	}
	b.mu.Unlock()
	b.forwarder.queue.Do(func(now time.Duration, s *schedule.Scheduler) {
		for _, v := range s.Snapshot().Servers {
			if !slices.ContainsFunc(list, func(o schedule.Server) bool { return o.ID == v.ID }) {
				s.RemoveServer(now, v.ID)
			}
		}
		for _, v := range list {
			s.SetServer(now, v)
		}
	})
}

// schedulerServer translates an entry for the scheduler: an engine runs its service as
// a model, so that its prompt cache counts.
func (b *View) schedulerServer(e registry.Entry) schedule.Server {
	v := schedule.Server{
		ID: e.ID, Incarnation: time.UnixMilli(e.StartedAt).UTC().String(), DataCentre: e.DataCentre,
		Slots: e.Slots, Leaving: e.State != registry.Ready,
	}
	v.Service = e.Service
	if b.index == nil {
		return v
	}
	if s := b.index.Service(e.Service); s != nil && s.Engine != nil {
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
func (b *View) Load(runs map[string]int, hosts int) {
	if b.expireExclusions() {
		b.syncServers()
	}
	b.mu.Lock()
	servers := len(b.servers)
	b.mu.Unlock()
	b.forwarder.metrics.deploymentGauges(b.version(), servers, hosts)
	b.forwarder.queue.Do(func(now time.Duration, s *schedule.Scheduler) {
		s.SetHosts(now, hosts)
		s.SetRemoteInFlight(now, runs)
	})
}

// Suspects implements cluster.Observer.
func (b *View) Suspects(list []cluster.Suspect) {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.suspects)
	for _, s := range list {
		b.suspects[s.Fingerprint] = s.Servers
	}
}

// Report implements cluster.Observer.
func (b *View) Report() (map[string]int, []cluster.Suspect) {
	var runs map[string]int
	b.forwarder.queue.Do(func(_ time.Duration, s *schedule.Scheduler) { runs = s.Runs() })
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []cluster.Suspect
	for f, c := range b.crashed {
		if time.Since(c.at) > crashRetention {
			delete(b.crashed, f)
			continue
		}
		list = append(list, cluster.Suspect{Fingerprint: f, Servers: c.servers})
	}
	return runs, list
}

// crashes returns how many servers a request is known to have crashed.
func (b *View) crashes(fingerprint uint64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(b.suspects[fingerprint])
	if c := b.crashed[fingerprint]; c != nil {
		n = max(n, len(c.servers))
	}
	return n
}

// recordIfEnded finds out whether the server of a broken attempt has ended, and
// remembers the request if so. A server that still accepts connections is not
// a crashed one.
func (b *View) recordIfEnded(ctx context.Context, fingerprint uint64, t target) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", t.address)
	if err == nil {
		nc.Close()
		return false
	}
	b.exclude(t.server)
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return true // cut off
	}
	b.mu.Lock()
	c := b.crashed[fingerprint]
	if c == nil {
		c = &crash{}
		b.crashed[fingerprint] = c
	}
	c.at = time.Now()
	if !slices.Contains(c.servers, t.server) {
		c.servers = append(c.servers, t.server)
	}
	b.mu.Unlock()
	b.forwarder.logger.Warn("backend server ended during a request", zap.String("server", t.server), zap.Uint64("fingerprint", fingerprint))
	return true
}

// exclude takes a server out of use until it starts again.
func (b *View) exclude(server string) {
	b.mu.Lock()
	e, ok := b.servers[server]
	if ok {
		b.excluded[server] = exclusion{born: e.StartedAt, until: time.Now().Add(exclusionPeriod)}
	}
	b.mu.Unlock()
	if !ok {
		return
	}
	b.forwarder.pool.DropAddress(e.Address)
	b.forwarder.queue.Do(func(now time.Duration, s *schedule.Scheduler) { s.RemoveServer(now, server) })
}

// expireExclusions returns whether servers may be used again.
func (b *View) expireExclusions() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(b.excluded)
	maps.DeleteFunc(b.excluded, func(_ string, x exclusion) bool { return !time.Now().Before(x.until) })
	return len(b.excluded) < n
}
