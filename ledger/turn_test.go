package ledger

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoreline/sycamoreline/verdict"
)

func reserveTestTurn(m *StateMachine, now int64, turn, previous string, budget, maxTokens int64) Result {
	return m.ApplyCommand(now, Command{ReserveTurn: &ReserveTurn{Program: "p", Turn: turn, Previous: previous, Budget: budget, MaxTokens: maxTokens}})
}

func settleTestTurn(m *StateMachine, now int64, turn string, tokens int64, keep *KeptTurn) Result {
	return m.ApplyCommand(now, Command{SettleTurn: &SettleTurn{Program: "p", Turn: turn, Tokens: tokens, Keep: keep}})
}

// Guards against concurrent turns that exceed the budget of their program, also
// with duplicate reservations and settlements, missing settlements, and
// restores from a snapshot.
func TestTurnsStayInBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		budget := rapid.Int64Range(0, 1000).Draw(t, "budget")
		granted := map[string]int64{} // reserved tokens by running turn
		spent, now := int64(0), int64(0)
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += rapid.Int64Range(0, 5000).Draw(t, "pause")
			switch rapid.SampledFrom([]string{"reserve", "again", "settle", "settle-twice", "restore"}).Draw(t, "step") {
			case "reserve":
				turn, maxTokens := fmt.Sprint("t", i), rapid.Int64Range(0, 400).Draw(t, "most")
				r := reserveTestTurn(m, now, turn, "", budget, maxTokens)
				fits := spent+sum(granted)+maxTokens <= budget
				assert.Equal(t, r.Refusal == nil, fits)
				if fits {
					granted[turn] = maxTokens
				} else {
					assert.Equal(t, r.Refusal.Verdict, verdict.NotRun)
					assert.Equal(t, r.Refusal.Reason, verdict.BudgetExceeded)
				}
			case "again":
				for turn, maxTokens := range granted {
					assert.Assert(t, reserveTestTurn(m, now, turn, "", budget, maxTokens).Refusal == nil)
				}
			case "settle", "settle-twice":
				for turn, maxTokens := range granted {
					used := rapid.Int64Range(0, maxTokens).Draw(t, "used")
					settleTestTurn(m, now, turn, used, nil)
					settleTestTurn(m, now, turn, used, nil)
					spent += used
					delete(granted, turn)
					break
				}
			case "restore":
				m = restored(t, m)
			}
			assert.Assert(t, spent+sum(granted) <= budget)
		}
	})
}

func sum(m map[string]int64) (n int64) {
	for _, v := range m {
		n += v
	}
	return n
}

// testingT is the part of *testing.T and *rapid.T that assertions need.
type testingT interface {
	Log(args ...any)
	FailNow()
	Fail()
}

func restored(t testingT, m *StateMachine) *StateMachine {
	var b bytes.Buffer
	assert.NilError(t, m.Snapshot(&b))
	n := New()
	assert.NilError(t, n.Restore(bytes.NewReader(b.Bytes())))
	var again bytes.Buffer
	assert.NilError(t, n.Snapshot(&again))
	assert.Equal(t, b.String(), again.String())
	return n
}

// Guards against a conversation that loses a turn, mixes branches, or expires
// before its newest turn.
func TestChain(t *testing.T) {
	m := New()
	keep := func(now int64, turn, previous string) {
		assert.Assert(t, reserveTestTurn(m, now, turn, previous, 1000, 1).Refusal == nil)
		settleTestTurn(m, now, turn, 1, &KeptTurn{Previous: previous, Input: []byte("in-" + turn + ";"), Output: []byte("out-" + turn + ";"), Retention: 60_000})
	}
	keep(0, "a", "")
	keep(1000, "b", "a")
	keep(2000, "c", "a") // another branch
	m = restored(t, m)
	chain, ok := m.Chain("b")
	assert.Assert(t, ok)
	assert.Equal(t, string(chain), "in-a;out-a;in-b;out-b;")
	chain, _ = m.Chain("c")
	assert.Equal(t, string(chain), "in-a;out-a;in-c;out-c;")

	// The first turn expires with the newest turn of its chain.
	assert.Assert(t, reserveTestTurn(m, 61_500, "d", "c", 1000, 1).Refusal == nil)
	r := reserveTestTurn(m, 61_500, "e", "b", 1000, 1)
	assert.Equal(t, r.Refusal.Reason, UnknownTurn)
	r = reserveTestTurn(m, 61_500, "f", "never", 1000, 1)
	assert.Equal(t, r.Refusal.Verdict, verdict.NotRun)
}

// Guards against expired turns and accounts that are never removed, and against
// an account that is removed while its program may still be continued.
func TestExpiredTurnsAreRemoved(t *testing.T) {
	m := New()
	reserveTestTurn(m, 0, "a", "", 10, 5)
	settleTestTurn(m, 0, "a", 5, &KeptTurn{Input: []byte("x"), Retention: 1000})
	r := m.ApplyCommand(60_000, Command{ReserveTurn: &ReserveTurn{Program: "q", Turn: "z", Budget: 1, MaxTokens: 1}})
	assert.Assert(t, r.Refusal == nil)
	assert.Equal(t, len(m.turns.kept), 0)
	assert.Equal(t, reserveTestTurn(m, 60_000, "b", "", 10, 6).Refusal.Reason, verdict.BudgetExceeded)
	m.ApplyCommand(60_000+2*accountRetention, Command{ReserveTurn: &ReserveTurn{Program: "q", Turn: "y", Budget: 1, MaxTokens: 0}})
	assert.Equal(t, len(m.turns.accounts), 1)
}

// Guards against a replica that keeps an account or a turn longer than the
// others, or removes it before them, because it was restored from a snapshot
// after they swept.
func TestRestoredReplicaSweepsWithTheOthers(t *testing.T) {
	const start = 1_000_000
	tests := []struct {
		name    string
		expires int64 // from start
		command Command
	}{
		{"account", accountRetention, Command{ReserveTurn: &ReserveTurn{Program: "p", Turn: "b", Budget: 10, MaxTokens: 1}}},
		{"account settled", accountRetention, Command{SettleTurn: &SettleTurn{Program: "p", Turn: "a", Tokens: 1}}},
		{"previous turn", 1000, Command{ReserveTurn: &ReserveTurn{Program: "q", Turn: "b", Previous: "a", Budget: 10, MaxTokens: 1}}},
		{"stored turn", 1000 + sweepInterval, Command{SettleTurn: &SettleTurn{
			Program: "p", Turn: "a", Keep: &KeptTurn{Output: []byte("x"), Retention: 60_000},
		}}},
	}
	for _, tt := range tests {
		for sinceSweep := int64(1); sinceSweep < sweepInterval; sinceSweep += 999 {
			m := New()
			reserveTestTurn(m, start, "a", "", 10, 5)
			settleTestTurn(m, start, "a", 5, &KeptTurn{Output: []byte("x"), Retention: 1000})
			m.ApplyCommand(start+tt.expires-sinceSweep, Command{ExtendTurn: &ExtendTurn{Turn: "other"}})
			n := restored(t, m)
			now := start + tt.expires + 1
			assert.DeepEqual(t, n.ApplyCommand(now, tt.command), m.ApplyCommand(now, tt.command))
			var got, want bytes.Buffer
			assert.NilError(t, n.Snapshot(&got))
			assert.NilError(t, m.Snapshot(&want))
			assert.Equal(t, got.String(), want.String(), "%s, %d ms after a sweep", tt.name, sinceSweep)
		}
	}
}

// Guards against a session whose prompt is computed again on another server
// because a reservation does not return the last server of the session.
func TestLastServerOfASession(t *testing.T) {
	m := New()
	reserve := func(turn, session string) string {
		r := m.ApplyCommand(1, Command{ReserveTurn: &ReserveTurn{Program: "p", Turn: turn, Session: session, Budget: 100, MaxTokens: 1}})
		assert.Assert(t, r.Refusal == nil)
		return r.Turn.LastServer
	}
	settle := func(turn, session, server string) {
		m.ApplyCommand(1, Command{SettleTurn: &SettleTurn{Program: "p", Turn: turn, Session: session, Server: server}})
	}
	assert.Equal(t, reserve("a", "main"), "")
	settle("a", "main", "s1")
	assert.Equal(t, reserve("b", "helper"), "s1") // a new session begins with the prompt of its program's last turn
	settle("b", "helper", "s2")
	m = restored(t, m)
	assert.Equal(t, reserve("c", "main"), "s1")
	settle("c", "main", "") // failed turns report no server
	assert.Equal(t, reserve("d", "main"), "s1")
	assert.Equal(t, reserve("e", "helper"), "s2")
}
