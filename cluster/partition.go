package cluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/sycamoreline/sycamoreline/cborwire"
	"github.com/sycamoreline/sycamoreline/control"
	"github.com/sycamoreline/sycamoreline/disk"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/replica"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// partitionFolderPrefix is the prefix of the folder name of a partition, before
// its number.
const partitionFolderPrefix = "partition-"

const (
	// partitionSnapshotEntries and partitionSnapshotBytes limit the log between two
	// snapshots of a partition. The disk of a ledger host holds the log beside the
	// segments, and a replica that was away gets entries from the log only.
	partitionSnapshotEntries = 40_000
	partitionSnapshotBytes   = 16 << 20
	partitionKeptEntries     = 20_000
	// residentLogBytes limits the applied entries of a partition in memory.
	residentLogBytes = 2 << 20
	// ampleMemory is the memory of a host from which on its partitions keep bodies in
	// memory, up to a share each, and the log between two snapshots too: after a loss of
	// power they are in use again sooner than with bodies that a replay writes again.
	ampleMemory = 256 << 20
	// inlineMemoryShare bounds both; a host keeps up to three partitions.
	inlineMemoryShare    = 8
	ampleSnapshotEntries = 20_000
	ampleKeptEntries     = 2_000
)

// storage returns how much of a partition is kept in memory.
func (c HostConfig) storage() (l []ledger.Option, r []replica.Option) {
	if c.MemoryBytes >= ampleMemory {
		return []ledger.Option{ledger.WithInlineBodies(int(c.MemoryBytes / inlineMemoryShare))},
			[]replica.Option{replica.WithSnapshots(ampleSnapshotEntries, c.MemoryBytes/inlineMemoryShare, ampleKeptEntries)}
	}
	return nil, []replica.Option{
		replica.WithSnapshots(partitionSnapshotEntries, partitionSnapshotBytes, partitionKeptEntries), replica.WithResidentLog(residentLogBytes),
	}
}

// partitionsOnDisk returns the numbers of the partitions that have a folder.
func partitionsOnDisk(folder string) ([]int, error) {
	entries, err := os.ReadDir(folder)
	if err != nil && !os.IsNotExist(err) {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	var numbers []int
	for _, e := range entries {
		text, ok := strings.CutPrefix(e.Name(), partitionFolderPrefix)
		if n, err := strconv.Atoi(text); ok && err == nil && n > 0 {
			numbers = append(numbers, n)
		}
	}
	return numbers, nil
}

// partitionReplica is the replica of a ledger partition on this host.
type partitionReplica struct {
	number  int
	opened  time.Time
	clockID uint64 // of the clock that counts from opened
	group   *replica.Group
	state   *partitionState
}

// openPartition opens a replica. founders is set on the first start of the
// deployment; without it, the replica resumes from its folder or joins the
// group.
func openPartition(number int, c HostConfig, founders []string, t replica.Transport, opts ...replica.Option) (*partitionReplica, error) {
	ledgerOptions, replicaOptions := c.storage()
	p := &partitionReplica{
		number: number, opened: time.Now(), clockID: rand.Uint64(),
		state: &partitionState{ledger: ledger.New(), options: ledgerOptions},
	}
	opts = append(replicaOptions, opts...)
	var err error
	p.group, err = replica.Open(replica.Config{
		ID: c.ID, Peers: founders, Open: true, Dir: filepath.Join(c.DataFolder, partitionFolderPrefix+strconv.Itoa(number)),
	}, p.state, t, opts...)
	if err != nil {
		return nil, fmt.Errorf("partition %d: %w", number, err)
	}
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	p.state.fail = p.group.Fail
	return p, nil
}

// chain returns the conversation up to a turn. A replica with a damaged body stops,
// and joins the group anew when its host has started again.
func (p *partitionReplica) chain(turn string) ([]byte, error) {
	chain, err := p.state.chain(turn)
	if err := p.state.bodyError(); err != nil {
		if errors.Is(err, disk.ErrExpired) {
			// The segment was emptied although the turn is live, so a restart does not help.
			err = fmt.Errorf("%w: turn %q is in use: %w", disk.ErrDamaged, turn, err)
		}
		p.group.Fail(err)
		return nil, verdict.New(verdict.NotRun, verdict.ControlUnavailable, "the conversation cannot be read on this host", verdict.WithCause(err))
	}
	return chain, err
}

// propose proposes a command to the log and returns its result.
func (p *partitionReplica) propose(ctx context.Context, m tally.Scope, c ledger.Command) (ledger.Result, error) {
	if err := requireLeader(p.group); err != nil {
		return ledger.Result{}, err
	}
	c.SteadyTime = &ledger.SteadyTime{Source: p.clockID, Millis: time.Since(p.opened).Milliseconds()}
	data, err := timedPropose(ctx, m, p.group, cborwire.MustMarshal(c))
	if err != nil {
		return ledger.Result{}, err
	}
	var r ledger.Result
	if err := cborwire.Unmarshal(data, &r); err != nil {
		return ledger.Result{}, verdict.New(verdict.MayHaveRun, verdict.Internal, "ledger result cannot be decoded", verdict.WithCause(err))
	}
	return r, nil
}

// report returns the state of the replica.
func (p *partitionReplica) report() PartitionReport {
	s := p.group.Status()
	r := PartitionReport{Partition: p.number, Term: s.Term}
	r.Leader, _ = p.group.Leader()
	for _, m := range s.Members {
		if s.MembersCommitted {
			r.Members = append(r.Members, m.ID)
		}
	}
	return r
}

// requireLeader returns an error unless the replica leads its group.
func requireLeader(g *replica.Group) error {
	if _, ok := g.Leading(); ok {
		return nil
	}
	leader, _ := g.Leader()
	if leader == g.Status().ID {
		leader = "" // a caller must not be redirected to this host
	}
	return control.NewNotLeaderError(leader)
}

// partitionState is the state machine of a partition's log.
type partitionState struct {
	mu     sync.RWMutex
	ledger *ledger.StateMachine
	bodies *segmentBodies // or nil
	fail   func(error)    // stops the replica; nil until it is open
	// options are those of the ledger, without its bodies.
	options []ledger.Option
}

// UseSegments implements replica.SegmentUser.
func (s *partitionState) UseSegments(segments *disk.Segments) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bodies = &segmentBodies{segments: segments}
	s.ledger = ledger.New(append(s.options, ledger.WithBodies(s.bodies))...)
}

// bodyError returns why a body in use could not be read, or nil.
func (s *partitionState) bodyError() error {
	if s.bodies == nil {
		return nil
	}
	if err := s.bodies.failure.Load(); err != nil {
		return *err
	}
	return nil
}

// Apply implements replica.StateMachine.
func (s *partitionState) Apply(_ uint64, unixMillis int64, data []byte) []byte {
	var c ledger.Command
	if err := cborwire.Unmarshal(data, &c); err != nil {
		return cborwire.MustMarshal(ledger.Result{Refusal: &ledger.Refusal{Verdict: verdict.NotRun, Reason: verdict.BadRequest, Message: err.Error()}})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.ledger.ApplyCommand(unixMillis, c)
	if err := s.bodyError(); err != nil && s.fail != nil {
		s.fail(err)
	}
	return cborwire.MustMarshal(result)
}

// chain returns the conversation up to a turn.
func (s *partitionState) chain(turn string) ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	chain, ok := s.ledger.Chain(turn)
	if !ok {
		return nil, verdict.Newf(verdict.NotRun, verdict.Internal, "turn %q: part of its conversation is missing", turn)
	}
	return chain, nil
}

// Snapshot implements replica.StateMachine.
func (s *partitionState) Snapshot(w io.Writer) error { return s.Capture()(w) }

// Capture implements replica.Capturer.
func (s *partitionState) Capture() func(io.Writer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Capture()
}

// Restore implements replica.StateMachine.
func (s *partitionState) Restore(r io.Reader) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Restore(r)
}
