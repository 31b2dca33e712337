package cluster

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/control"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/replica"
)

const (
	// planInterval separates two looks at what control hosts plan for the ledger.
	planInterval = 250 * time.Millisecond
	// rpcTimeout bounds a proposal of an entry host, which asks again elsewhere.
	rpcTimeout = 3 * time.Second
)

// LedgerHostConfig is what a host of the ledger needs. Seeds are ids of control
// hosts; Founders are not set.
type LedgerHostConfig struct {
	HostConfig
	Name string // as operators call the host
	// FirstStart is set on the first start of the deployment.
	FirstStart bool
}

// LedgerHost is a host of the ledger. It keeps a copy of the partitions that the
// control hosts plan for it.
type LedgerHost struct {
	config LedgerHostConfig
	logger *zap.Logger
	opts   []replica.Option
	server *control.Server
	mesh   *mesh
	link   *Link

	mu         sync.Mutex
	partitions map[int]*partitionReplica
	err        error

	cancel context.CancelFunc
	wait   sync.WaitGroup
	done   chan struct{}
}

// StartLedgerHost starts a host of the ledger that accepts other hosts on the
// listener. Copies on its disk are opened at once.
func StartLedgerHost(c LedgerHostConfig, listener net.Listener, logger *zap.Logger, opts ...replica.Option) (*LedgerHost, error) {
	c.HostConfig = c.withDefaults()
	k := &LedgerHost{
		config: c, logger: logger, opts: append(groupOptions(logger), opts...), partitions: map[int]*partitionReplica{}, done: make(chan struct{}),
	}
	k.mesh = newMesh(c.peer)
	numbers, err := partitionsOnDisk(c.DataFolder)
	for _, n := range numbers {
		err = errors.Join(err, k.open(n, nil, nil))
	}
	if err != nil {
		return nil, errors.Join(err, k.closePartitions())
	}
	k.link = NewLink(LinkConfig{
		ID: c.ID, DataCentre: c.DataCentre, Seeds: c.Seeds, Key: c.Key, Address: c.Address, Dial: c.Dial, LedgerHostReport: k.report,
	}, logger)
	k.server = control.NewServer(c.Key, control.WithServerLogger(logger))
	control.Handle(k.server, methodPing, ping)
	control.Handle(k.server, methodReplica, k.replicaMessage)
	control.Handle(k.server, methodReserve, k.reserve)
	control.Handle(k.server, methodSettle, k.settle)
	control.Handle(k.server, methodExtend, k.extend)
	k.server.Serve(listener)
	k.link.Start(nil)
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.wait.Go(func() {
		defer close(k.done)
		if err := k.run(ctx); err != nil {
			k.mu.Lock()
			k.err = err
			k.mu.Unlock()
		}
	})
	return k, nil
}

// open starts a copy of a partition. The caller holds no lock.
func (k *LedgerHost) open(number int, founders, members []string) error {
	p, err := openPartition(number, k.config.HostConfig, founders, transport{k.mesh, number}, k.opts...)
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.partitions[number] = p
	k.mu.Unlock()
	k.logger.Info("partition of the ledger opened", zap.Int("partition", number), zap.Strings("founders", founders), zap.Strings("members", members))
	return nil
}

// run follows the plan until the context ends or a log stops.
func (k *LedgerHost) run(ctx context.Context) error {
	var countAt time.Time
	for {
		if err := k.applyPlan(k.link.Ledger()); err != nil {
			return err
		}
		if time.Since(countAt) >= maxGossipInterval {
			countAt = time.Now()
			k.recordMetrics()
		}
		if !pause.For(ctx, planInterval) {
			return nil
		}
	}
}

func (k *LedgerHost) applyPlan(v *LedgerView) error {
	for _, p := range k.allPartitions() {
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
		p := k.partition(number)
		if p == nil && !slices.Contains(x.Members, k.config.ID) {
			continue
		}
		if p == nil {
			var founders []string
			if k.config.FirstStart && slices.Contains(x.Founders, k.config.ID) {
				founders = x.Founders
			}
			if err := k.open(number, founders, x.Members); err != nil {
				return err
			}
			p = k.partition(number)
		}
		// The leader may be a host that is to keep the partition no longer.
		p.group.SetJoinPeers(slices.Concat(x.Members, v.Hosts))
		p.group.SetDesiredMembers(x.Members)
	}
	return nil
}

// recordMetrics shows the state of the copies.
func (k *LedgerHost) recordMetrics() {
	leads := 0
	for _, p := range k.allPartitions() {
		if requireLeader(p.group) == nil {
			leads++
		}
		s, m := p.group.Status(), k.config.Metrics.Tagged(map[string]string{"partition": fmt.Sprint(p.number)})
		m.Gauge("log-term").Update(float64(s.Term))
		m.Gauge("log-commit").Update(float64(s.Commit))
		m.Gauge("log-members").Update(float64(len(s.Members)))
	}
	k.config.Metrics.Gauge("log-leads").Update(float64(leads))
}

func (k *LedgerHost) partition(number int) *partitionReplica {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.partitions[number]
}

func (k *LedgerHost) allPartitions() []*partitionReplica {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Collect(maps.Values(k.partitions))
}

// report describes this host to control hosts.
func (k *LedgerHost) report() *LedgerHostReport {
	r := &LedgerHostReport{Name: k.config.Name, DataCentre: k.config.DataCentre}
	for _, p := range k.allPartitions() {
		r.Partitions = append(r.Partitions, p.report())
	}
	return r
}

func (k *LedgerHost) replicaMessage(_ context.Context, _ string, m replicaMessage) (any, error) {
	if p := k.partition(m.Partition); p != nil {
		p.group.Deliver(m.Message)
	} else if answer, due := replica.ReplyWithoutReplica(m.Message); due {
		transport{k.mesh, m.Partition}.Send(answer)
	}
	return nil, nil
}

// proposeTo carries out a command in the log of a partition.
func (k *LedgerHost) proposeTo(ctx context.Context, number int, c ledger.Command) (*partitionReplica, ledger.Result, error) {
	p := k.partition(number)
	if p == nil {
		return nil, ledger.Result{}, control.NewNotLeaderError("")
	}
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	r, err := p.propose(ctx, k.config.Metrics, c)
	return p, r, err
}

func (k *LedgerHost) reserve(ctx context.Context, _ string, r reserveRequest) (turnResponse, error) {
	p, result, err := k.proposeTo(ctx, r.Partition, ledger.Command{ReserveTurn: &r.ReserveTurn})
	out := turnResponse{Result: result}
	if err == nil && result.Refusal == nil && r.WantChain && r.Previous != "" {
		out.Chain, err = p.state.chain(r.Previous)
	}
	return out, err
}

func (k *LedgerHost) settle(ctx context.Context, _ string, r settleRequest) (turnResponse, error) {
	_, result, err := k.proposeTo(ctx, r.Partition, ledger.Command{SettleTurn: &r.SettleTurn})
	return turnResponse{Result: result}, err
}

func (k *LedgerHost) extend(ctx context.Context, _ string, r extendRequest) (turnResponse, error) {
	p, result, err := k.proposeTo(ctx, r.Partition, ledger.Command{ExtendTurn: &r.ExtendTurn})
	out := turnResponse{Result: result}
	if err == nil && result.Refusal == nil {
		out.Chain, err = p.state.chain(r.Turn)
	}
	return out, err
}

// SetSeeds replaces the control hosts to ask first.
func (k *LedgerHost) SetSeeds(ids []string) { k.link.SetSeeds(ids) }

// Done is closed when the host has stopped, by Close or because a log stopped.
func (k *LedgerHost) Done() <-chan struct{} { return k.done }

// Err returns why a log stopped, or nil.
func (k *LedgerHost) Err() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.err
}

func (k *LedgerHost) closePartitions() error {
	var failures []error
	var wait sync.WaitGroup
	var mu sync.Mutex
	for _, p := range k.allPartitions() {
		wait.Go(func() {
			if err := p.group.Close(); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failures = append(failures, fmt.Errorf("close partition %d: %w", p.number, err))
			}
		})
	}
	wait.Wait()
	k.mesh.close()
	return errors.Join(failures...)
}

// Close hands leadership over, stops and waits.
func (k *LedgerHost) Close() error {
	k.cancel()
	k.wait.Wait()
	k.link.Close()
	err := k.closePartitions()
	k.server.Close()
	return err
}
