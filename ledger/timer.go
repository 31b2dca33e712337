package ledger

import (
	"slices"

	"github.com/tidwall/btree"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// timer is an entry of an index of programs by time.
type timer struct {
	at      int64 // Unix milliseconds
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

// nextDue returns when a tick must next process the program, in Unix
// milliseconds, or 0 if never.
func (m *StateMachine) nextDue(p *program) int64 {
	if p.Closed {
		retainedUntil := p.ClosedAt + m.options.retention
		if p.Purged {
			return max(retainedUntil, p.Deadline)
		}
		return retainedUntil
	}
	due := int64(0)
	consider := func(at int64) {
		if due == 0 || at < due {
			due = at
		}
	}
	if p.Status == ProgramOpen {
		consider(p.Deadline)
		if p.idle() {
			consider(p.Touched + m.options.idleTimeout)
		}
	}
	if p.Running != nil {
		consider(p.Running.ExpiresAt)
	}
	for _, s := range p.Superseded {
		consider(s.ExpiresAt)
	}
	return due
}

func (p *program) idle() bool { return p.Running == nil && p.Children == 0 }

// reschedule moves the timer of a program to its next due time.
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

// tick performs due actions, each for one program, up to the batch size.
func (m *StateMachine) tick() {
	for range m.options.tickBatch {
		t, ok := m.timers.Min()
		if !ok || t.at > m.clock {
			return
		}
		m.expire(m.programs[t.program])
	}
}

// expire performs the first action that is due for a program. If others are
// due, its timer stays due, so that tick processes the program again.
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

// expireSuperseded charges the whole reservation of superseded attempts that have
// expired.
func (m *StateMachine) expireSuperseded(p *program) {
	p.Superseded = slices.DeleteFunc(p.Superseded, func(s supersededAttempt) bool {
		if s.ExpiresAt > m.clock {
			return false
		}
		p.settle(Budget{Tokens: s.ReservedTokens}, Budget{Tokens: s.ReservedTokens})
		return true
	})
	m.update(p)
}

// purge removes the calls and history of a closed program, and the program
// itself once both its retention and its deadline have passed.
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

// purgeExcess purges the programs that closed first while there are more closed
// programs than the limit.
func (m *StateMachine) purgeExcess() {
	for m.closed.Len() > m.options.maxClosed {
		t, _ := m.closed.Min()
		m.purge(m.programs[t.program])
	}
}
