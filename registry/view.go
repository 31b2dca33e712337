package registry

import "iter"

// View merges the tables of several control hosts.
type View struct {
	sources map[string]*source // by control host
}

// source holds what has been received from one control host.
type source struct {
	position Position
	changes  map[string]Change // by server ID
	// previous holds entries of the previous incarnation that the current one has
	// not replaced yet. They remain valid until the whole table has been received.
	previous map[string]Change
}

// NewView returns an empty view.
func NewView() *View { return &View{sources: map[string]*source{}} }

// Position returns the position at which to continue reading the table of a
// control host.
func (v *View) Position(host string) Position {
	if s := v.sources[host]; s != nil {
		return s.position
	}
	return Position{}
}

// Update applies a part received from a control host, which must have been
// requested for the current position. Once the whole table of a new incarnation
// has been received, the entries that are not in it are removed. It returns
// whether anything has changed.
func (v *View) Update(host string, p Part) bool {
	s := v.sources[host]
	switch {
	case p.Full:
		n := &source{changes: map[string]Change{}, previous: map[string]Change{}}
		if s != nil {
			for c := range s.all() {
				n.previous[c.ID] = c
			}
		}
		s = n
		v.sources[host] = s
	case s == nil:
		return false // the host was removed while the request was in progress
	}
	s.position = p.Position
	for _, c := range p.Changes {
		s.changes[c.ID] = c
		delete(s.previous, c.ID)
	}
	changed := len(p.Changes) > 0
	if !p.HasGap() {
		changed = changed || len(s.previous) > 0
		s.previous = nil
	}
	return changed
}

// RemoveSource removes the entries of a host that is no longer a control host.
func (v *View) RemoveSource(host string) { delete(v.sources, host) }

func (s *source) all() iter.Seq[Change] {
	return func(yield func(Change) bool) {
		for _, m := range []map[string]Change{s.changes, s.previous} {
			for _, c := range m {
				if !yield(c) {
					return
				}
			}
		}
	}
}

// changes returns the entries of all sources.
func (v *View) changes() iter.Seq[Change] {
	return func(yield func(Change) bool) {
		for _, s := range v.sources {
			for c := range s.all() {
				if !yield(c) {
					return
				}
			}
		}
	}
}

// Servers returns the newest entry of each usable server, by ID. A server is
// usable if it is not gone and the entry of its newest incarnation is unexpired
// on at least one control host. Of two servers with the same address, only the
// one that started later can be returned, since the address must have been
// reassigned to it.
func (v *View) Servers() map[string]Entry {
	newest := map[string]Entry{}
	alive := map[string]bool{}
	for c := range v.changes() {
		known, ok := newest[c.ID]
		if !ok || c.supersedes(&known) {
			newest[c.ID] = c.Entry
		}
	}
	for c := range v.changes() {
		if !c.Expired && c.StartedAt == newest[c.ID].StartedAt {
			alive[c.ID] = true
		}
	}
	byAddress := map[string]string{} // server ID by address
	for id, e := range newest {
		if o, ok := byAddress[e.Address]; !ok || newest[o].StartedAt < e.StartedAt {
			byAddress[e.Address] = id
		}
	}
	for id, e := range newest {
		if e.State == Gone || !alive[id] || byAddress[e.Address] != id {
			delete(newest, id)
		}
	}
	return newest
}
