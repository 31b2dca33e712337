package ledger

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// Guards against a call that is granted while another runs, is missing from the
// history, or whose resend does not get the recorded answer.
func TestCallOfAProgram(t *testing.T) {
	m := New()
	openTestProgram(t, m, "p", Budget{Tokens: 100, Calls: 2})
	r := m.ApplyCommand(2, openTestCall("p", "k1", 60))
	assert.Assert(t, r.Call.Granted)
	r = m.ApplyCommand(3, openTestCall("p", "k2", 10))
	assert.Equal(t, r.Refusal.Reason, verdict.CallInProgress)
	assert.Equal(t, r.Call.Call, 1)

	m.ApplyCommand(4, Command{MarkSent: &MarkSent{Program: "p", Call: 1, Attempt: 1, Server: "s1", ServerIncarnation: "i1"}})
	settle := Command{SettleCall: &SettleCall{
		Program: "p", Call: 1, Attempt: 1, Status: CallOK, Tokens: 40,
		Answer: json.RawMessage(`"sized"`), History: []Message{{"assistant", "sized"}},
	}}
	for range 2 {
		r = m.ApplyCommand(5, settle)
		assert.Assert(t, r.Refusal == nil)
		assert.Equal(t, r.Call.Verdict, verdict.Ran)
	}
	r = m.ApplyCommand(6, openTestCall("p", "k1", 60))
	assert.Assert(t, !r.Call.Granted)
	assert.Equal(t, string(r.Call.Answer), `"sized"`)
	r = m.ApplyCommand(7, openTestCall("p", "k2", 61))
	assert.Equal(t, r.Refusal.Reason, verdict.BudgetExceeded)

	q := m.Answer(Query{History: &HistoryQuery{Program: "p", Team: "team"}})
	assert.DeepEqual(t, q.History, []Message{{"user", "k1"}, {"assistant", "sized"}})
	m.ApplyCommand(8, Command{EndProgram: &EndProgram{Program: "p", Team: "team", Status: ProgramDone}})
	q = m.Answer(Query{Releases: &ReleasesQuery{}})
	assert.DeepEqual(t, q.Releases, []Release{{"s1", "i1", "p"}})
}

// Guards against a snapshot that loses state.
func TestSnapshotRestore(t *testing.T) {
	m := New()
	openTestProgram(t, m, "p", Budget{Tokens: 100, Calls: 2})
	m.ApplyCommand(2, openTestCall("p", "k1", 60))
	var first, second bytes.Buffer
	assert.NilError(t, m.Snapshot(&first))
	n := New()
	assert.NilError(t, n.Restore(bytes.NewReader(first.Bytes())))
	assert.NilError(t, n.Snapshot(&second))
	assert.Equal(t, first.String(), second.String())
}

func openTestProgram(t *testing.T, m *StateMachine, id string, budget Budget) {
	t.Helper()
	r := m.ApplyCommand(1, Command{OpenProgram: &OpenProgram{
		Program: id, Team: "team", Class: Standard, Budget: budget, Key: "open",
	}})
	assert.Assert(t, r.Refusal == nil, "%+v", r.Refusal)
}

func openTestCall(program, key string, worstCaseTokens int64) Command {
	return Command{OpenCall: &OpenCall{
		Program: program, Team: "team", Key: key, Fingerprint: key, Kind: ModelCall, Name: "model",
		Idempotent: true, WorstCaseTokens: worstCaseTokens, Host: "h1", HostIncarnation: "1",
		Messages: []Message{{"user", key}},
	}}
}

// Guards against a caller that can never run an unsent call, because every
// resend gets the old not-run record, and against a late duplicate of the first
// proposal that opens a call which no host runs.
func TestResendOfAnUnsentCallRunsAgain(t *testing.T) {
	m := New()
	openTestProgram(t, m, "p", Budget{Tokens: 100, Calls: 2})
	first := openTestCall("p", "k", 60)
	first.OpenCall.Request = "r1"
	m.ApplyCommand(2, first)
	m.ApplyCommand(3, Command{SettleCall: &SettleCall{Program: "p", Call: 1, Attempt: 1, Status: CallNotSent}})

	late := m.ApplyCommand(4, first)
	assert.Assert(t, !late.Call.Granted)
	assert.Equal(t, late.Call.Status, CallNotSent)

	resend := openTestCall("p", "k", 60)
	resend.OpenCall.Request = "r2"
	again := m.ApplyCommand(5, resend)
	assert.Assert(t, again.Call.Granted)
	assert.Equal(t, again.Call.Call, 2)
}

// Guards against a non-idempotent call that is sent to a second server although
// the first server may have run it.
func TestNonIdempotentCallMovesOnlyWhenUnsent(t *testing.T) {
	m := New()
	openTestProgram(t, m, "p", Budget{Tokens: 100, Calls: 2})
	open := openTestCall("p", "k", 0)
	open.OpenCall.Kind, open.OpenCall.Idempotent = ToolCall, false
	m.ApplyCommand(2, open)
	mark := func(server string, unsent bool) *Refusal {
		c := MarkSent{Program: "p", Call: 1, Attempt: 1, Server: server, ServerIncarnation: "i", PreviousUnsent: unsent}
		return m.ApplyCommand(3, Command{MarkSent: &c}).Refusal
	}
	assert.Assert(t, mark("s1", false) == nil)
	assert.Equal(t, mark("s2", false).Reason, verdict.OutcomeUnknown)
	assert.Assert(t, mark("s2", true) == nil)
	assert.Equal(t, mark("s1", false).Reason, verdict.OutcomeUnknown)
}

// Guards against commands that change a captured state while it is written.
// Only the race detector finds all such changes.
func TestCaptureWhileApplying(t *testing.T) {
	m := New()
	fill(m, 50, 3)
	for i := range 50 {
		recordTestStream(m, 2, benchID(i), "v1", 10)
	}
	var want, got bytes.Buffer
	assert.NilError(t, m.Snapshot(&want))
	write := m.Capture()
	done := make(chan error)
	go func() { done <- write(&got) }()
	for i := range 50 {
		for _, c := range benchTurn(benchID(i), 3, "more") {
			m.ApplyCommand(3, c)
		}
		m.ApplyCommand(4, Command{EndProgram: &EndProgram{Program: benchID(i), Status: ProgramDone}})
		recordTestStream(m, 4, benchID(i), "v2", 10)
	}
	assert.NilError(t, <-done)
	assert.Equal(t, got.String(), want.String())
}

func ExampleGroupOf() {
	fmt.Println(GroupOf("fit-1", 4) == GroupOf("fit-1~measure~chest", 4))
	// Output: true
}
