package ledger

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// scenario applies commands to a state machine with one open program, "p".
type scenario struct {
	t   *testing.T
	m   *StateMachine
	now int64
}

func newScenario(t *testing.T, budget Budget) *scenario {
	s := &scenario{t, New(WithSettleGrace(time.Second), WithCallTimeout(10*time.Second)), 1}
	openTestProgram(t, s.m, "p", budget)
	return s
}

func (s *scenario) apply(c Command) Result { return s.m.ApplyCommand(s.now, c) }

func (s *scenario) openCall(program, key string, worstCaseTokens int64, idempotent bool) Result {
	c := openTestCall(program, key, worstCaseTokens)
	c.OpenCall.Idempotent = idempotent
	return s.apply(c)
}

func (s *scenario) openSubProgram(parent, id string, budget Budget) {
	s.t.Helper()
	r := s.apply(Command{OpenProgram: &OpenProgram{
		Program: id, Team: "team", Class: Standard, Budget: budget, Key: "open", Parent: parent,
	}})
	assert.Assert(s.t, r.Refusal == nil, "%+v", r.Refusal)
}

func (s *scenario) mark(program string, number, attempt int, server string) Result {
	return s.apply(Command{MarkSent: &MarkSent{Program: program, Call: number, Attempt: attempt, Server: server, ServerIncarnation: "1", Request: ""}})
}

func (s *scenario) settle(program string, number, attempt int, status CallStatus, tokens int64) Result {
	return s.apply(Command{SettleCall: &SettleCall{
		Program: program, Call: number, Attempt: attempt, Status: status, Tokens: tokens, Verdict: verdict.NotRun,
	}})
}

func (s *scenario) takeOver(number, attempt int) Result {
	return s.apply(Command{TakeOver: &TakeOver{Program: "p", Call: number, Attempt: attempt, Host: "h2", HostIncarnation: "1"}})
}

func (s *scenario) end(program string) {
	s.apply(Command{EndProgram: &EndProgram{Program: program, Status: ProgramDone}})
}

func (s *scenario) tickAt(now int64) {
	s.now = now
	s.apply(Command{Tick: &Tick{}})
}

func (s *scenario) program(id string) ProgramState {
	s.t.Helper()
	q := s.m.Answer(Query{Program: &ProgramQuery{Program: id}})
	assert.Assert(s.t, q.Program != nil, "%+v", q.Refusal)
	return *q.Program
}

func (s *scenario) releases() int {
	return len(s.m.Answer(Query{Releases: &ReleasesQuery{}}).Releases)
}

// Guards against releasing the reservation of a superseded attempt before its
// true cost is reported.
func TestLostAttemptStaysReserved(t *testing.T) {
	s := newScenario(t, Budget{Tokens: 100, Calls: 5})
	s.openCall("p", "k1", 30, true)
	s.mark("p", 1, 1, "s1")
	assert.Equal(t, s.takeOver(1, 1).Call.Attempt, 2)
	assert.Equal(t, s.program("p").Reserved, Budget{Tokens: 60, Calls: 1})
	s.settle("p", 1, 2, CallOK, 10)
	assert.Equal(t, s.program("p").Reserved, Budget{Tokens: 30})
	assert.Equal(t, s.openCall("p", "k2", 61, true).Refusal.Reason, verdict.BudgetExceeded)
	late := s.settle("p", 1, 1, CallOK, 20)
	assert.Equal(t, late.Refusal.Reason, verdict.StaleAttempt)
	assert.Equal(t, s.program("p").Reserved, Budget{})
	assert.Equal(t, s.program("p").Spent, Budget{Tokens: 30, Calls: 1})
}

// Guards against a superseded attempt whose cost is never reported and whose
// reservation is held for ever, or released without a charge.
func TestLostAttemptIsBounded(t *testing.T) {
	s := newScenario(t, Budget{Tokens: 100, Calls: 5})
	s.openCall("p", "k1", 30, true)
	s.takeOver(1, 1)
	s.settle("p", 1, 2, CallOK, 10)
	s.tickAt(11_000)
	assert.Equal(t, s.program("p").Reserved, Budget{Tokens: 30})
	s.tickAt(11_001)
	assert.Equal(t, s.program("p").Reserved, Budget{})
	assert.Equal(t, s.program("p").Spent, Budget{Tokens: 40, Calls: 1})
	s.settle("p", 1, 1, CallOK, 20)
	assert.Equal(t, s.program("p").Spent, Budget{Tokens: 40, Calls: 1})
}

// Guards against a hung call that blocks its program for ever, and against one
// that is recorded as not run although it may have been sent.
func TestHungCall(t *testing.T) {
	for _, c := range []struct {
		name             string
		idempotent, sent bool
		status           CallStatus
		verdict          verdict.Verdict
		spent            Budget
	}{
		{"sent", false, true, CallUnknown, verdict.MayHaveRun, Budget{30, 1}},
		{"not marked", false, false, CallNotSent, verdict.NotRun, Budget{}},
		{"idempotent, not marked", true, false, CallUnknown, verdict.MayHaveRun, Budget{30, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScenario(t, Budget{Tokens: 100, Calls: 5})
			s.openCall("p", "k1", 30, c.idempotent)
			if c.sent {
				s.mark("p", 1, 1, "s1")
			}
			s.tickAt(11_001)
			r := s.openCall("p", "k1", 30, c.idempotent)
			assert.Equal(t, r.Call.Status, c.status)
			assert.Equal(t, r.Call.Verdict, c.verdict)
			assert.Equal(t, s.program("p").Spent, c.spent)
			assert.Assert(t, s.settle("p", 1, 1, CallOK, 1).Refusal != nil)
			assert.Assert(t, s.openCall("p", "k2", 30, true).Call.Granted)
		})
	}
}

// Guards against a sub-program whose cost is not charged to its ancestors when
// they end before it, and against an ancestor that releases its reservation
// while a call of a descendant is running.
func TestSubProgramsAreCharged(t *testing.T) {
	s := newScenario(t, Budget{Tokens: 100, Calls: 10})
	s.openSubProgram("p", "p/a", Budget{Tokens: 60, Calls: 5})
	s.openSubProgram("p/a", "p/a/b", Budget{Tokens: 40, Calls: 3})
	s.openCall("p/a/b", "k", 20, true)
	s.end("p")
	s.end("p/a")
	assert.Equal(t, s.program("p").Reserved, Budget{Tokens: 60, Calls: 5})
	s.settle("p/a/b", 1, 1, CallOK, 15)
	assert.Equal(t, s.program("p").Reserved, Budget{Tokens: 60, Calls: 5})
	s.end("p/a/b")
	assert.Equal(t, s.program("p").Reserved, Budget{})
	assert.Equal(t, s.program("p/a").Spent, Budget{Tokens: 15, Calls: 1})
	assert.Equal(t, s.program("p").Spent, Budget{Tokens: 15, Calls: 1})
}

// Guards against calls that are started or sent for an ended program, and
// against engine memory that is released while an attempt may still allocate it.
func TestEndedProgram(t *testing.T) {
	s := newScenario(t, Budget{Tokens: 100, Calls: 10})
	s.openCall("p", "k1", 20, false)
	s.mark("p", 1, 1, "s1")
	s.end("p")
	assert.Equal(t, s.releases(), 0)
	assert.Equal(t, s.openCall("p", "k2", 20, true).Refusal.Reason, verdict.ProgramEnded)
	s.settle("p", 1, 1, CallOK, 5)
	assert.Equal(t, s.releases(), 1)

	s = newScenario(t, Budget{Tokens: 100, Calls: 10})
	s.openCall("p", "k1", 20, false)
	s.end("p")
	r := s.mark("p", 1, 1, "s1")
	assert.Equal(t, r.Refusal.Reason, verdict.ProgramEnded)
	assert.Equal(t, r.Refusal.Verdict, verdict.NotRun)
}

// Guards against release records that are removed by a confirmation for an open
// program, are added for a server that is gone, or are lost when their program
// is removed.
func TestReleaseRecords(t *testing.T) {
	s := newScenario(t, Budget{Tokens: 100, Calls: 10})
	s.openCall("p", "k1", 20, true)
	s.mark("p", 1, 1, "s1")
	s.apply(Command{ReleaseConfirmed: &ReleaseConfirmed{"s1", "1", "p"}})
	s.apply(Command{ServerGone: &ServerGone{"s2", "1"}})
	assert.Equal(t, s.mark("p", 1, 1, "s2").Refusal.Reason, verdict.NoServer)
	s.settle("p", 1, 1, CallOK, 5)
	s.end("p")
	for range 3 {
		s.tickAt(s.now + (25 * time.Hour).Milliseconds())
	}
	q := s.m.Answer(Query{Program: &ProgramQuery{Program: "p"}})
	assert.Equal(t, q.Refusal.Reason, verdict.UnknownProgram)
	assert.Equal(t, s.releases(), 1)
	s.apply(Command{ReleaseConfirmed: &ReleaseConfirmed{"s1", "1", "p"}})
	assert.Equal(t, s.releases(), 0)
}

// Guards against the verdict not-run for a failed call of which an earlier
// attempt may have run.
func TestVerdictAfterTakeOver(t *testing.T) {
	for _, status := range []CallStatus{CallFailed, CallNotSent} {
		s := newScenario(t, Budget{Tokens: 100, Calls: 10})
		s.openCall("p", "k1", 20, true)
		s.takeOver(1, 1)
		assert.Equal(t, s.settle("p", 1, 2, status, 0).Call.Verdict, verdict.MayHaveRun)
	}
}

// Guards against a passed deadline that becomes valid again under a leader with
// a slow clock, and against a deadline that is enforced only by ticks.
func TestDeadline(t *testing.T) {
	s := newScenario(t, Budget{Tokens: 100, Calls: 10})
	s.apply(Command{OpenProgram: &OpenProgram{Program: "q", Team: "team", Key: "k", Deadline: 50}})
	s.now = 60
	assert.Equal(t, s.openCall("q", "k1", 0, true).Refusal.Reason, verdict.DeadlineExceeded)
	s.now = 40
	assert.Equal(t, s.openCall("q", "k1", 0, true).Refusal.Reason, verdict.DeadlineExceeded)
	late := Command{OpenProgram: &OpenProgram{Program: "r", Team: "team", Key: "k", Deadline: 50}}
	assert.Equal(t, s.apply(late).Refusal.Reason, verdict.DeadlineExceeded)
}

// Guards against accepting a reused key of a call or a program with a different
// body.
func TestKeyReused(t *testing.T) {
	s := newScenario(t, Budget{Tokens: 100, Calls: 10})
	s.openCall("p", "k1", 20, true)
	c := openTestCall("p", "k1", 20)
	c.OpenCall.Fingerprint = "other"
	assert.Equal(t, s.apply(c).Refusal.Reason, verdict.KeyReused)
	open := func(key string, tokens int64) Result {
		return s.apply(Command{OpenProgram: &OpenProgram{Program: "p", Team: "team", Key: key, Budget: Budget{tokens, 10}}})
	}
	assert.Equal(t, open("open", 99).Refusal.Reason, verdict.KeyReused)
	assert.Equal(t, open("k", 100).Refusal.Reason, verdict.ProgramExists)
	assert.Assert(t, open("open", 100).Refusal == nil)
}

// Guards against a program that stays open after its caller has crashed.
func TestIdleProgram(t *testing.T) {
	m := New(WithIdleTimeout(time.Second))
	openTestProgram(t, m, "p", Budget{})
	m.ApplyCommand(1_000, Command{Tick: &Tick{}})
	assert.Equal(t, m.Answer(Query{Program: &ProgramQuery{Program: "p"}}).Program.Status, ProgramOpen)
	m.ApplyCommand(1_001, Command{Tick: &Tick{}})
	assert.Equal(t, m.Answer(Query{Program: &ProgramQuery{Program: "p"}}).Program.Status, ProgramExpired)
}

// Guards against a late open-program that starts an ended program again, without
// its records, after these were purged.
func TestEndedProgramDoesNotStartAgain(t *testing.T) {
	m := New(WithRetention(time.Second, 10))
	open := Command{OpenProgram: &OpenProgram{Program: "p", Team: "team", Key: "k", Deadline: 10_000}}
	m.ApplyCommand(1, open)
	m.ApplyCommand(2, Command{EndProgram: &EndProgram{Program: "p", Status: ProgramDone}})
	m.ApplyCommand(5_000, Command{Tick: &Tick{}})
	assert.Equal(t, m.ApplyCommand(5_000, open).Program.Status, ProgramDone)
	r := m.ApplyCommand(5_000, openTestCall("p", "k1", 0))
	assert.Equal(t, r.Refusal.Reason, verdict.ProgramEnded)
	assert.Equal(t, r.Refusal.Verdict, verdict.MayHaveRun)
	assert.Equal(t, m.Answer(Query{History: &HistoryQuery{Program: "p"}}).Refusal.Reason, verdict.ProgramEnded)
	m.ApplyCommand(10_000, Command{Tick: &Tick{}})
	assert.Equal(t, len(m.programs), 0)
	assert.Equal(t, m.ApplyCommand(10_000, open).Refusal.Reason, verdict.DeadlineExceeded)
}

// Guards against a replica that is restored between a take-over and its
// settlements, and then gives other results than the replicas that were not
// restored.
func TestRestoreInTheMiddleOfATakeOver(t *testing.T) {
	s := newScenario(t, Budget{Tokens: 100, Calls: 10})
	s.openCall("p", "k1", 20, true)
	s.mark("p", 1, 1, "s1")
	s.takeOver(1, 1)
	var snapshot bytes.Buffer
	assert.NilError(t, s.m.Snapshot(&snapshot))
	restored := &scenario{t, New(), s.now}
	assert.NilError(t, restored.m.Restore(&snapshot))
	for _, r := range []*scenario{s, restored} {
		assert.Equal(t, r.settle("p", 1, 2, CallNotSent, 0).Call.Verdict, verdict.MayHaveRun)
		r.settle("p", 1, 1, CallOK, 7)
		r.end("p")
		assert.Equal(t, r.program("p").Spent, Budget{Tokens: 7, Calls: 1})
		assert.Equal(t, r.releases(), 1)
	}
}
