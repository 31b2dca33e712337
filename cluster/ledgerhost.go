package cluster

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/control"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/replica"
)

const (
	// planInterval is the period at which the ledger plan is applied.
	planInterval = 250 * time.Millisecond
	// rpcTimeout bounds a proposal that an entry host requested. The entry host
	// itself retries on another host after attemptTimeout.
	rpcTimeout = 3 * time.Second
)

// LedgerHostConfig configures a ledger host. Seeds are the ids of control
// hosts; Founders stays empty.
type LedgerHostConfig struct {
	HostConfig
	Name string // by which operators refer to the host
	// FirstStart is set on the first start of the deployment.
	FirstStart bool
	// DiskBytes is the size of the disk, or 0 for no limit.
	DiskBytes int64
}

// LedgerHost is a ledger host. It runs a replica of each partition that the
// ledger plan assigns to it.
type LedgerHost struct {
	config LedgerHostConfig
	logger *zap.Logger
	opts   []replica.Option
	server *control.Server
	mesh   *mesh
	link   *Link

	disk diskLevel // owned by run
	// packSkips is the number of turns that are not packed, after one that could not
	// be compressed.
	packSkips atomic.Int32

	mu         sync.Mutex
	partitions map[int]*partitionReplica
	err        error

	cancel context.CancelFunc
	wait   sync.WaitGroup
	done   chan struct{}
}

// StartLedgerHost starts a ledger host that accepts connections of other hosts
// on the listener. Replicas on its disk are opened before it returns.
func StartLedgerHost(c LedgerHostConfig, listener net.Listener, logger *zap.Logger, opts ...replica.Option) (*LedgerHost, error) {
	c.HostConfig = c.withDefaults()
	h := &LedgerHost{
		config: c, logger: logger, opts: append(groupOptions(logger), opts...), partitions: map[int]*partitionReplica{}, done: make(chan struct{}),
	}
	h.mesh = newMesh(c.peer)
	numbers, err := partitionsOnDisk(c.DataFolder)
	for _, n := range numbers {
		err = errors.Join(err, h.open(n, nil, nil))
	}
	if err != nil {
		return nil, errors.Join(err, h.closePartitions())
	}
	h.link = NewLink(LinkConfig{
		ID: c.ID, DataCentre: c.DataCentre, Seeds: c.Seeds, Key: c.Key, Address: c.Address, Dial: c.Dial, LedgerHostReport: h.report,
	}, logger)
	h.server = control.NewServer(c.Key, control.WithServerLogger(logger))
	control.Handle(h.server, methodPing, ping)
	control.Handle(h.server, methodReplica, h.replicaMessage)
	control.Handle(h.server, methodReserve, h.reserve)
	control.Handle(h.server, methodSettle, h.settle)
	control.Handle(h.server, methodExtend, h.extend)
	control.Handle(h.server, methodRecord, h.recordStream)
	control.Handle(h.server, methodLookup, h.lookupStream)
	control.Handle(h.server, methodOutput, h.recordOutput)
	h.server.Serve(listener)
	h.link.Start(nil)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.wait.Go(func() {
		defer close(h.done)
		if err := h.run(ctx); err != nil {
			h.mu.Lock()
			h.err = err
			h.mu.Unlock()
		}
	})
	return h, nil
}

// open opens a replica of a partition. The caller must not hold h.mu.
func (h *LedgerHost) open(number int, founders, members []string) error {
	p, err := openPartition(number, h.config.HostConfig, founders, transport{h.mesh, number}, h.opts...)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.partitions[number] = p
	h.mu.Unlock()
	h.logger.Info("ledger partition opened", zap.Int("partition", number), zap.Strings("founders", founders), zap.Strings("members", members))
	return nil
}

// run applies the ledger plan until the context ends or a log stops.
func (h *LedgerHost) run(ctx context.Context) error {
	var metricsAt time.Time
	for {
		if err := h.applyPlan(h.link.Ledger()); err != nil {
			return err
		}
		if used := h.diskBytes(); h.disk.update(used, h.config.DiskBytes) {
			h.logger.Warn("fill level of the disk changed", zap.Stringer("refused", h.disk.refused()), zap.Int64("used-bytes", used), zap.Int64("disk-bytes", h.config.DiskBytes))
		}
		for _, p := range h.allPartitions() {
			p.group.SetDiskLevel(int(h.disk.refused()))
		}
		if time.Since(metricsAt) >= maxGossipInterval {
			metricsAt = time.Now()
			h.recordMetrics()
		}
		if !pause.For(ctx, planInterval) {
			return nil
		}
	}
}

func (h *LedgerHost) applyPlan(v *LedgerView) error {
	for _, p := range h.allPartitions() {
		select {
		case <-p.group.Done():
			return fmt.Errorf("partition %d: %w", p.number, p.group.Err())
		default:
		}
	}
	if v == nil || v.Plan == nil {
		return nil
	}
	for i, x := range v.Plan.Partitions {
		number := i + 1
		p := h.partition(number)
		if p == nil && !slices.Contains(x.Members, h.config.ID) {
			continue
		}
		if p == nil {
			var founders []string
			if h.config.FirstStart && slices.Contains(x.Founders, h.config.ID) {
				founders = x.Founders
			}
			if err := h.open(number, founders, x.Members); err != nil {
				return err
			}
			p = h.partition(number)
		}
		// The leader may be a host that the plan no longer assigns to the
		// partition.
		p.group.SetJoinPeers(slices.Concat(x.Members, v.Hosts))
		p.group.SetDesiredMembers(x.Members)
	}
	return nil
}

// recordMetrics exports the state of the replicas as gauges.
func (h *LedgerHost) recordMetrics() {
	leads := 0
	for _, p := range h.allPartitions() {
		if requireLeader(p.group) == nil {
			leads++
		}
		s, m := p.group.Status(), h.config.Metrics.Tagged(map[string]string{"partition": fmt.Sprint(p.number)})
		m.Gauge("log-term").Update(float64(s.Term))
		m.Gauge("log-commit").Update(float64(s.Commit))
		m.Gauge("log-members").Update(float64(len(s.Members)))
	}
	h.config.Metrics.Gauge("log-leads").Update(float64(leads))
	h.config.Metrics.Gauge("ledger-disk-bytes").Update(float64(h.diskBytes()))
}

func (h *LedgerHost) partition(number int) *partitionReplica {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.partitions[number]
}

func (h *LedgerHost) allPartitions() []*partitionReplica {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Values(h.partitions))
}

// report returns the state that this host reports to the control hosts.
func (h *LedgerHost) report() *LedgerHostReport {
	r := &LedgerHostReport{Name: h.config.Name, DataCentre: h.config.DataCentre}
	for _, p := range h.allPartitions() {
		r.Partitions = append(r.Partitions, p.report())
	}
	return r
}

func (h *LedgerHost) replicaMessage(_ context.Context, _ string, m replicaMessage) (any, error) {
	if p := h.partition(m.Partition); p != nil {
		p.group.Deliver(m.Message)
	} else if reply, ok := replica.ReplyWithoutReplica(m.Message); ok {
		transport{h.mesh, m.Partition}.Send(reply)
	}
	return nil, nil
}

// proposeTo proposes a command to the log of a partition.
func (h *LedgerHost) proposeTo(ctx context.Context, number int, c ledger.Command) (*partitionReplica, ledger.Result, error) {
	p := h.partition(number)
	if p == nil {
		return nil, ledger.Result{}, control.NewNotLeaderError("")
	}
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	r, err := p.propose(ctx, h.config.Metrics, c)
	return p, r, err
}

func (h *LedgerHost) reserve(ctx context.Context, _ string, r reserveRequest) (turnResponse, error) {
	if refusal := h.checkDisk(r); refusal != nil {
		return turnResponse{Result: ledger.Result{Refusal: refusal}}, nil
	}
	p, result, err := h.proposeTo(ctx, r.Partition, ledger.Command{ReserveTurn: &r.ReserveTurn})
	out := turnResponse{Result: result}
	if err == nil && result.Refusal == nil && r.WantChain && r.Previous != "" {
		out.Chain, err = p.chain(r.Previous)
	}
	return out, err
}

func (h *LedgerHost) settle(ctx context.Context, _ string, r settleRequest) (turnResponse, error) {
	if h.config.DiskBytes > 0 && h.config.MemoryBytes < ampleMemory && r.Keep != nil {
		h.pack(r.Keep)
	}
	_, result, err := h.proposeTo(ctx, r.Partition, ledger.Command{SettleTurn: &r.SettleTurn})
	return turnResponse{Result: result}, err
}

func (h *LedgerHost) extend(ctx context.Context, _ string, r extendRequest) (turnResponse, error) {
	p, result, err := h.proposeTo(ctx, r.Partition, ledger.Command{ExtendTurn: &r.ExtendTurn})
	out := turnResponse{Result: result}
	if err == nil && result.Refusal == nil && !r.OmitChain {
		out.Chain, err = p.chain(r.Turn)
	}
	return out, err
}

func (h *LedgerHost) recordStream(ctx context.Context, _ string, r recordStreamRequest) (streamResponse, error) {
	_, result, err := h.proposeTo(ctx, r.Partition, ledger.Command{RecordStream: &r.RecordStream})
	return streamResponse{Result: result}, err
}

func (h *LedgerHost) lookupStream(ctx context.Context, _ string, r lookupStreamRequest) (streamResponse, error) {
	_, result, err := h.proposeTo(ctx, r.Partition, ledger.Command{LookupStream: &r.LookupStream})
	return streamResponse{Result: result}, err
}

func (h *LedgerHost) recordOutput(ctx context.Context, _ string, r outputRequest) (turnResponse, error) {
	_, result, err := h.proposeTo(ctx, r.Partition, ledger.Command{RecordOutput: &r.RecordOutput})
	return turnResponse{Result: result}, err
}

// SetSeeds replaces the control hosts to contact first.
func (h *LedgerHost) SetSeeds(ids []string) { h.link.SetSeeds(ids) }

// Done returns a channel that is closed when the host has stopped, after Close
// or a failure of a log.
func (h *LedgerHost) Done() <-chan struct{} { return h.done }

// Err returns the failure that stopped a log, or nil.
func (h *LedgerHost) Err() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.err
}

// closePartitions closes all replicas concurrently, since each may wait for a
// replica on another host to become leader, and then the mesh.
func (h *LedgerHost) closePartitions() error {
	var errs []error
	var wait sync.WaitGroup
	var mu sync.Mutex
	for _, p := range h.allPartitions() {
		wait.Go(func() {
			if err := p.group.Close(); err != nil {
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, fmt.Errorf("close partition %d: %w", p.number, err))
			}
		})
	}
	wait.Wait()
	h.mesh.close()
	return errors.Join(errs...)
}

// Close transfers leadership, stops the host and waits for its goroutines.
func (h *LedgerHost) Close() error {
	h.cancel()
	h.wait.Wait()
	h.link.Close()
	err := h.closePartitions()
	h.server.Close()
	return err
}
