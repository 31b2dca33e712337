package cluster

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sycamoreline/sycamoreline/control"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// TurnRequest requests the reservation of a turn.
type TurnRequest struct {
	ledger.ReserveTurn
	// WantChain requests the conversation up to the previous turn.
	WantChain bool
	elsewhere bool // the previous turn is in another partition
}

// Reservation describes a reserved turn.
type Reservation struct {
	Chain      []byte // the conversation before the turn, if requested
	LastServer string // server of the last turn of the session, or else of the program; empty if unknown
	// OtherPartition is set if the conversation is kept in another partition.
	// Chain is set then, and must be stored with the turn.
	OtherPartition bool
	// Resumed is the record of the stream that the turn takes up, or the zero value
	// if it takes up none.
	Resumed StreamVersion
	// Output is the output of the stream up to the event after which the turn takes
	// it up, and OutputEvents the number of its events.
	Output       []byte
	OutputEvents int
}

// StreamKey identifies a stream. Its record is kept in the partition of the
// program or, if the stream belongs to none, in that of the stream.
type StreamKey struct {
	Program string // may be empty
	Stream  string // id of the request that the stream answers
}

// StreamVersion is the service and the software version of the backend server
// that began a stream. Known is false if the ledger has no record of it. A known
// version may be empty, since servers need not name one.
type StreamVersion struct {
	Service string
	Version string
	Known   bool
}

// partitionLeader is the last known leader of a partition.
type partitionLeader struct {
	id   string
	term uint64
}

// Reserve reserves the tokens of a turn. If requested, it returns the
// conversation that the turn continues. The verdict of an error is about the
// reservation: it is NotRun when nothing was reserved.
func (l *Link) Reserve(ctx context.Context, t TurnRequest) (Reservation, error) {
	r, err := l.reserve(ctx, t)
	if t.Previous == "" || !isUnknownTurn(err) {
		return r, err
	}
	// The previous turn may belong to a program in another partition.
	chain, err := l.findChain(ctx, t)
	if err != nil {
		return Reservation{}, err
	}
	t.Previous, t.elsewhere = "", true
	r, err = l.reserve(ctx, t)
	r.Chain, r.OtherPartition = chain, true
	return r, err
}

func (l *Link) reserve(ctx context.Context, t TurnRequest) (Reservation, error) {
	var out turnResponse
	err := l.callProgramLeader(ctx, t.Program, methodReserve, func(partition int) any {
		return reserveRequest{Partition: partition, ReserveTurn: t.ReserveTurn, WantChain: t.WantChain, Elsewhere: t.elsewhere}
	}, &out)
	if err != nil {
		return Reservation{}, err
	}
	r := Reservation{Chain: out.Chain}
	if out.Result.Turn != nil {
		r.LastServer = out.Result.Turn.LastServer
		r.Resumed = streamVersion(out.Result.Turn.Resumed)
		r.Output, r.OutputEvents = out.Result.Turn.Output, out.Result.Turn.OutputEvents
	}
	return r, refusalError(out.Result.Refusal)
}

// findChain queries all partitions but the program's own for the conversation
// up to the previous turn, and extends its retention there. The turn is reported
// as unknown only if every partition reports it as unknown.
func (l *Link) findChain(ctx context.Context, t TurnRequest) ([]byte, error) {
	unknown := verdict.Newf(verdict.NotRun, ledger.UnknownTurn, "turn %q does not exist or has expired", t.Previous)
	count, err := l.partitionCount()
	if err != nil {
		return nil, err
	}
	own := ledger.GroupOf(t.Program, count)
	type response struct {
		turnResponse
		err error
	}
	responses := make(chan response, count)
	for n := 1; n <= count; n++ {
		if n == own {
			continue
		}
		go func() {
			var r response
			r.err = l.callLeader(ctx, n, methodExtend, extendRequest{
				Partition: n, ExtendTurn: ledger.ExtendTurn{Turn: t.Previous, Retention: t.Retention},
			}, &r.turnResponse)
			if r.err == nil {
				r.err = refusalError(r.Result.Refusal)
			}
			responses <- r
		}()
	}
	var lastErr error
	for range count - 1 {
		r := <-responses
		switch {
		case r.err == nil:
			return r.Chain, nil
		case !isUnknownTurn(r.err):
			lastErr = r.err
		}
	}
	if lastErr != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ControlUnavailable, "turn not found, and not all ledger partitions answered", verdict.WithCause(lastErr))
	}
	return nil, unknown
}

// isUnknownTurn returns whether an error proves that the partition does not
// hold the turn.
func isUnknownTurn(err error) bool {
	return err != nil && verdict.From(err).Reason() == ledger.UnknownTurn
}

// Settle replaces the reservation of a turn by its actual usage, and stores the
// turn if other turns may continue it.
func (l *Link) Settle(ctx context.Context, t ledger.SettleTurn) error {
	var out turnResponse
	err := l.callProgramLeader(ctx, t.Program, methodSettle, func(partition int) any {
		return settleRequest{Partition: partition, SettleTurn: t}
	}, &out)
	if err != nil {
		return err
	}
	return refusalError(out.Result.Refusal)
}

// Extend keeps a recorded turn of a program, and the conversation before it, for
// at least the retention from now on.
func (l *Link) Extend(ctx context.Context, program, turn string, retention time.Duration) error {
	var out turnResponse
	err := l.callProgramLeader(ctx, program, methodExtend, func(partition int) any {
		return extendRequest{
			Partition: partition, ExtendTurn: ledger.ExtendTurn{Turn: turn, Retention: retention.Milliseconds()}, OmitChain: true,
		}
	}, &out)
	if err != nil {
		return err
	}
	return refusalError(out.Result.Refusal)
}

// RecordOutput records events of a turn of a program. The verdict of an error is
// about the record.
func (l *Link) RecordOutput(ctx context.Context, program string, c ledger.RecordOutput) error {
	var out turnResponse
	err := l.callProgramLeader(ctx, program, methodOutput, func(partition int) any {
		return outputRequest{Partition: partition, RecordOutput: c}
	}, &out)
	if err != nil {
		return err
	}
	return refusalError(out.Result.Refusal)
}

// RecordStream records the service and the software version of the backend server
// that begins a stream, for at least the retention. A record of a lower attempt than the current
// one does not replace the version. The verdict of an error is about the record.
func (l *Link) RecordStream(ctx context.Context, k StreamKey, service, version string, attempt int, retention time.Duration) error {
	var out streamResponse
	err := l.callProgramLeader(ctx, k.partitionKey(), methodRecord, func(partition int) any {
		return recordStreamRequest{
			Partition: partition,
			RecordStream: ledger.RecordStream{
				Stream: k.Stream, Service: service, Version: version, Attempt: attempt, Retention: retention.Milliseconds(),
			},
		}
	}, &out)
	if err != nil {
		return err
	}
	return refusalError(out.Result.Refusal)
}

// LookupStream returns the record of a stream. The key must name the same
// program as that of the record.
func (l *Link) LookupStream(ctx context.Context, k StreamKey) (StreamVersion, error) {
	var out streamResponse
	err := l.callProgramLeader(ctx, k.partitionKey(), methodLookup, func(partition int) any {
		return lookupStreamRequest{Partition: partition, LookupStream: ledger.LookupStream{Stream: k.Stream}}
	}, &out)
	if err != nil {
		return StreamVersion{}, err
	}
	return streamVersion(out.Result.Stream), refusalError(out.Result.Refusal)
}

// partitionKey returns the id whose hash determines the partition of a stream.
func (k StreamKey) partitionKey() string {
	if k.Program == "" {
		return k.Stream
	}
	return k.Program
}

func streamVersion(s *ledger.StreamState) StreamVersion {
	if s == nil {
		return StreamVersion{}
	}
	return StreamVersion{Service: s.Service, Version: s.Version, Known: s.Known}
}

func refusalError(r *ledger.Refusal) error {
	if r == nil {
		return nil
	}
	return verdict.New(r.Verdict, r.Reason, r.Message, verdict.WithRetryAfter(time.Duration(r.RetryAfter)*time.Millisecond))
}

// partitionCount returns the number of partitions, which never changes.
func (l *Link) partitionCount() (int, error) {
	v := l.ledger.Load()
	if v == nil || v.Plan == nil || len(v.Plan.Partitions) == 0 {
		return 0, verdict.New(verdict.NotRun, verdict.ControlUnavailable, "no ledger plan received from a control host yet")
	}
	return len(v.Plan.Partitions), nil
}

// callProgramLeader calls the leader of the partition of a program, or of a
// stream that belongs to none. It waits for the ledger plan first.
func (l *Link) callProgramLeader(ctx context.Context, program, method string, params func(partition int) any, result any) error {
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

func (l *Link) members(partition int) []string {
	v := l.ledger.Load()
	if v == nil || v.Plan == nil || partition > len(v.Plan.Partitions) {
		return nil
	}
	return v.Plan.Partitions[partition-1].Members
}

// applyLedgerView merges the view of the ledger hosts that a control host has
// returned into that of the link. The caller holds l.mu.
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
