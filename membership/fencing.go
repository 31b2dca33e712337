package membership

// grant is the ownership of a resource and its record in a snapshot. Without
// a host, it was given up while orders of an earlier owner may be in progress.
type grant struct {
	Grant
}

func (m *StateMachine) acquire(c *Acquire) Result {
	id := hostIncarnation{c.Host, c.HostIncarnation}
	if h := m.hosts[id]; h == nil || h.Gone || h.Replaced {
		return m.refuse(UnknownHost, "host %q incarnation %q is not a member", c.Host, c.HostIncarnation)
	}
	g := m.grants[c.Resource]
	if g != nil && g.owner() == id {
		return g.result()
	}
	if g != nil && m.isMember(g.owner()) {
		r := m.refuse(Held, "resource %q is held by host %q", c.Resource, g.Host)
		r.Grant = g.result().Grant
		return r
	}
	wait := int64(0)
	if g != nil && !m.checksFencing(c.Server) {
		wait = m.options.orderLifetime
	}
	m.fencing++
	g = &grant{Grant{
		Resource: c.Resource, Fencing: m.fencing, Host: c.Host, HostIncarnation: c.HostIncarnation, Wait: wait,
	}}
	m.grants[c.Resource] = g
	return g.result()
}

// yield gives a resource up. A wait that the owner had passes on, since it
// may not have been over.
func (m *StateMachine) yield(c *Yield) Result {
	g := m.grants[c.Resource]
	if g == nil || g.Fencing != c.Fencing {
		return Result{}
	}
	if g.Wait == 0 {
		delete(m.grants, c.Resource)
		return Result{}
	}
	g.Host, g.HostIncarnation = "", ""
	return Result{}
}

func (m *StateMachine) isMember(id hostIncarnation) bool {
	h := m.hosts[id]
	return h != nil && !h.Gone
}

// checksFencing says whether a server refuses orders with an old fencing
// number. Of an unknown server the worse is assumed.
func (m *StateMachine) checksFencing(id string) bool {
	s := m.servers[id]
	return s != nil && s.Fencing
}

func (g *grant) owner() hostIncarnation { return hostIncarnation{g.Host, g.HostIncarnation} }

func (g *grant) result() Result {
	copied := g.Grant
	return Result{Grant: &copied}
}
