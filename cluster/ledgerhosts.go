package cluster

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/strictjson"
	"github.com/sycamoreline/sycamoreline/tree"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	planPath     = "/ledger/plan"
	retiringPath = "/ledger/retiring/" // and the id of a host
	// stableAfter is the time without a new host of the ledger after which
	// those that are known form its group. All hosts of a deployment start
	// within a fraction of a second.
	stableAfter = 1500 * time.Millisecond
	// ledgerHostTTL is how long a host of the ledger is remembered that is
	// silent.
	ledgerHostTTL = 20 * time.Second
	// reportMaxAge is how long the report of a host of the ledger counts. Hosts
	// report several times a second.
	reportMaxAge = 3 * time.Second
	// proposeTimeout bounds what a control host proposes on its own.
	proposeTimeout = 3 * time.Second
)

// Reasons to refuse to retire a host.
const (
	UnknownHost verdict.Reason = "unknown-host"
	TooFewHosts verdict.Reason = "too-few-hosts"
)

// ledgerHosts are the hosts of the ledger as one control host knows them. It is
// not safe for concurrent use.
type ledgerHosts struct {
	reports map[string]ledgerHostRecord
	lastJoined   time.Duration // when the last new one was heard of
}

type ledgerHostRecord struct {
	LedgerHostReport
	at time.Duration
}

func newLedgerHosts() *ledgerHosts { return &ledgerHosts{reports: map[string]ledgerHostRecord{}} }

func (l *ledgerHosts) report(now time.Duration, id string, r LedgerHostReport) {
	if _, ok := l.reports[id]; !ok {
		l.lastJoined = now
	}
	l.reports[id] = ledgerHostRecord{r, now}
}

func (l *ledgerHosts) expire(now time.Duration) {
	maps.DeleteFunc(l.reports, func(_ string, r ledgerHostRecord) bool { return now-r.at > ledgerHostTTL })
}

func (l *ledgerHosts) view() LedgerView {
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

// states returns the hosts for the plan, in order.
func (l *ledgerHosts) states(now time.Duration, retiring []string) []ledgerHostState {
	var out []ledgerHostState
	for _, id := range slices.Sorted(maps.Keys(l.reports)) {
		r := l.reports[id]
		out = append(out, ledgerHostState{id: id, dataCentre: r.DataCentre, reportAge: now - r.at, retiring: slices.Contains(retiring, id)})
	}
	return out
}

// stable returns whether hosts are known and no new one has come for a while.
func (l *ledgerHosts) stable(now time.Duration) bool {
	return len(l.reports) > 0 && now-l.lastJoined >= stableAfter
}

// byName returns the id of a host.
func (l *ledgerHosts) byName(name string) (string, bool) {
	for id, r := range l.reports {
		if r.Name == name {
			return id, true
		}
	}
	return "", false
}

// members returns the members of a partition as its leader sees them; nothing
// while that is not known.
func (l *ledgerHosts) members(partition int) []string {
	for _, leader := range l.view().Leaders {
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

// remaining counts the hosts that answer and are not retiring.
func (l *ledgerHosts) remaining(now time.Duration, retiring []string) int {
	n := 0
	for _, k := range l.states(now, retiring) {
		if k.usable() {
			n++
		}
	}
	return n
}

// planLedger writes the first plan of the ledger once all hosts are known, and
// later ones when hosts come and go.
func (h *Host) planLedger(ctx context.Context) {
	if h.requireLeader() != nil {
		return
	}
	plan, version, retiring := h.state.plan()
	now := h.now()
	h.mu.Lock()
	hosts, calm := h.ledgerHosts.states(now, retiring), h.ledgerHosts.stable(now)
	h.mu.Unlock()
	var next Plan
	switch {
	case plan == nil && calm:
		next = newPlan(hosts, h.config.replicationFactor())
	case plan == nil || now < replaceAfter+reportMaxAge:
		return // too early to tell who is silent
	default:
		var changed bool
		if next, changed = plan.next(hosts, h.config.replicationFactor()); !changed {
			return
		}
	}
	if err := h.proposeWrite(ctx, planPath, next, version); err != nil {
		h.logger.Warn("plan of the ledger not recorded", zap.Error(err))
		return
	}
	h.logger.Info("plan of the ledger changed", zap.Int64("version", next.Version), zap.Any("partitions", next.Partitions), zap.Strings("retiring", retiring))
}

// proposeWrite sets a path, unless its version is another one.
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

// Retire asks for a host of the ledger to be emptied. On a host that does not
// lead, the error is a *control.NotLeaderError.
func (h *Host) Retire(ctx context.Context, name string) error {
	if err := h.requireLeader(); err != nil {
		return err
	}
	_, _, retiring := h.state.plan()
	h.mu.Lock()
	id, known := h.ledgerHosts.byName(name)
	remaining := h.ledgerHosts.remaining(h.now(), append(retiring, id))
	h.mu.Unlock()
	if !known {
		return verdict.Newf(verdict.NotRun, UnknownHost, "host %q is not known", name)
	}
	if slices.Contains(retiring, id) {
		return nil
	}
	if need := h.config.replicationFactor(); remaining < need {
		return verdict.Newf(verdict.NotRun, TooFewHosts, "%d hosts would be left, and %d are needed to bear the loss of %d", remaining, need, h.config.Tolerate)
	}
	if err := h.proposeWrite(ctx, retiringPath+id, name, 0); err != nil {
		return err
	}
	h.logger.Info("host is to be emptied", zap.String("name", name), zap.String("id", id), zap.Int("remaining", remaining))
	return nil
}

// Retired returns whether a host holds nothing any more.
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
	id, known := h.ledgerHosts.byName(name)
	if !known {
		return false, verdict.Newf(verdict.NotRun, UnknownHost, "host %q is not known", name)
	}
	return plan != nil && slices.Contains(retiring, id) && h.ledgerHosts.emptied(*plan, id), nil
}

// emptied returns whether a host is neither to keep any partition nor a member
// of one. A host that is not a member may join as long as the plan names it.
func (l *ledgerHosts) emptied(p Plan, id string) bool {
	for i, x := range p.Partitions {
		members := l.members(i + 1)
		if len(members) == 0 || slices.Contains(members, id) || slices.Contains(x.Members, id) {
			return false
		}
	}
	return true
}
