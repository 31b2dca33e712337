package tree

import (
	"encoding/json"
	"strings"
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
	case q.Get != nil:
		if e, ok := m.current(q.Get.Path); ok {
			r.Entries = []Entry{e}
		}
	case q.List != nil:
		r.Entries = m.list(q.List)
	case q.Difference != nil:
		d := m.Difference(q.Difference.Since)
		r.Difference = &d
	case q.Outcome != nil:
		if record := m.outcomes.get(q.Outcome.ChangeID); record != nil {
			r.Outcome = &record.Outcome
		}
	default:
		r.Error = "query is empty"
	}
	return r
}

// Difference returns the entries that changed after a revision, sorted by revision
// and path. It returns all entries, sorted by path and with Full set, if
// tombstones written after since were compacted, or if since is greater than the
// current revision and so comes from another state.
func (m *StateMachine) Difference(since int64) Difference {
	d := Difference{Revision: m.revision}
	if since < m.compactRevision || since > m.revision {
		d.Full = true
		m.entries.Scan(func(e *Entry) bool {
			d.Entries = append(d.Entries, *e)
			return true
		})
		return d
	}
	m.byRevision.Ascend(&Entry{Revision: since + 1}, func(e *Entry) bool {
		d.Entries = append(d.Entries, *e)
		return true
	})
	return d
}

func (m *StateMachine) list(q *ListQuery) []Entry {
	var entries []Entry
	below := strings.TrimSuffix(q.Prefix, "/") + "/"
	if e, ok := m.current(q.Prefix); ok && q.Prefix > q.After {
		entries = append(entries, e)
	}
	m.entries.Ascend(&Entry{Path: max(below, q.After)}, func(e *Entry) bool {
		if !strings.HasPrefix(e.Path, below) || (q.Limit > 0 && len(entries) >= q.Limit) {
			return false
		}
		if e.Path > q.After {
			entries = append(entries, *e)
		}
		return true
	})
	return entries
}
