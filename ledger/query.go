package ledger

import (
	"encoding/json"
	"slices"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// Query runs a Query in JSON and returns its QueryResult in JSON.
func (m *StateMachine) Query(query []byte) []byte {
	var q Query
	if err := json.Unmarshal(query, &q); err != nil {
		return encode(QueryResult{Refusal: newRefusal(verdict.NotRun, verdict.BadRequest, "%s", err)})
	}
	return encode(m.Answer(q))
}

// Answer is Query without the JSON encoding.
func (m *StateMachine) Answer(q Query) QueryResult {
	switch {
	case q.Program != nil:
		return m.withProgram(q.Program.Program, q.Program.Team, func(p *program) QueryResult {
			return QueryResult{Program: p.state()}
		})
	case q.History != nil:
		return m.withProgram(q.History.Program, q.History.Team, func(p *program) QueryResult {
			return p.historyPage(q.History.From, q.History.Limit)
		})
	case q.Call != nil:
		return m.withProgram(q.Call.Program, q.Call.Team, func(p *program) QueryResult {
			return p.callByKey(q.Call.Key)
		})
	case q.Releases != nil:
		server := serverIncarnation{Server: q.Releases.Server}
		return QueryResult{Releases: releasesOn(m.releases.due, server, max(q.Releases.Limit, 0))}
	}
	return QueryResult{Refusal: newRefusal(verdict.NotRun, verdict.BadRequest, "query is empty")}
}

// withProgram calls answer with the program if the team may read it. An empty
// team stands for an operator, who may read all programs.
func (m *StateMachine) withProgram(id, team string, answer func(*program) QueryResult) QueryResult {
	p := m.programs[id]
	if p == nil || (team != "" && team != p.Team) {
		return QueryResult{Refusal: m.unknownProgram(id)}
	}
	return answer(p)
}

func (p *program) callByKey(key string) QueryResult {
	number, ok := p.keys[key]
	if !ok && p.Purged {
		return QueryResult{Refusal: p.purgedRefusal()}
	}
	if !ok {
		return QueryResult{Refusal: newRefusal(verdict.NotRun, UnknownKey, "program %q has no record of key %q", p.ID, key)}
	}
	return QueryResult{Call: p.callState(p.Calls[number-1])}
}

func (p *program) historyPage(from, limit int) QueryResult {
	if p.Purged {
		return QueryResult{Program: p.state(), Refusal: p.purgedRefusal()}
	}
	return QueryResult{Program: p.state(), History: page(p.History, from, limit)}
}

func page(history []Message, from, limit int) []Message {
	from = min(max(from, 0), len(history))
	to := len(history)
	if limit > 0 && limit < to-from {
		to = from + limit
	}
	return slices.Clip(history[from:to])
}
