package control

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/strictjson"
	"github.com/sycamoreline/sycamoreline/tree"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// configQuery is a query of the configuration group. Exactly one field is set.
type configQuery struct {
	Tree   *tree.Query       `json:"tree,omitempty"`
	Member *membership.Query `json:"member,omitempty"`
}

func (m *configMachine) query(query []byte) (json.RawMessage, error) {
	var q configQuery
	if err := json.Unmarshal(query, &q); err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "query cannot be decoded", verdict.WithCause(err))
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	switch {
	case q.Tree != nil:
		return strictjson.Encode(m.tree.Answer(*q.Tree)), nil
	case q.Member != nil:
		return strictjson.Encode(m.members.Answer(*q.Member)), nil
	default:
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "query is empty")
	}
}

func (h *Host) now() time.Duration { return time.Since(h.started) }

// confirmLeases returns once it has confirmed that this host leads the
// configuration group and that its lease table covers every lease that an
// earlier leader may have granted.
func (h *Host) confirmLeases(ctx context.Context) error {
	g, err := h.requireLeader(ConfigGroup)
	if err != nil {
		return err
	}
	if err := g.Read(ctx); err != nil {
		return err
	}
	return h.extendLeases()
}

// extendLeases extends all leases once per term that this host leads. The
// caller has confirmed leadership by a read.
func (h *Host) extendLeases() error {
	term, ok := h.groups[ConfigGroup].Leading()
	if !ok {
		return &NotLeaderError{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaseTerm == term {
		return nil
	}
	h.configMachine.mu.RLock()
	defer h.configMachine.mu.RUnlock()
	h.leases.ExtendAll(h.now())
	h.leaseTerm = term
	return nil
}

// maintainLeases proposes the expiry of members whose lease has expired.
func (h *Host) maintainLeases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, ok := h.groups[ConfigGroup].Leading(); !ok {
		return
	}
	if !h.leasesCurrent() {
		if err := h.confirmLeases(ctx); err != nil {
			return
		}
	}
	expired := h.expiredLeases()
	if len(expired) == 0 {
		return
	}
	h.logger.Info("leases expired", zap.Any("members", expired))
	c := membership.Command{Expire: &membership.Expire{Members: expired}}
	if _, err := h.groups[ConfigGroup].Propose(ctx, strictjson.Encode(configCommand{Member: &c})); err != nil {
		h.logger.Info("lease expiry not committed", zap.Error(err))
	}
}

// leasesCurrent returns whether the lease table belongs to the current term.
func (h *Host) leasesCurrent() bool {
	term, ok := h.groups[ConfigGroup].Leading()
	h.mu.Lock()
	defer h.mu.Unlock()
	return ok && h.leaseTerm == term
}

func (h *Host) expiredLeases() []membership.Member {
	if !h.leasesCurrent() {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configMachine.mu.RLock()
	defer h.configMachine.mu.RUnlock()
	return h.leases.Expired(h.now())
}

// renew renews a member's lease. It returns false if the member must join or
// announce first, or if the expiry of its lease is not committed yet.
func (h *Host) renew(m membership.Member) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configMachine.mu.RLock()
	defer h.configMachine.mu.RUnlock()
	return h.leases.Renew(h.now(), m)
}

// proposeMember commits a membership command.
func (h *Host) proposeMember(ctx context.Context, c membership.Command) error {
	data, err := h.groups[ConfigGroup].Propose(ctx, strictjson.Encode(configCommand{Member: &c}))
	if err != nil {
		return err
	}
	var r membership.Result
	if err := json.Unmarshal(data, &r); err != nil {
		return err
	}
	if r.Refusal != nil {
		return verdict.New(verdict.NotRun, r.Refusal.Reason, r.Refusal.Message)
	}
	return nil
}

func (h *Host) heartbeat(ctx context.Context, _ string, r heartbeatRequest) (heartbeatResponse, error) {
	if err := h.confirmLeases(ctx); err != nil {
		return heartbeatResponse{}, err
	}
	m := membership.Member{Kind: membership.HostMember, ID: r.Host.Host, Incarnation: r.Host.Incarnation}
	if r.Leaving {
		return heartbeatResponse{}, h.proposeMember(ctx, membership.Command{Expire: &membership.Expire{Members: []membership.Member{m}}})
	}
	if !h.renew(m) {
		join := membership.Join{Host: r.Host.Host, Incarnation: r.Host.Incarnation, Address: r.Host.Address, DataCentre: r.Host.DataCentre}
		if err := h.proposeMember(ctx, membership.Command{Join: &join}); err != nil {
			return heartbeatResponse{}, err
		}
		if !h.renew(m) {
			return heartbeatResponse{}, leaseExpiringError()
		}
	}
	return h.pendingUpdates(m, r), nil
}

// leaseExpiringError returns the error for a member whose lease has expired: it
// must retry once the expiry is committed.
func leaseExpiringError() error {
	return verdict.New(verdict.NotRun, verdict.ControlUnavailable, "the expiry of the previous lease is not committed yet",
		verdict.WithRetryAfter(maintenanceInterval))
}

// pendingUpdates records the configuration revision that the host has applied,
// and returns all configuration and member changes that it has not applied yet.
func (h *Host) pendingUpdates(m membership.Member, r heartbeatRequest) heartbeatResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configMachine.mu.RLock()
	defer h.configMachine.mu.RUnlock()
	h.leases.SetAppliedRevision(m, r.AppliedRevision)
	return heartbeatResponse{
		TTL:     h.config.LeaseTTL.Milliseconds(),
		Config:  h.configMachine.tree.Difference(r.AppliedRevision),
		Members: h.configMachine.members.Difference(r.MemberRevision),
	}
}

func (h *Host) receivePresence(_ context.Context, _ string, m presenceMessage) (any, error) {
	h.presence.record(time.Now(), m)
	return nil, nil
}

// announceResponse grants a lease to a backend server.
type announceResponse struct {
	TTL int64 `json:"ttl"` // milliseconds
}

func (h *Host) announce(ctx context.Context, _ string, a membership.Announcement) (announceResponse, error) {
	if err := h.confirmLeases(ctx); err != nil {
		return announceResponse{}, err
	}
	granted := announceResponse{TTL: h.config.LeaseTTL.Milliseconds()}
	m := membership.Member{Kind: membership.ServerMember, ID: a.Server, Incarnation: a.Incarnation}
	if h.isCurrent(a) && h.renew(m) {
		return granted, nil
	}
	if err := h.proposeMember(ctx, membership.Command{Announce: &a}); err != nil {
		return announceResponse{}, err
	}
	h.logger.Info("server announced", zap.String("server", a.Server), zap.String("incarnation", a.Incarnation),
		zap.String("address", a.Address), zap.Bool("leaving", a.Leaving))
	if !h.renew(m) {
		return announceResponse{}, leaseExpiringError()
	}
	return granted, nil
}

func (h *Host) isCurrent(a membership.Announcement) bool {
	h.configMachine.mu.RLock()
	defer h.configMachine.mu.RUnlock()
	return h.configMachine.members.IsCurrent(a)
}

// inForceRequest queries whether a configuration revision is in force on every
// entry host that has a live lease.
type inForceRequest struct {
	Revision int64 `json:"revision"`
}

// InForce reports whether a configuration revision is in force on every entry
// host that has a live lease, and which of these have not applied it yet.
type InForce struct {
	InForce bool                `json:"in-force"`
	Waiting []membership.Member `json:"waiting,omitempty"`
}

func (h *Host) inForce(ctx context.Context, _ string, r inForceRequest) (InForce, error) {
	if err := h.confirmLeases(ctx); err != nil {
		return InForce{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configMachine.mu.RLock()
	defer h.configMachine.mu.RUnlock()
	ok, waiting := h.leases.InForce(h.now(), r.Revision)
	return InForce{InForce: ok, Waiting: waiting}, nil
}
