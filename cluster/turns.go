package cluster

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sycamoreline/sycamoreline/control"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	// attemptTimeout bounds one request to a leader, so that a host that was cut
	// off silently does not use up the caller's time.
	attemptTimeout = 1200 * time.Millisecond
	// leaderRetryDelay separates two requests to a leader.
	leaderRetryDelay = 30 * time.Millisecond
)

// TurnRequest asks for a turn to be run.
type TurnRequest struct {
	ledger.ReserveTurn
	// WantChain asks for the conversation up to the previous turn.
	WantChain bool
	// Retention is how long the turn will be kept. A conversation in another
	// partition is kept at least as long.
	Retention time.Duration
}

// Reservation is what is known of a turn that may run.
type Reservation struct {
	Chain      []byte // the conversation before it, if that was wanted
	LastServer string // ran the last turn of the line; empty if none is known
	// OtherPartition is set if the conversation is kept in another partition. Chain
	// is set then, and must be kept with the turn.
	OtherPartition bool
}

// partitionLeader is the leader of a partition as far as it is known.
type partitionLeader struct {
	id   string
	term uint64
}

// Reserve sets aside the tokens of a turn, and returns the conversation that it
// continues if that is wanted. Errors carry a verdict about the reservation: it
// is NotRun when nothing was reserved.
func (l *Link) Reserve(ctx context.Context, t TurnRequest) (Reservation, error) {
	v, err := l.reserve(ctx, t)
	if t.Previous == "" || !isUnknownTurn(err) {
		return v, err
	}
	// Another program may have run the turn.
	chain, err := l.findChain(ctx, t)
	if err != nil {
		return Reservation{}, err
	}
	t.Previous = ""
	v, err = l.reserve(ctx, t)
	v.Chain, v.OtherPartition = chain, true
	return v, err
}

func (l *Link) reserve(ctx context.Context, t TurnRequest) (Reservation, error) {
	var out turnResponse
	err := l.callProgram(ctx, t.Program, methodReserve, func(partition int) any {
		return reserveRequest{Partition: partition, ReserveTurn: t.ReserveTurn, WantChain: t.WantChain}
	}, &out)
	if err != nil {
		return Reservation{}, err
	}
	v := Reservation{Chain: out.Chain}
	if out.Result.Turn != nil {
		v.LastServer = out.Result.Turn.LastServer
	}
	return v, refusalError(out.Result.Refusal)
}

// findChain asks all partitions but the program's own one for the conversation
// up to a turn. That no such turn exists is certain only if all say so.
func (l *Link) findChain(ctx context.Context, t TurnRequest) ([]byte, error) {
	unknown := verdict.Newf(verdict.NotRun, ledger.UnknownTurn, "turn %q does not exist or has expired", t.Previous)
	count, err := l.partitionCount()
	if err != nil {
		return nil, err
	}
	own := ledger.GroupOf(t.Program, count)
	type answer struct {
		turnResponse
		err error
	}
	answers := make(chan answer, count)
	for n := 1; n <= count; n++ {
		if n == own {
			continue
		}
		go func() {
			var a answer
			a.err = l.callLeader(ctx, n, methodExtend, extendRequest{
				Partition: n, ExtendTurn: ledger.ExtendTurn{Turn: t.Previous, Retention: t.Retention.Milliseconds()},
			}, &a.turnResponse)
			if a.err == nil {
				a.err = refusalError(a.Result.Refusal)
			}
			answers <- a
		}()
	}
	var failure error
	for range count - 1 {
		a := <-answers
		switch {
		case a.err == nil:
			return a.Chain, nil
		case !isUnknownTurn(a.err):
			failure = a.err
		}
	}
	if failure != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ControlUnavailable, "not all partitions of the ledger could be asked for a turn", verdict.WithCause(failure))
	}
	return nil, unknown
}

// isUnknownTurn returns whether a partition is certain not to keep a turn.
func isUnknownTurn(err error) bool {
	return err != nil && verdict.From(err).Reason() == ledger.UnknownTurn
}

// Settle replaces the reservation of a turn by what was used, and keeps the
// turn if others may continue it.
func (l *Link) Settle(ctx context.Context, t ledger.SettleTurn) error {
	var out turnResponse
	err := l.callProgram(ctx, t.Program, methodSettle, func(partition int) any {
		return settleRequest{Partition: partition, SettleTurn: t}
	}, &out)
	if err != nil {
		return err
	}
	return refusalError(out.Result.Refusal)
}

func refusalError(r *ledger.Refusal) error {
	if r == nil {
		return nil
	}
	return verdict.New(r.Verdict, r.Reason, r.Message)
}

// partitionCount returns the number of partitions, which never changes.
func (l *Link) partitionCount() (int, error) {
	v := l.ledger.Load()
	if v == nil || v.Plan == nil || len(v.Plan.Partitions) == 0 {
		return 0, verdict.New(verdict.NotRun, verdict.ControlUnavailable, "no control host has named the hosts of the ledger yet")
	}
	return len(v.Plan.Partitions), nil
}

// callProgram calls the leader of a program's partition, once the partitions
// are known.
func (l *Link) callProgram(ctx context.Context, program, method string, params func(partition int) any, result any) error {
	for {
		count, err := l.partitionCount()
		if err == nil {
			n := ledger.GroupOf(program, count)
			return l.callLeader(ctx, n, method, params(n), result)
		}
		if !pause.For(ctx, leaderRetryDelay) {
			return err
		}
	}
}

// callLeader tries the hosts of a partition until the leader answers or the
// context ends. The commands may be applied twice.
func (l *Link) callLeader(ctx context.Context, partition int, method string, params, result any) error {
	sent := false
	hint := l.leader(partition)
	tried := map[string]bool{}
	var last error
	for {
		id, peer := l.nextHost(partition, hint, tried)
		if peer == nil {
			clear(tried)
		} else {
			tried[id] = true
			err := l.callHost(ctx, peer, method, params, result)
			if err == nil {
				l.setLeader(partition, id)
				return nil
			}
			last = err
			var notLeader *control.NotLeaderError
			if errors.As(err, &notLeader) {
				hint = notLeader.Leader()
				if hint != "" && !tried[hint] {
					continue
				}
			} else {
				sent = sent || !control.Unsent(err) && verdict.Of(err) != verdict.NotRun
				hint = ""
			}
		}
		if !pause.For(ctx, leaderRetryDelay) {
			v := verdict.NotRun
			if sent {
				v = verdict.MayHaveRun
			}
			return verdict.New(v, verdict.ControlUnavailable, fmt.Sprintf("no host answered as leader of partition %d in time", partition), verdict.WithCause(last))
		}
	}
}

func (l *Link) callHost(ctx context.Context, p *control.Peer, method string, params, result any) error {
	attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	err := p.Call(attempt, method, params, result)
	if err != nil && attempt.Err() != nil && ctx.Err() == nil {
		p.Reset()
	}
	return err
}

func (l *Link) leader(partition int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaders[partition].id
}

func (l *Link) setLeader(partition int, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.leaders[partition]
	p.id = id
	l.leaders[partition] = p
}

// nextHost returns the host to ask next: the hinted one, or one that is to
// keep the partition and was not tried yet.
func (l *Link) nextHost(partition int, hint string, tried map[string]bool) (string, *control.Peer) {
	members := l.members(partition)
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.ledgerHosts[hint]; p != nil && !tried[hint] {
		return hint, p
	}
	for _, id := range members {
		if p := l.ledgerHosts[id]; p != nil && !tried[id] {
			return id, p
		}
	}
	return "", nil
}

func (l *Link) members(partition int) []string {
	v := l.ledger.Load()
	if v == nil || v.Plan == nil || partition > len(v.Plan.Partitions) {
		return nil
	}
	return v.Plan.Partitions[partition-1].Members
}

// applyLedgerView takes in what a control host knows of the ledger. The caller holds
// the lock.
func (l *Link) applyLedgerView(v LedgerView) {
	if old := l.ledger.Load(); old != nil {
		if v.Plan == nil || old.Plan != nil && v.Plan.Version < old.Plan.Version {
			v.Plan = old.Plan
		}
		if len(v.Hosts) == 0 {
			v.Hosts = old.Hosts
		}
	}
	l.ledger.Store(&v)
	for _, x := range v.Leaders {
		if x.Leader != "" && x.Term > l.leaders[x.Partition].term {
			l.leaders[x.Partition] = partitionLeader{x.Leader, x.Term}
		}
	}
	if l.config.LedgerHostReport != nil {
		return
	}
	hosts := map[string]bool{}
	for _, id := range v.Hosts {
		hosts[id] = true
	}
	if v.Plan != nil {
		for _, x := range v.Plan.Partitions {
			for _, id := range x.Members {
				hosts[id] = true
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(hosts)) {
		if l.ledgerHosts[id] == nil {
			l.ledgerHosts[id] = control.NewPeer(id, l.config.Address(id), l.config.ID, l.config.Key, nil, l.config.Dial)
		}
	}
}
