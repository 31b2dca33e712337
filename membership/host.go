package membership

import "cmp"

// hostIncarnation identifies one incarnation of an entry host. Two incarnations
// can be members at the same time, until the lease of the older one expires.
type hostIncarnation struct {
	host        string
	incarnation string
}

func compareHosts(a, b hostIncarnation) int {
	return cmp.Or(cmp.Compare(a.host, b.host), cmp.Compare(a.incarnation, b.incarnation))
}

// host is the state of one incarnation of an entry host, and its JSON record in
// a snapshot.
type host struct {
	Host
	// JoinRevision is the member revision at which the host last joined.
	JoinRevision int64 `json:"joined"`
	// Replaced is set once a newer incarnation has joined.
	Replaced bool `json:"replaced,omitempty"`
}

func (h *host) id() hostIncarnation { return hostIncarnation{h.Host.Host, h.Incarnation} }

func (m *StateMachine) join(c *Join) Result {
	id := hostIncarnation{c.Host, c.Incarnation}
	h := m.hosts[id]
	if h != nil && h.Replaced {
		return m.refuse(StaleIncarnation, "host %q has a newer incarnation than %q", c.Host, c.Incarnation)
	}
	if h != nil && !h.Gone && h.Address == c.Address && h.DataCentre == c.DataCentre {
		return h.result()
	}
	if h == nil {
		h = &host{Host: Host{Host: c.Host, Incarnation: c.Incarnation, Gone: true}}
		m.hosts[id] = h
		m.markOthersReplaced(id)
	}
	h.Address, h.DataCentre = c.Address, c.DataCentre
	joins := h.Gone
	h.Gone = false
	m.recordHostChange(h)
	if joins {
		h.JoinRevision = h.Revision
		m.liveHosts++
	}
	return h.result()
}

func (h *host) result() Result {
	copied := h.Host
	return Result{Host: &copied}
}

// markOthersReplaced marks the other incarnations of a host as replaced. They
// remain members until their lease expires.
func (m *StateMachine) markOthersReplaced(id hostIncarnation) {
	for other, h := range m.hosts {
		if other.host == id.host && other != id {
			h.Replaced = true
		}
	}
}

func (m *StateMachine) recordHostChange(h *host) {
	h.Revision = m.recordChange(h.Revision, recordKey{host: h.id()}, h.Gone)
}
