package control

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/membership"
)

const (
	releaseInterval = 200 * time.Millisecond
	releaseTimeout  = time.Second
	// releaseBatch bounds the releases of one group in one round.
	releaseBatch = 64
)

// release asks engines to release the memory of ended programs, for the
// program groups that this host leads. What an engine does not confirm stays
// recorded, and is asked for again.
func (h *Host) release(ctx context.Context) {
	for i, m := range h.programs {
		if _, ok := h.groups[i+1].Leading(); !ok {
			continue
		}
		for _, r := range m.releases(releaseBatch) {
			if ctx.Err() != nil {
				return
			}
			h.releaseOne(ctx, i+1, r)
		}
	}
}

func (m *programMachine) releases(limit int) []ledger.Release {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.ledger.Answer(ledger.Query{Releases: &ledger.ReleasesQuery{Limit: limit}}).Releases
}

func (h *Host) releaseOne(ctx context.Context, group int, r ledger.Release) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	address, alive := h.engineAddress(r.Server, r.ServerIncarnation)
	c := ledger.Command{ServerGone: &ledger.ServerGone{Server: r.Server, ServerIncarnation: r.ServerIncarnation}}
	if alive {
		if address == "" {
			return
		}
		if err := h.config.Engines.Release(ctx, address, r.ServerIncarnation, r.Program); err != nil {
			h.logger.Info("release not confirmed", zap.String("program", r.Program), zap.String("server", r.Server), zap.Error(err))
			return
		}
		c = ledger.Command{ReleaseConfirmed: &ledger.ReleaseConfirmed{Server: r.Server, ServerIncarnation: r.ServerIncarnation, Program: r.Program}}
	}
	if _, err := h.groups[group].Propose(ctx, encode(c)); err != nil {
		h.logger.Info("release not recorded", zap.String("program", r.Program), zap.Error(err))
	}
}

// engineAddress returns where a server incarnation can be reached, and false
// if its memory is gone for good. The address is empty while its lease has
// run out and it may still come back.
func (h *Host) engineAddress(server, incarnation string) (address string, alive bool) {
	h.members.mu.RLock()
	defer h.members.mu.RUnlock()
	if !h.members.members.Alive(server, incarnation) {
		return "", false
	}
	v, ok := h.members.members.Server(server)
	if !ok {
		return "", true
	}
	return v.Address, true
}

// GroupStatus is one log group as a control host sees it.
type GroupStatus struct {
	Group  int    `json:"group"`
	Leader string `json:"leader"`
	Term   uint64 `json:"term,omitempty"` // set on the leader
}

// HostStatus is the state of a control host.
type HostStatus struct {
	ID     string        `json:"id"`
	Groups []GroupStatus `json:"groups"`
	// Members is set on the leader of the configuration group.
	Members *MemberStatus `json:"members,omitempty"`
}

// MemberStatus is the state of all members.
type MemberStatus struct {
	ConfigRevision int64               `json:"config-revision"`
	MemberRevision int64               `json:"member-revision"`
	Hosts          []membership.Host   `json:"hosts"`
	Servers        []membership.Server `json:"servers"`
}

func (h *Host) status(_ context.Context, _ string, _ json.RawMessage) (HostStatus, error) {
	s := HostStatus{ID: h.config.ID}
	for n, g := range h.groups {
		leader, _ := g.Leader()
		term, _ := g.Leading()
		s.Groups = append(s.Groups, GroupStatus{Group: n, Leader: leader, Term: term})
	}
	if _, ok := h.groups[ConfigGroup].Leading(); ok {
		s.Members = h.memberStatus()
	}
	return s, nil
}

func (h *Host) memberStatus() *MemberStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.members.mu.RLock()
	defer h.members.mu.RUnlock()
	all := h.members.members.Difference(-1)
	s := &MemberStatus{
		ConfigRevision: h.members.tree.Revision(),
		MemberRevision: all.Revision,
		Servers:        all.Servers,
		Hosts:          h.members.members.Answer(membership.Query{Hosts: &membership.HostsQuery{}}).Hosts,
	}
	for i, v := range s.Hosts {
		m := membership.Member{Kind: membership.HostMember, ID: v.Host, Incarnation: v.Incarnation}
		s.Hosts[i].AppliedRevision = h.leases.AppliedRevision(m)
	}
	return s
}
