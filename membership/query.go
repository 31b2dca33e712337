package membership

import (
	"encoding/json"
	"maps"
	"slices"
)

// Query runs a Query in JSON and returns its QueryResult in JSON.
func (m *StateMachine) Query(query []byte) []byte {
	var q Query
	if err := json.Unmarshal(query, &q); err != nil {
		return encode(QueryResult{Error: err.Error(), Revision: m.revision})
	}
	return encode(m.Answer(q))
}

// Answer is Query without the JSON encoding.
func (m *StateMachine) Answer(q Query) QueryResult {
	r := QueryResult{Revision: m.revision}
	switch {
	case q.Difference != nil:
		d := m.Difference(q.Difference.Since)
		r.Difference = &d
	case q.Hosts != nil:
		for _, id := range m.sortedHosts() {
			r.Hosts = append(r.Hosts, m.hosts[id].Host)
		}
	case q.Suspect != nil:
		if s := m.suspects[q.Suspect.Fingerprint]; s != nil && s.Crashes > 0 {
			r.Suspects = []Suspect{s.Suspect}
		}
	case q.Suspects != nil:
		r.Suspects = m.allSuspects()
	case q.Alive != nil:
		r.Alive = m.Alive(q.Alive.Server, q.Alive.Incarnation)
	case q.Grant != nil:
		if g := m.grants[q.Grant.Resource]; g != nil {
			r.Grant = g.result().Grant
		}
	default:
		r.Error = "query is empty"
	}
	return r
}

// Difference returns the servers and suspects that changed after a member
// revision, sorted by revision. It returns all current ones, with Full set, if
// records removed after since were compacted, or if since is greater than the
// current revision and so comes from another state.
func (m *StateMachine) Difference(since int64) Difference {
	d := Difference{Revision: m.revision, Hosts: m.liveHosts}
	if since < m.compactRevision || since > m.revision {
		d.Full = true
		since = 0
	}
	m.changed.Ascend(since+1, func(revision int64, key recordKey) bool {
		_, removed := m.removed.Get(revision)
		if !d.Full || !removed {
			d.add(m, key)
		}
		return true
	})
	return d
}

func (d *Difference) add(m *StateMachine, key recordKey) {
	switch {
	case key.server != "":
		d.Servers = append(d.Servers, m.servers[key.server].Server)
	case key.suspect != "":
		d.Suspects = append(d.Suspects, m.suspects[key.suspect].Suspect)
	}
}

func (m *StateMachine) sortedHosts() []hostIncarnation {
	return slices.SortedFunc(maps.Keys(m.hosts), compareHosts)
}

func (m *StateMachine) allSuspects() []Suspect {
	var all []Suspect
	for _, f := range slices.Sorted(maps.Keys(m.suspects)) {
		if s := m.suspects[f]; s.Crashes > 0 {
			all = append(all, s.Suspect)
		}
	}
	return all
}
