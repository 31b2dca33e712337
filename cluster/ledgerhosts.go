package cluster

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/cborwire"
	"github.com/sycamoreline/sycamoreline/strictjson"
	"github.com/sycamoreline/sycamoreline/tree"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	planPath     = "/ledger/plan"
	retiringPath = "/ledger/retiring/" // followed by the id of a host
	// stableAfter is the time without a new ledger host after which the first
	// plan is made from the known ones. All hosts of a deployment start within
	// a fraction of a second.
	stableAfter = 1500 * time.Millisecond
	// ledgerHostTTL is how long the last report of a ledger host is kept.
	ledgerHostTTL = 20 * time.Second
	// reportMaxAge is the report age from which a ledger host counts as
	// unavailable. Hosts report about every syncInterval or more often.
	reportMaxAge = 3 * time.Second
	// proposeTimeout bounds the proposal of a ledger plan or of a retirement.
	proposeTimeout = 3 * time.Second
)

// Reasons for rejecting the retirement of a host.
const (
	UnknownHost verdict.Reason = "unknown-host"
	TooFewHosts verdict.Reason = "too-few-hosts"
)

// ledgerHosts holds the last report of each ledger host. It is not safe for
// concurrent use.
type ledgerHosts struct {
	reports    map[string]ledgerHostRecord
	lastJoined time.Duration // time of the first report of the newest host
	// cached is the view of the reports, and nil if they have changed since.
	cached *LedgerView
	digest uint64 // of the cached view
}

type ledgerHostRecord struct {
	LedgerHostReport
	reportedAt time.Duration
}

func newLedgerHosts() *ledgerHosts { return &ledgerHosts{reports: map[string]ledgerHostRecord{}} }

func (l *ledgerHosts) report(now time.Duration, id string, r LedgerHostReport) {
	before, ok := l.reports[id]
	if !ok {
		l.lastJoined = now
	}
	if !ok || !slices.EqualFunc(before.Partitions, r.Partitions, samePartitionLeader) {
		l.cached = nil
	}
	l.reports[id] = ledgerHostRecord{r, now}
}

func samePartitionLeader(a, b PartitionReport) bool {
	return a.Partition == b.Partition && a.Leader == b.Leader && a.Term == b.Term
}

func (l *ledgerHosts) expire(now time.Duration) {
	maps.DeleteFunc(l.reports, func(_ string, r ledgerHostRecord) bool {
		expired := now-r.reportedAt > ledgerHostTTL
		if expired {
			l.cached = nil
		}
		return expired
	})
}

// view returns the state of the ledger hosts and its digest, which is not 0. The
// view must not be modified.
func (l *ledgerHosts) view() (LedgerView, uint64) {
	if l.cached == nil {
		v := l.newView()
		l.cached, l.digest = &v, max(1, xxhash.Sum64(cborwire.MustMarshal(v)))
	}
	return *l.cached, l.digest
}

func (l *ledgerHosts) newView() LedgerView {
	v := LedgerView{Hosts: slices.Sorted(maps.Keys(l.reports))}
	newest := map[int]PartitionReport{}
	for _, r := range l.reports {
		for _, p := range r.Partitions {
			if p.Leader != "" && p.Term > newest[p.Partition].Term {
				newest[p.Partition] = PartitionReport{Partition: p.Partition, Leader: p.Leader, Term: p.Term}
			}
		}
	}
	for _, n := range slices.Sorted(maps.Keys(newest)) {
		v.Leaders = append(v.Leaders, newest[n])
	}
	return v
}

// states returns the state of all hosts for planning, sorted by id.
func (l *ledgerHosts) states(now time.Duration, retiring []string) []ledgerHostState {
	var out []ledgerHostState
	for _, id := range slices.Sorted(maps.Keys(l.reports)) {
		r := l.reports[id]
		out = append(out, ledgerHostState{id: id, dataCentre: r.DataCentre, reportAge: now - r.reportedAt, retiring: slices.Contains(retiring, id)})
	}
	return out
}

// stable returns whether there are hosts and the newest one has been known for
// stableAfter.
func (l *ledgerHosts) stable(now time.Duration) bool {
	return len(l.reports) > 0 && now-l.lastJoined >= stableAfter
}

// byName returns the id of the host with the given name, and false if there is
// none.
func (l *ledgerHosts) byName(name string) (string, bool) {
	for id, r := range l.reports {
		if r.Name == name {
			return id, true
		}
	}
	return "", false
}

// members returns the members of a partition, as last reported by its leader.
// It returns nil without such a report and while a membership change is
// uncommitted.
func (l *ledgerHosts) members(partition int) []string {
	view, _ := l.view()
	for _, leader := range view.Leaders {
		if leader.Partition != partition {
			continue
		}
		for _, p := range l.reports[leader.Leader].Partitions {
			if p.Partition == partition && p.Term == leader.Term {
				return p.Members
			}
		}
	}
	return nil
}

// remaining counts the hosts that have reported recently and are not retiring.
func (l *ledgerHosts) remaining(now time.Duration, retiring []string) int {
	n := 0
	for _, h := range l.states(now, retiring) {
		if h.usable() {
			n++
		}
	}
	return n
}

// planLedger writes the first ledger plan once the set of ledger hosts is
// stable, and later ones when hosts join, fail or retire.
func (h *Host) planLedger(ctx context.Context) {
	if h.requireLeader() != nil {
		return
	}
	plan, version, retiring := h.state.plan()
	now := h.now()
	h.mu.Lock()
	hosts, stable := h.ledgerHosts.states(now, retiring), h.ledgerHosts.stable(now)
	h.mu.Unlock()
	var next Plan
	switch {
	case plan == nil && stable:
		next = newPlan(hosts, h.config.replicationFactor())
	case plan == nil || now < replaceAfter+reportMaxAge:
		return // too soon after the start: hosts may not have reported yet
	default:
		var changed bool
		if next, changed = plan.next(hosts, h.config.replicationFactor()); !changed {
			return
		}
	}
	if err := h.proposeWrite(ctx, planPath, next, version); err != nil {
		h.logger.Warn("ledger plan not written", zap.Error(err))
		return
	}
	h.logger.Info("ledger plan changed", zap.Int64("version", next.Version), zap.Any("partitions", next.Partitions), zap.Strings("retiring", retiring))
}

// proposeWrite proposes to set a path that has the given version. A version
// conflict is not an error.
func (h *Host) proposeWrite(ctx context.Context, path string, value any, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	change := tree.Change{
		ChangeID: "set-" + strconv.FormatUint(rand.Uint64(), 36),
		Writes:   []tree.Write{{Path: path, Value: strictjson.Encode(value), IfVersion: version}},
	}
	o, err := h.proposeChange(ctx, change)
	if err != nil {
		return err
	}
	if !o.Applied && o.Reason != verdict.Conflict {
		return verdict.New(verdict.NotRun, o.Reason, o.Message)
	}
	return nil
}

// Retire starts to move all partitions off a ledger host. On a host that is not
// the leader, the error is a *control.NotLeaderError.
func (h *Host) Retire(ctx context.Context, name string) error {
	if err := h.requireLeader(); err != nil {
		return err
	}
	_, _, retiring := h.state.plan()
	h.mu.Lock()
	id, found := h.ledgerHosts.byName(name)
	remaining := h.ledgerHosts.remaining(h.now(), append(retiring, id))
	h.mu.Unlock()
	if !found {
		return verdict.Newf(verdict.NotRun, UnknownHost, "no ledger host is named %q", name)
	}
	if slices.Contains(retiring, id) {
		return nil
	}
	if need := h.config.replicationFactor(); remaining < need {
		return verdict.Newf(verdict.NotRun, TooFewHosts, "%d ledger hosts would remain, but %d are needed to tolerate the failure of %d", remaining, need, h.config.ToleratedLosses)
	}
	if err := h.proposeWrite(ctx, retiringPath+id, name, 0); err != nil {
		return err
	}
	h.logger.Info("ledger host is retiring", zap.String("name", name), zap.String("id", id), zap.Int("remaining", remaining))
	return nil
}

// Retired returns whether a retiring host no longer holds any partition.
func (h *Host) Retired(ctx context.Context, name string) (bool, error) {
	if err := h.requireLeader(); err != nil {
		return false, err
	}
	if err := h.group.Read(ctx); err != nil {
		return false, err
	}
	plan, _, retiring := h.state.plan()
	h.mu.Lock()
	defer h.mu.Unlock()
	id, found := h.ledgerHosts.byName(name)
	if !found {
		return false, verdict.Newf(verdict.NotRun, UnknownHost, "no ledger host is named %q", name)
	}
	return plan != nil && slices.Contains(retiring, id) && h.ledgerHosts.emptied(*plan, id), nil
}

// emptied returns whether a host is neither assigned to a partition nor a
// member of one. A host that is not a member may still join a partition that
// the plan assigns to it. While the members of a partition are unknown, emptied
// returns false.
func (l *ledgerHosts) emptied(p Plan, id string) bool {
	for i, x := range p.Partitions {
		members := l.members(i + 1)
		if len(members) == 0 || slices.Contains(members, id) || slices.Contains(x.Members, id) {
			return false
		}
	}
	return true
}
