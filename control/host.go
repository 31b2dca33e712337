package control

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/replica"
	"github.com/sycamoreline/sycamoreline/strictjson"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	// maintenanceInterval is the delay between two checks of leases and timers.
	maintenanceInterval = 50 * time.Millisecond
	// proposeTimeout bounds a command that the host itself proposes.
	proposeTimeout = 5 * time.Second
)

// HostConfig configures a control host.
type HostConfig struct {
	ID            string
	Hosts         []HostAddress // all control hosts, this one included
	ProgramGroups int
	DataFolder    string
	LeaseTTL      time.Duration
	Key           Key
	ServerTLS     *tls.Config // nil for plain TCP
	ClientTLS     *tls.Config // nil for plain TCP
	Engines       Releaser    // nil if engine memory is not released
	Dial          DialFunc    // to other control hosts; nil for TCP
}

// Releaser makes engines release the memory of ended programs.
type Releaser interface {
	Release(ctx context.Context, address, incarnation, program string) error
}

// Host is a control host. It runs one replica of every log group; on the leader
// of the configuration group, it also grants leases.
type Host struct {
	config          HostConfig
	logger          *zap.Logger
	server          *Server
	transport       *transport
	groups          []*replica.Group // by group number
	configMachine   *configMachine
	programMachines []*programMachine // by group number minus 1
	started         time.Time
	presence        *presence

	mu        sync.Mutex
	leases    *membership.Leases
	leaseTerm uint64 // term in which the leases were last extended

	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// StartHost starts a control host that accepts connections on the listener.
func StartHost(c HostConfig, listener net.Listener, logger *zap.Logger, opts ...replica.Option) (*Host, error) {
	h := &Host{
		config:        c,
		logger:        logger,
		configMachine: newConfigMachine(),
		started:       time.Now(),
		presence:      newPresence(c.LeaseTTL),
	}
	h.leases = membership.NewLeases(h.configMachine.members, c.LeaseTTL)
	h.transport = newTransport(h.peers())
	if err := h.openGroups(append(opts, replica.WithLogger(logger))); err != nil {
		return nil, errors.Join(err, h.closeGroups())
	}
	serverOpts := []ServerOption{WithServerLogger(logger)}
	if c.ServerTLS != nil {
		serverOpts = append(serverOpts, WithServerTLS(c.ServerTLS))
	}
	h.server = NewServer(c.Key, serverOpts...)
	h.registerHandlers()
	h.server.Serve(listener)

	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.wait.Add(2)
	go h.runEvery(ctx, maintenanceInterval, h.maintainLeases)
	go h.runEvery(ctx, maintenanceInterval, h.maintainPrograms)
	if c.Engines != nil {
		h.wait.Add(1)
		go h.runEvery(ctx, releaseInterval, h.releaseMemory)
	}
	return h, nil
}

func (h *Host) peers() []*Peer {
	var peers []*Peer
	for _, a := range h.config.Hosts {
		if a.ID != h.config.ID {
			peers = append(peers, NewPeer(a.ID, a.Address, h.config.ID, h.config.Key, h.config.ClientTLS, h.config.Dial))
		}
	}
	return peers
}

func (h *Host) openGroups(opts []replica.Option) error {
	ids := make([]string, 0, len(h.config.Hosts))
	for _, a := range h.config.Hosts {
		ids = append(ids, a.ID)
	}
	for n := range h.config.ProgramGroups + 1 {
		var machine replica.StateMachine = h.configMachine
		if n != ConfigGroup {
			m := newProgramMachine()
			h.programMachines = append(h.programMachines, m)
			machine = m
		}
		dir := filepath.Join(h.config.DataFolder, "group-"+strconv.Itoa(n))
		g, err := replica.Open(replica.Config{ID: h.config.ID, Peers: ids, Dir: dir}, machine,
			groupTransport{transport: h.transport, group: n}, opts...)
		if err != nil {
			return fmt.Errorf("log group %d: %w", n, err)
		}
		h.groups = append(h.groups, g)
	}
	return nil
}

// Close transfers leadership, stops the host and waits for its goroutines.
func (h *Host) Close() error {
	h.cancel()
	h.wait.Wait()
	err := h.closeGroups()
	h.server.Close()
	return err
}

// closeGroups closes all groups concurrently, since each may wait for another
// replica to become leader, and then the transport, which they use until they
// are closed.
func (h *Host) closeGroups() error {
	errs := make([]error, len(h.groups))
	var wait sync.WaitGroup
	for i, g := range h.groups {
		wait.Add(1)
		go func() {
			defer wait.Done()
			errs[i] = g.Close()
		}()
	}
	wait.Wait()
	h.transport.close()
	return errors.Join(errs...)
}

// Done returns a channel that is closed when a log group has stopped, after
// Close or a failure, for example of a write to disk.
func (h *Host) Done() <-chan struct{} {
	done := make(chan struct{})
	var once sync.Once
	for _, g := range h.groups {
		go func() {
			<-g.Done()
			once.Do(func() { close(done) })
		}()
	}
	return done
}

// Err returns the failures of the log groups that have stopped, or nil.
func (h *Host) Err() error {
	errs := make([]error, 0, len(h.groups))
	for _, g := range h.groups {
		select {
		case <-g.Done():
			errs = append(errs, g.Err())
		default:
		}
	}
	return errors.Join(errs...)
}

func (h *Host) registerHandlers() {
	Handle(h.server, methodReplica, h.replicaMessage)
	Handle(h.server, methodPropose, h.propose)
	Handle(h.server, methodTakeOver, h.takeOver)
	Handle(h.server, methodQuery, h.query)
	Handle(h.server, methodHeartbeat, h.heartbeat)
	Handle(h.server, methodPresence, h.receivePresence)
	Handle(h.server, methodAnnounce, h.announce)
	Handle(h.server, methodInForce, h.inForce)
	Handle(h.server, methodStatus, h.status)
}

func (h *Host) replicaMessage(_ context.Context, _ string, m replicaMessage) (any, error) {
	if m.Group < 0 || m.Group >= len(h.groups) {
		return nil, verdict.Newf(verdict.NotRun, verdict.BadRequest, "log group %d does not exist", m.Group)
	}
	h.groups[m.Group].Deliver(m.Message)
	return nil, nil
}

// requireLeader returns a log group by its number. The error is a
// *NotLeaderError if this host does not lead the group.
func (h *Host) requireLeader(group int) (*replica.Group, error) {
	if group < 0 || group >= len(h.groups) {
		return nil, verdict.Newf(verdict.NotRun, verdict.BadRequest,
			"log group %d does not exist; want 0 to %d", group, len(h.groups)-1)
	}
	g := h.groups[group]
	if _, ok := g.Leading(); !ok {
		leader, _ := g.Leader()
		return nil, &NotLeaderError{leader: leader}
	}
	return g, nil
}

func (h *Host) propose(ctx context.Context, _ string, r groupRequest) (json.RawMessage, error) {
	g, err := h.requireLeader(r.Group)
	if err != nil {
		return nil, err
	}
	return g.Propose(ctx, r.Body)
}

// takeOver commits the take-over of a call, unless the host that runs the call
// has reported its presence within the lease TTL.
func (h *Host) takeOver(ctx context.Context, _ string, r takeOverRequest) (json.RawMessage, error) {
	g, err := h.requireLeader(r.Group)
	if err != nil {
		return nil, err
	}
	if h.presence.alive(time.Now(), r.OldHost, r.OldIncarnation) {
		return nil, verdict.Newf(verdict.MayHaveRun, verdict.CallInProgress,
			"call %d runs on host %s", r.TakeOver.Call, r.OldHost)
	}
	return g.Propose(ctx, strictjson.Encode(ledger.Command{TakeOver: &r.TakeOver}))
}

func (h *Host) query(ctx context.Context, _ string, r groupRequest) (json.RawMessage, error) {
	g, err := h.requireLeader(r.Group)
	if err != nil {
		return nil, err
	}
	if err := g.Read(ctx); err != nil {
		return nil, err
	}
	if r.Group == ConfigGroup {
		return h.configMachine.query(r.Body)
	}
	return h.programMachines[r.Group-1].query(r.Body), nil
}

// runEvery calls f at an interval until the host is closed.
func (h *Host) runEvery(ctx context.Context, interval time.Duration, f func(context.Context)) {
	defer h.wait.Done()
	for pause.For(ctx, interval) {
		f(ctx)
	}
}

// maintainPrograms proposes a tick in every program group that this host leads
// and that has an expired timer.
func (h *Host) maintainPrograms(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for i, m := range h.programMachines {
		g := h.groups[i+1]
		if _, ok := g.Leading(); !ok || !m.due(time.Now().UnixMilli()) {
			continue
		}
		if _, err := g.Propose(ctx, strictjson.Encode(ledger.Command{Tick: &ledger.Tick{}})); err != nil {
			h.logger.Debug("ledger tick not committed", zap.Int("group", i+1), zap.Error(err))
		}
	}
}
