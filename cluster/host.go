package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/control"
	"github.com/sycamoreline/sycamoreline/disk"
	"github.com/sycamoreline/sycamoreline/metrics"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/registry"
	"github.com/sycamoreline/sycamoreline/replica"
	"github.com/sycamoreline/sycamoreline/strictjson"
	"github.com/sycamoreline/sycamoreline/tree"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	// gossipInterval is the period at which renewals of announcements are sent
	// in batches. Changes are sent immediately. It is also the period at which
	// registrations and reports expire and the ledger plan is updated.
	gossipInterval = 500 * time.Millisecond
	// maxGossipInterval is the longest time between two gossip messages to a
	// host, seeds included: a seed may have been replaced by a new host. It is
	// also the period at which gauges are updated.
	maxGossipInterval = time.Second
	// removeAfter is the time without contact after which a member of a log
	// group is removed, so that it no longer counts towards the quorum. A host
	// that is killed or frozen is back within seconds; removing it earlier would
	// only cost two membership changes.
	removeAfter = 12 * time.Second
	// heartbeatInterval and electionTimeout determine how long a log has no
	// leader after a failure. Callers time out after a second or two, and a
	// round trip takes 3 ms.
	heartbeatInterval = 100 * time.Millisecond
	electionTimeout   = 400 * time.Millisecond
	// slowWrite is the duration of a disk write from which a leader transfers
	// its leadership. It is far above the few milliseconds that a write takes on
	// a healthy disk.
	slowWrite = 40 * time.Millisecond
	// writeRate is the number of bytes per second that a healthy disk writes at
	// least. A configuration may have some 8 MiB, with its source.
	writeRate = 32 << 20
	// controlHostTTL is how long a control host stays in Host.lastSeen after its
	// last message.
	controlHostTTL = 20 * time.Second
	// maxTableAttempts bounds the compare-and-set attempts to write a table
	// while other writers change it.
	maxTableAttempts = 8
)

// HostConfig configures a control host. It is also part of the configuration of
// a ledger host.
type HostConfig struct {
	ID         string // unique among the hosts, such as an IP address
	DataCentre string
	DataFolder string
	// Founders are the ids of the initial members of the log group, on the
	// first start of the deployment; empty for a host that joins an existing
	// group.
	Founders []string
	// Seeds are the ids of the control hosts to contact first.
	Seeds []string
	// ToleratedLosses is the number of hosts that may fail at the same time.
	ToleratedLosses int
	Key             control.Key
	Address         func(id string) string // returns the address of a host's peer port
	Dial            control.DialFunc       // nil for TCP
	Metrics         tally.Scope            // nil for no metrics
	// Quota bounds the requests of workspaces that have a limit.
	Quota QuotaBound
	// MemoryBytes is the memory of the host, or 0 if it is not known. A ledger host
	// with much memory keeps bodies of turns there.
	MemoryBytes int64
}

func (c HostConfig) withDefaults() HostConfig {
	if c.Metrics == nil {
		c.Metrics = tally.NoopScope
	}
	return c
}

// peer returns a client for the peer port of another host.
func (c HostConfig) peer(id string) *control.Peer {
	return control.NewPeer(id, c.Address(id), c.ID, c.Key, nil, c.Dial)
}

// replicationFactor returns the number of replicas of each ledger partition. A
// majority of them survives the tolerated failures.
func (c HostConfig) replicationFactor() int { return 2*c.ToleratedLosses + 1 }

// groupOptions returns the options that all log groups share.
func groupOptions(logger *zap.Logger) []replica.Option {
	timing := replica.Timing{Heartbeat: heartbeatInterval, Election: electionTimeout, SlowWrite: slowWrite, WriteRate: writeRate, RemoveAfter: removeAfter}
	return []replica.Option{replica.WithTiming(timing), replica.WithLogger(logger), replica.WithRejoin()}
}

// Host is a control host.
type Host struct {
	config  HostConfig
	logger  *zap.Logger
	server  *control.Server
	mesh    *mesh
	group   *replica.Group
	state   *controlState
	started time.Time

	read          sharedRead
	files         stateFiles
	saveRequested chan struct{}

	mu            sync.Mutex
	registry      *registry.Table
	loads         *loads
	ledgerHosts   *ledgerHosts
	limits        *Limits
	permits       *permits
	pendingGossip map[string]registry.Entry    // sent with the next gossip message
	lastSeen      map[string]time.Duration     // time of the last message, by id of another control host
	departures    map[string]observedDeparture // in the log, by path
	seeds         []string

	quota quotaOwner

	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// StartHost starts a control host that accepts connections of other hosts on
// the listener.
func StartHost(c HostConfig, listener net.Listener, logger *zap.Logger, opts ...replica.Option) (*Host, error) {
	h := &Host{
		config: c.withDefaults(), logger: logger, started: time.Now(),
		registry: registry.New(1 + rand.Uint64N(math.MaxUint64)), loads: newLoads(), ledgerHosts: newLedgerHosts(), limits: NewLimits(),
		permits: newPermits(rand.NewPCG(rand.Uint64(), rand.Uint64())), pendingGossip: map[string]registry.Entry{},
		lastSeen: map[string]time.Duration{}, departures: map[string]observedDeparture{}, seeds: c.Seeds,
		files: stateFiles{disk.OS{}, c.DataFolder}, saveRequested: make(chan struct{}, 1),
	}
	h.state = newControlState(h.requestSave, h.observeDepartures)
	h.restoreState()
	h.mesh = newMesh(c.peer)
	var err error
	h.group, err = replica.Open(
		replica.Config{ID: c.ID, Peers: c.Founders, Open: true, Dir: filepath.Join(c.DataFolder, "log")},
		h.state, transport{h.mesh, 0}, append(groupOptions(logger), opts...)...)
	if err != nil {
		h.mesh.close()
		return nil, err
	}
	h.group.SetJoinPeers(c.Seeds)
	h.server = control.NewServer(c.Key, control.WithServerLogger(logger))
	control.Handle(h.server, methodPing, ping)
	control.Handle(h.server, methodReplica, h.replicaMessage)
	control.Handle(h.server, methodGossip, h.receiveGossip)
	control.Handle(h.server, methodSync, h.sync)
	control.Handle(h.server, methodTable, h.sendTablePart)
	control.Handle(h.server, methodServers, h.sendServersPart)
	control.Handle(h.server, methodPermit, h.permit)
	control.Handle(h.server, methodDeparture, h.receiveDeparture)
	control.Handle(h.server, methodLeave, h.receiveLeave)
	h.server.Serve(listener)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.wait.Add(2)
	go h.run(ctx)
	go h.saveState(ctx)
	return h, nil
}

func (h *Host) now() time.Duration { return time.Since(h.started) }

func ping(context.Context, string, struct{}) (struct{}, error) { return struct{}{}, nil }

func (h *Host) replicaMessage(_ context.Context, _ string, m replicaMessage) (any, error) {
	h.markSeen(m.Message.From.ID)
	if m.Partition == 0 {
		h.group.Deliver(m.Message)
	}
	return nil, nil
}

func (h *Host) markSeen(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id != h.config.ID {
		h.lastSeen[id] = h.now()
	}
}

// run periodically expires registrations and reports, sends gossip and updates
// the ledger plan.
func (h *Host) run(ctx context.Context) {
	defer h.wait.Done()
	nextGossip := time.Duration(0)
	for {
		now := h.now()
		gossipDue := now >= nextGossip
		if gossipDue {
			nextGossip = now + maxGossipInterval
		}
		h.tick(now, gossipDue)
		h.planLedger(ctx)
		h.removeOldDepartures(ctx)
		if !pause.For(ctx, gossipInterval) {
			return
		}
	}
}

func (h *Host) tick(now time.Duration, gossipDue bool) {
	h.mu.Lock()
	h.registry.Expire(now)
	h.loads.expire(now)
	h.ledgerHosts.expire(now)
	h.limits.Expire(now)
	h.permits.expire(now)
	maps.DeleteFunc(h.lastSeen, func(_ string, at time.Duration) bool { return now-at > controlHostTTL })
	entries := slices.Collect(maps.Values(h.pendingGossip))
	clear(h.pendingGossip)
	to := h.otherHosts()
	h.mu.Unlock()
	h.quota.expire()
	h.group.SetJoinPeers(to)
	if len(entries) > 0 || gossipDue {
		h.sendGossip(to, entries)
	}
	if gossipDue {
		h.recordMetrics()
	}
}

// recordMetrics exports the state of the log and the registry as gauges.
func (h *Host) recordMetrics() {
	s, m := h.group.Status(), h.config.Metrics
	leads := 0.0
	if h.requireLeader() == nil {
		leads = 1
	}
	m.Gauge("log-leads").Update(leads)
	m.Gauge("log-term").Update(float64(s.Term))
	m.Gauge("log-commit").Update(float64(s.Commit))
	m.Gauge("log-members").Update(float64(len(s.Members)))
	m.Gauge("table-version").Update(float64(h.state.tableVersion()))
	h.mu.Lock()
	defer h.mu.Unlock()
	m.Gauge("backend-servers").Update(float64(h.registry.Len()))
	m.Gauge("entry-hosts").Update(float64(len(h.loads.hosts)))
}

// otherHosts returns the ids of all other control hosts that may be running:
// seeds, members and hosts seen recently. The caller holds h.mu.
func (h *Host) otherHosts() []string {
	ids := slices.Concat(h.seeds, slices.Collect(maps.Keys(h.lastSeen)))
	for _, m := range h.group.Status().Members {
		ids = append(ids, m.ID)
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	return slices.DeleteFunc(ids, func(id string) bool { return id == h.config.ID })
}

func (h *Host) sendGossip(to []string, entries []registry.Entry) {
	g := gossip{From: h.config.ID, Entries: entries}
	for _, id := range to {
		h.mesh.send(id, methodGossip, g)
	}
}

func (h *Host) receiveGossip(_ context.Context, _ string, g gossip) (any, error) {
	h.markSeen(g.From)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range g.Entries {
		if _, changed := h.registry.Announce(h.now(), e); changed {
			h.requestSave()
		}
	}
	return nil, nil
}

// SetSeeds replaces the control hosts to contact first.
func (h *Host) SetSeeds(ids []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seeds = ids
}

// Announce registers or renews a backend server. A change is sent to the other
// control hosts immediately, and a renewal with the next gossip message. That a
// server is leaving is also recorded in the log: only then does it outlive all
// control hosts, and an error means that it may not.
func (h *Host) Announce(ctx context.Context, e registry.Entry) error {
	h.announce(e)
	if e.State != registry.Leaving {
		return nil
	}
	return h.recordDeparture(ctx, e)
}

func (h *Host) announce(e registry.Entry) {
	h.mu.Lock()
	newer, changed := h.registry.Announce(h.now(), e)
	if newer {
		h.pendingGossip[e.ID] = e
	}
	to := h.otherHosts()
	h.mu.Unlock()
	if changed {
		h.requestSave()
		h.logger.Info("backend server changed", zap.String("server", e.ID), zap.String("service", e.Service),
			zap.String("address", e.Address), zap.String("state", string(e.State)), zap.Int64("born", e.StartedAt), zap.Int64("sequence", e.Sequence))
		h.sendGossip(to, []registry.Entry{e})
	}
}

// sync handles the poll of an entry host or a ledger host.
func (h *Host) sync(ctx context.Context, _ string, r syncRequest) (syncResponse, error) {
	if err := r.check(); err != nil {
		h.logger.Warn("report rejected", zap.String("entry-host", r.Host), zap.Error(err))
		return syncResponse{}, err
	}
	var confirmedAge *time.Duration
	if r.Confirm {
		if age, ok := h.confirmTable(ctx); ok {
			confirmedAge = &age
		}
	}
	status := h.group.Status()
	leader, _ := h.group.Leader()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if r.LedgerHost != nil {
		h.ledgerHosts.report(now, r.Host, *r.LedgerHost)
	} else {
		h.loads.report(now, &r)
		h.loads.reportTimings(now, r.Timings, h.registry)
		h.observeLimits(now, r.Limits)
	}
	out := syncResponse{
		ID: h.config.ID, DataCentre: h.config.DataCentre, Hosts: append(h.otherHosts(), h.config.ID),
		Leader: leader, Term: status.Term,
		EntryHosts: len(h.loads.hosts), Suspects: h.loads.suspectList(), ConfirmedAge: confirmedAge,
	}
	if t := h.state.updates.table(); t != nil {
		out.TableVersion = t.Version
		out.Provisional = h.state.tableVersion() < t.Version
	}
	view, digest := h.ledgerHosts.view()
	out.LedgerDigest = digest
	plan, _, _ := h.state.plan()
	planChanged := plan != nil && plan.Version != r.PlanVersion
	if planChanged || r.LedgerDigest != digest {
		out.Ledger = &view
	}
	if planChanged {
		out.Ledger.Plan = plan
	}
	if r.LedgerHost != nil {
		return out, nil
	}
	out.Part = h.serversPart(r.serversRequest)
	out.Limits = h.limits.Report(now)
	if r.WantInFlight && r.AcceptsTotals {
		out.Service = h.loads.aggregated(now, h.registry).work
	}
	switch {
	case !r.WantInFlight:
	case r.AcceptsTotals:
		a := h.loads.aggregated(now, h.registry)
		out.Totals, out.OwnInFlight, out.Evidence, out.Queues = a.encoded, a.byHost[r.Host], a.evidence, a.queues
		if out.SpeedsDigest = a.speedsDigest; r.SpeedsDigest != a.speedsDigest {
			out.Speeds = a.speeds
		}
	default:
		out.InFlight = h.loads.aggregated(now, h.registry).remoteInFlight(r.Host)
	}
	return out, nil
}

// observeLimits records the limits that a host has observed. The caller holds
// h.mu.
func (h *Host) observeLimits(now time.Duration, list []ServerLimit) {
	for _, o := range list {
		before := h.limits.Get(now, o.Server, o.StartedAt).PerSecond
		h.limits.Observe(now, o)
		if after := h.limits.Get(now, o.Server, o.StartedAt).PerSecond; (after > 0) != (before > 0) {
			h.logger.Info("backend server limit changed", zap.String("server", o.Server), zap.Int64("born", o.StartedAt), zap.Float64("per-second", after))
		}
	}
}

// permit handles the request of an entry host to send to a limited server, or to
// send requests of workspaces.
func (h *Host) permit(ctx context.Context, _ string, r permitRequest) (permitResponse, error) {
	if r.ServerLimit == nil {
		return h.workspacePermits(ctx, r)
	}
	if err := h.requireLeader(); err != nil {
		return permitResponse{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	h.observeLimits(now, []ServerLimit{*r.ServerLimit})
	perSecond := h.limits.Get(now, r.Server, r.StartedAt).PerSecond
	if perSecond == 0 {
		return permitResponse{}, nil
	}
	return permitResponse{Wait: h.permits.request(now, r.Host, r.Server, r.StartedAt, perSecond)}, nil
}

func (h *Host) sendTablePart(_ context.Context, _ string, r tablePartRequest) (tablePartResponse, error) {
	return h.state.updates.part(r)
}

func (h *Host) sendServersPart(_ context.Context, _ string, r serversRequest) (registry.Part, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.serversPart(r), nil
}

// serversPart returns the requested part of the registry. The caller holds h.mu.
func (h *Host) serversPart(r serversRequest) registry.Part {
	size := maxServersPartBytes
	if r.PartBytes > 0 {
		size = min(size, r.PartBytes)
	}
	return h.registry.Next(r.Position, size)
}

// requireLeader returns an error unless this host leads the log group.
func (h *Host) requireLeader() error { return requireLeader(h.group) }

// proposeChange proposes a change of the configuration tree.
func (h *Host) proposeChange(ctx context.Context, c tree.Change) (tree.Outcome, error) {
	var o tree.Outcome
	if err := h.requireLeader(); err != nil {
		return o, err
	}
	data, err := timedPropose(ctx, h.config.Metrics, h.group, strictjson.Encode(c))
	if err != nil {
		return o, err
	}
	return o, json.Unmarshal(data, &o)
}

// timedPropose proposes a command and records its latency.
func timedPropose(ctx context.Context, m tally.Scope, g *replica.Group, c []byte) ([]byte, error) {
	started := time.Now()
	data, err := g.Propose(ctx, c)
	if err != nil {
		m.Counter("proposals-failed").Inc(1)
		return nil, err
	}
	m.Histogram("proposal-latency", metrics.LatencyBuckets).RecordDuration(time.Since(started))
	return data, nil
}

// PutTable puts a routing table in force, unless the current one has the same
// or a higher version; the call then succeeds without a change. It returns the
// version in force. On a host that is not the leader, the error is a
// *control.NotLeaderError.
func (h *Host) PutTable(ctx context.Context, s Source) (int64, error) {
	if err := s.Table.Check(); err != nil {
		return 0, verdict.New(verdict.NotRun, verdict.BadRequest, err.Error())
	}
	if err := h.requireLeader(); err != nil {
		return 0, err
	}
	for range maxTableAttempts {
		current, _, pathVersion := h.state.routingTable()
		if current != nil && current.Version >= s.Table.Version {
			return current.Version, nil
		}
		change := tree.Change{
			ChangeID: "table-" + strconv.FormatUint(rand.Uint64(), 36),
			Writes: []tree.Write{
				{Path: tablePath, Value: strictjson.Encode(s.Table), IfVersion: pathVersion},
				{Path: sourcePath, Value: s.Text, IfVersion: tree.AnyVersion},
			},
		}
		o, err := h.proposeChange(ctx, change)
		if err != nil {
			return 0, err
		}
		if o.Applied {
			h.logger.Info("routing table changed", zap.Int64("version", s.Table.Version),
				zap.Int("routes", len(s.Table.Routes)), zap.Int64("revision", o.Revision))
			return s.Table.Version, nil
		}
		if o.Reason != verdict.Conflict {
			return 0, verdict.New(verdict.NotRun, o.Reason, o.Message)
		}
	}
	return 0, verdict.New(verdict.NotRun, verdict.Conflict, "routing table not written: every attempt conflicted with a concurrent change")
}

// Source returns the text of the routing table in force, or nil if there is
// none. On a host that is not the leader, the error is a
// *control.NotLeaderError.
func (h *Host) Source(ctx context.Context) (json.RawMessage, error) {
	if err := h.requireLeader(); err != nil {
		return nil, err
	}
	if err := h.group.Read(ctx); err != nil {
		return nil, err
	}
	_, text, _ := h.state.routingTable()
	return text, nil
}

// Status returns the state of the log replica on this host.
func (h *Host) Status() replica.Status { return h.group.Status() }

// Done returns a channel that is closed when the log has stopped, after Close
// or a failure.
func (h *Host) Done() <-chan struct{} { return h.group.Done() }

// Err returns the failure that stopped the log, or nil.
func (h *Host) Err() error { return h.group.Err() }

// Close transfers leadership, stops the host and waits for its goroutines.
func (h *Host) Close() error {
	h.cancel()
	h.wait.Wait()
	err := h.group.Close()
	h.mesh.close()
	h.server.Close()
	if err != nil {
		return errors.Join(fmt.Errorf("close log: %w", err))
	}
	return nil
}

// Founders returns the ids of the initial members of the log group of a new
// deployment: its seeds, sorted and without duplicates.
func Founders(seeds []string) []string {
	ids := slices.Clone(seeds)
	slices.Sort(ids)
	return slices.Compact(ids)
}
