package control

import (
	"context"

	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/replica"
)

// GroupStatus is one log group as a control host sees it.
type GroupStatus struct {
	Group int `json:"group"`
	replica.Status
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

// Statuses asks every control host for its state. Hosts that do not answer are
// left out.
func (c *Client) Statuses(ctx context.Context) []HostStatus {
	var all []HostStatus
	for _, p := range c.peers {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		var s HostStatus
		if p.Call(attempt, methodStatus, struct{}{}, &s) == nil {
			all = append(all, s)
		}
		cancel()
	}
	return all
}

func (h *Host) status(context.Context, string, struct{}) (HostStatus, error) {
	s := HostStatus{ID: h.config.ID}
	for n, g := range h.groups {
		s.Groups = append(s.Groups, GroupStatus{Group: n, Status: g.Status()})
	}
	if _, ok := h.groups[ConfigGroup].Leading(); ok {
		s.Members = h.memberStatus()
	}
	return s, nil
}

func (h *Host) memberStatus() *MemberStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configMachine.mu.RLock()
	defer h.configMachine.mu.RUnlock()
	all := h.configMachine.members.Difference(-1)
	s := &MemberStatus{
		ConfigRevision: h.configMachine.tree.Revision(),
		MemberRevision: all.Revision,
		Servers:        all.Servers,
		Hosts:          h.configMachine.members.Answer(membership.Query{Hosts: &membership.HostsQuery{}}).Hosts,
	}
	for i, v := range s.Hosts {
		m := membership.Member{Kind: membership.HostMember, ID: v.Host, Incarnation: v.Incarnation}
		s.Hosts[i].AppliedRevision = h.leases.AppliedRevision(m)
	}
	return s
}
