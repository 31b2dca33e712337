package cluster

import (
	"context"
	"encoding/json"
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
	foundersPath = "/ledger/founders"
	retiringPath = "/ledger/retiring/" // and the id of a host
	// foundingCalm is the time without a new host of the ledger after which
	// those that are known form its group. All hosts of a deployment start
	// within a fraction of a second.
	foundingCalm = 1500 * time.Millisecond
	// ledgerMemory is how long a host of the ledger is remembered that is
	// silent.
	ledgerMemory = 20 * time.Second
	// reportFresh is how long the report of a host of the ledger counts. Hosts
	// report several times a second.
	reportFresh = 3 * time.Second
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
	reports map[string]ledgerRecord
	newAt   time.Duration // when the last new one was heard of
}

type ledgerRecord struct {
	LedgerReport
	at time.Duration
}

func newLedgerHosts() *ledgerHosts { return &ledgerHosts{reports: map[string]ledgerRecord{}} }

func (l *ledgerHosts) report(now time.Duration, id string, r LedgerReport) {
	if _, ok := l.reports[id]; !ok {
		l.newAt = now
	}
	l.reports[id] = ledgerRecord{r, now}
}

func (l *ledgerHosts) expire(now time.Duration) {
	maps.DeleteFunc(l.reports, func(_ string, r ledgerRecord) bool { return now-r.at > ledgerMemory })
}

func (l *ledgerHosts) view() LedgerView {
	v := LedgerView{Hosts: slices.Sorted(maps.Keys(l.reports))}
	for _, r := range l.reports {
		if r.Leader != "" && r.Term > v.Term {
			v.Leader, v.Term = r.Leader, r.Term
		}
	}
	return v
}

// founders returns the hosts that are to form the group, or nothing as long as
// more may come.
func (l *ledgerHosts) founders(now time.Duration) []string {
	if len(l.reports) == 0 || now-l.newAt < foundingCalm {
		return nil
	}
	return slices.Sorted(maps.Keys(l.reports))
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

// members returns the members of the group as its leader sees them.
func (l *ledgerHosts) members() []string {
	v := l.view()
	return l.reports[v.Leader].Members
}

// remaining counts the hosts that answer, have a vote and are not retiring.
func (l *ledgerHosts) remaining(now time.Duration, retiring []string) int {
	n := 0
	for id, r := range l.reports {
		if r.Voter && now-r.at < reportFresh && !slices.Contains(retiring, id) {
			n++
		}
	}
	return n
}

// retiring returns the ids of hosts that are to be emptied, and founders those
// that form the ledger's group.
func (s *state) ledgerPlan() (founders, retiring []string) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if e, ok := s.entry(foundersPath); ok {
		if err := json.Unmarshal(e.Value, &founders); err != nil {
			founders = nil
		}
	}
	r := s.tree.Answer(tree.Query{List: &tree.ListQuery{Prefix: retiringPath[:len(retiringPath)-1]}})
	for _, e := range r.Entries {
		if len(e.Path) > len(retiringPath) {
			retiring = append(retiring, e.Path[len(retiringPath):])
		}
	}
	return founders, retiring
}

// foundLedger writes down who forms the group of the ledger, once.
func (h *Host) foundLedger(ctx context.Context) {
	if h.leading() != nil {
		return
	}
	if founders, _ := h.state.ledgerPlan(); founders != nil {
		return
	}
	h.mu.Lock()
	ids := h.ledger.founders(h.now())
	h.mu.Unlock()
	if ids == nil {
		return
	}
	if err := h.write(ctx, foundersPath, ids); err != nil {
		h.logger.Warn("founders of the ledger not recorded", zap.Error(err))
		return
	}
	h.logger.Info("ledger founded", zap.Strings("hosts", ids))
}

// write sets a path that does not exist yet.
func (h *Host) write(ctx context.Context, path string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	change := tree.Change{
		ChangeID: "set-" + strconv.FormatUint(rand.Uint64(), 36),
		Writes:   []tree.Write{{Path: path, Value: strictjson.Encode(value)}},
	}
	var o tree.Outcome
	if err := h.propose(ctx, command{Change: &change}, &o); err != nil {
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
	if err := h.leading(); err != nil {
		return err
	}
	_, retiring := h.state.ledgerPlan()
	h.mu.Lock()
	id, known := h.ledger.byName(name)
	remaining := h.ledger.remaining(h.now(), append(retiring, id))
	h.mu.Unlock()
	if !known {
		return verdict.Newf(verdict.NotRun, UnknownHost, "host %q is not known", name)
	}
	if slices.Contains(retiring, id) {
		return nil
	}
	if need := 2*h.config.Tolerate + 1; remaining < need {
		return verdict.Newf(verdict.NotRun, TooFewHosts, "%d hosts would be left, and %d are needed to bear the loss of %d", remaining, need, h.config.Tolerate)
	}
	if err := h.write(ctx, retiringPath+id, name); err != nil {
		return err
	}
	h.logger.Info("host is to be emptied", zap.String("name", name), zap.String("id", id), zap.Int("remaining", remaining))
	return nil
}

// Retired returns whether a host holds nothing any more.
func (h *Host) Retired(ctx context.Context, name string) (bool, error) {
	if err := h.leading(); err != nil {
		return false, err
	}
	if err := h.group.Read(ctx); err != nil {
		return false, err
	}
	_, retiring := h.state.ledgerPlan()
	h.mu.Lock()
	defer h.mu.Unlock()
	id, known := h.ledger.byName(name)
	if !known {
		return false, verdict.Newf(verdict.NotRun, UnknownHost, "host %q is not known", name)
	}
	members := h.ledger.members()
	return slices.Contains(retiring, id) && len(members) > 0 && !slices.Contains(members, id), nil
}
