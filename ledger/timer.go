package ledger

import (
	"slices"

	"github.com/tidwall/btree"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// timer orders programs by a time in Unix milliseconds.
type timer struct {
	at      int64
	program string
}

func newTimers() *btree.BTreeG[timer] {
	less := func(a, b timer) bool {
		if a.at != b.at {
			return a.at < b.at
		}
		return a.program < b.program
	}
	return btree.NewBTreeGOptions(less, btree.Options{NoLocks: true})
}

// nextDue returns when tick has to look at the program, or 0 for never.
func (m *StateMachine) nextDue(p *program) int64 {
	if p.Closed {
		kept := p.ClosedAt + m.options.retention
		if p.Purged {
			return max(kept, p.Deadline)
		}
		return kept
	}
	due := int64(0)
	sooner := func(at int64) {
		if due == 0 || at < due {
			due = at
		}
	}
	if p.Status == ProgramOpen {
		sooner(p.Deadline)
		if p.idle() {
			sooner(p.Touched + m.options.idleTimeout)
		}
	}
	if p.Running != nil {
		sooner(p.Running.ExpiresAt)
	}
	for _, l := range p.Superseded {
		sooner(l.ExpiresAt)
	}
	return due
}

func (p *program) idle() bool { return p.Running == nil && p.Children == 0 }

// reschedule keeps the one timer of a program at its next due time.
func (m *StateMachine) reschedule(p *program) {
	due := m.nextDue(p)
	if due == p.due {
		return
	}
	if p.due != 0 {
		m.timers.Delete(timer{p.due, p.ID})
	}
	if due != 0 {
		m.timers.Set(timer{due, p.ID})
	}
	p.due = due
}

// tick looks at the programs that are due and at no others.
func (m *StateMachine) tick() {
	for range m.options.tickBatch {
		t, ok := m.timers.Min()
		if !ok || t.at > m.clock {
			return
		}
		m.expire(m.programs[t.program])
	}
}

// expire does the one thing that is due for a program. If more is due, the
// program's timer is still due afterwards.
func (m *StateMachine) expire(p *program) {
	r := p.Running
	switch {
	case p.Closed:
		m.purge(p)
	case r != nil && r.ExpiresAt <= m.clock:
		m.abandonCall(p, p.Calls[r.Call-1], verdict.Timeout)
	case p.Status == ProgramOpen && p.Deadline <= m.clock:
		m.end(p, ProgramExpired, "deadline")
	case p.Status == ProgramOpen && p.idle() && p.Touched+m.options.idleTimeout <= m.clock:
		m.end(p, ProgramExpired, "idle")
	default:
		m.expireSuperseded(p)
	}
}

// expireSuperseded charges lost attempts in full once their time has run out.
func (m *StateMachine) expireSuperseded(p *program) {
	p.Superseded = slices.DeleteFunc(p.Superseded, func(l supersededAttempt) bool {
		if l.ExpiresAt > m.clock {
			return false
		}
		p.settle(Budget{Tokens: l.ReservedTokens}, Budget{Tokens: l.ReservedTokens})
		return true
	})
	m.update(p)
}

// purge removes calls and history of a closed program, and the program itself
// once its deadline has passed too.
func (m *StateMachine) purge(p *program) {
	if !p.Purged {
		p.Purged = true
		p.Calls, p.History, p.keys = nil, nil, nil
		m.closed.Delete(timer{p.ClosedAt, p.ID})
	}
	if max(p.Deadline, p.ClosedAt+m.options.retention) > m.clock {
		m.reschedule(p)
		return
	}
	m.timers.Delete(timer{p.due, p.ID})
	delete(m.programs, p.ID)
	m.removedPrograms++
}

// purgeExcess drops calls and history of the programs that ended first.
func (m *StateMachine) purgeExcess() {
	for m.closed.Len() > m.options.maxClosed {
		t, _ := m.closed.Min()
		m.purge(m.programs[t.program])
	}
}
