package membership

// grant is the ownership of a resource, and its JSON record in a snapshot. Its
// host is empty if an owner that had to wait has yielded the resource. That
// wait may not have been over, so the next owner has to wait as well.
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

// yield releases a resource. If the owner had to wait, the grant is kept without
// an owner, so that the next owner waits too: orders of an earlier owner may
// still be in progress.
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

// checksFencing reports whether a server rejects orders with a stale fencing
// number. An unknown server is assumed not to.
func (m *StateMachine) checksFencing(id string) bool {
	s := m.servers[id]
	return s != nil && s.Fencing
}

func (g *grant) owner() hostIncarnation { return hostIncarnation{g.Host, g.HostIncarnation} }

func (g *grant) result() Result {
	copied := g.Grant
	return Result{Grant: &copied}
}
