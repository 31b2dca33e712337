package ledger

import (
	"github.com/sycamoreline/sycamoreline/verdict"
)

// program is the state of a program, and its JSON record in a snapshot.
type program struct {
	ID       string        `json:"id"`
	Team     string        `json:"team"`
	Class    Class         `json:"class"`
	Key      string        `json:"key"`
	Parent   string        `json:"parent,omitempty"`
	Status   ProgramStatus `json:"status"`
	Reason   string        `json:"reason,omitempty"`
	Budget   Budget        `json:"budget"`
	Spent    Budget        `json:"spent"`
	Reserved Budget        `json:"reserved"`
	Deadline int64         `json:"deadline"` // Unix milliseconds, as are Touched and ClosedAt
	Touched  int64         `json:"touched"`  // last activity, for the idle timeout
	// Children counts sub-programs that are not closed.
	Children int `json:"children,omitempty"`
	// Closed is set once the program has ended and its cost is final.
	Closed   bool  `json:"closed,omitempty"`
	ClosedAt int64 `json:"closed-at,omitempty"`
	// Purged is set once calls and history have been removed.
	Purged          bool                `json:"dropped,omitempty"`
	Calls           []*call             `json:"calls,omitempty"`
	CallCount       int                 `json:"call-count,omitempty"`
	Running         *runningCall        `json:"running,omitempty"`
	Superseded      []supersededAttempt `json:"lost,omitempty"`
	History         []Message           `json:"history,omitempty"`
	LastServer      string              `json:"last-server,omitempty"`
	LastIncarnation string              `json:"last-incarnation,omitempty"`
	Memory          []serverIncarnation `json:"memory,omitempty"` // incarnations that may hold its engine memory

	keys map[string]int // call numbers by idempotency key
	due  int64          // time of the program's entry in StateMachine.timers, 0 if none
}

func (m *StateMachine) openProgram(c *OpenProgram) Result {
	if p := m.programs[c.Program]; p != nil {
		return p.openExisting(c)
	}
	deadline := m.clock + m.options.maxLifetime
	if c.Deadline > 0 {
		deadline = min(deadline, c.Deadline)
	}
	parent := m.programs[c.Parent]
	if c.Parent != "" {
		if refusal := m.checkParent(parent, c); refusal != nil {
			return Result{Refusal: refusal}
		}
		deadline = min(deadline, parent.Deadline)
	}
	if deadline <= m.clock {
		return refuse(verdict.NotRun, verdict.DeadlineExceeded, "deadline of program %q has passed", c.Program)
	}
	if parent != nil {
		parent.reserve(c.Budget)
		parent.Children++
		m.touch(parent)
	}
	p := &program{
		ID: c.Program, Team: c.Team, Class: c.Class, Key: c.Key, Parent: c.Parent,
		Status: ProgramOpen, Budget: c.Budget, Deadline: deadline,
	}
	m.programs[p.ID] = p
	m.touch(p)
	return Result{Program: p.state()}
}

func (m *StateMachine) checkParent(parent *program, c *OpenProgram) *Refusal {
	switch {
	case parent == nil || parent.Team != c.Team:
		return newRefusal(verdict.NotRun, verdict.UnknownProgram, "parent program %q is unknown", c.Parent)
	case parent.Status != ProgramOpen:
		return newRefusal(verdict.NotRun, verdict.ProgramEnded, "parent program %q is %s", c.Parent, parent.Status)
	case !parent.canReserve(c.Budget):
		return newRefusal(verdict.NotRun, verdict.BudgetExceeded,
			"parent program %q cannot reserve the budget", c.Parent)
	}
	return nil
}

// openExisting returns the result for an open-program whose id exists. Deadlines
// are not compared: callers give them relative to the time of sending, so a
// resend has a different one.
func (p *program) openExisting(c *OpenProgram) Result {
	if p.Team != c.Team || p.Key != c.Key {
		return refuse(verdict.NotRun, verdict.ProgramExists, "program %q exists", c.Program)
	}
	if p.Class != c.Class || p.Budget != c.Budget || p.Parent != c.Parent {
		return refuse(verdict.NotRun, verdict.KeyReused, "key %q was used with another body", c.Key)
	}
	return Result{Program: p.state()}
}

func (m *StateMachine) endProgram(c *EndProgram) Result {
	p := m.programs[c.Program]
	if p == nil || (c.Team != "" && c.Team != p.Team) {
		return Result{Refusal: m.unknownProgram(c.Program)}
	}
	if p.Status == ProgramOpen {
		m.end(p, c.Status, c.Reason)
	}
	return Result{Program: p.state()}
}

func (m *StateMachine) end(p *program, status ProgramStatus, reason string) {
	p.Status, p.Reason = status, reason
	m.update(p)
}

// touch restarts the idle timeout of a program.
func (m *StateMachine) touch(p *program) {
	p.Touched = m.clock
	m.update(p)
}

// update must be called after each change of a program. It makes the release
// records of an ended program due once no attempt can still use the memory,
// closes the program and its ancestors if possible, sets their timers, and
// purges closed programs above the limit.
func (m *StateMachine) update(p *program) {
	for p != nil {
		if p.Status != ProgramOpen && p.Running == nil && len(p.Superseded) == 0 {
			m.releases.markDue(p)
		}
		parent := m.close(p)
		m.reschedule(p)
		p = parent
	}
	m.purgeExcess()
}

// close closes an ended program whose cost is final and charges the cost to its
// parent. It returns the parent if that has changed, else nil.
func (m *StateMachine) close(p *program) *program {
	if p.Closed || p.Status == ProgramOpen || p.Running != nil || len(p.Superseded) > 0 || p.Children > 0 {
		return nil
	}
	p.Closed, p.ClosedAt = true, m.clock
	m.closed.Set(timer{p.ClosedAt, p.ID})
	parent := m.programs[p.Parent]
	if parent == nil {
		return nil
	}
	parent.Children--
	parent.settle(p.Budget, p.Spent)
	parent.Touched = m.clock
	return parent
}

// unknownProgram returns the refusal of a request for a program that is not in
// the state. Once any program has been removed, the id may be that of a removed
// program, which may have run calls.
func (m *StateMachine) unknownProgram(id string) *Refusal {
	v := verdict.NotRun
	if m.removedPrograms > 0 {
		v = verdict.MayHaveRun
	}
	return newRefusal(v, verdict.UnknownProgram, "program %q is unknown", id)
}

// purgedRefusal returns the refusal of a request that needs purged call records.
// One of them may have been the record of the requested call, so the verdict is
// may-have-run.
func (p *program) purgedRefusal() *Refusal {
	return newRefusal(verdict.MayHaveRun, verdict.ProgramEnded,
		"program %q is %s and its records are no longer kept", p.ID, p.Status)
}

func (p *program) state() *ProgramState {
	return &ProgramState{
		Program: p.ID, Team: p.Team, Class: p.Class, Status: p.Status, Reason: p.Reason,
		Budget: p.Budget, Spent: p.Spent, Reserved: p.Reserved, Deadline: p.Deadline,
		Parent: p.Parent, Calls: p.CallCount, HistoryLength: len(p.History), LastServer: p.LastServer,
	}
}
