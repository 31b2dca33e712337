package ledger

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// takeUp returns a turn that continues a stream after the last event that the
// caller has received.
func takeUp(turn, stream string, budget, maxTokens int64) Command {
	return Command{ReserveTurn: &ReserveTurn{
		Program: "p", Turn: turn, Budget: budget, MaxTokens: maxTokens, Resumes: stream, Continues: true, TokensPerEvent: 1,
	}}
}

func firstTurn(turn string, budget, maxTokens int64) Command {
	return Command{ReserveTurn: &ReserveTurn{Program: "p", Turn: turn, Budget: budget, MaxTokens: maxTokens, TokensPerEvent: 1}}
}

func settlement(turn string, tokens int64) Command {
	return Command{SettleTurn: &SettleTurn{Program: "p", Turn: turn, Tokens: tokens}}
}

// Guards against a stream of a lost host that cannot be taken up because the
// budget does not hold its tokens twice, and against tokens of a stream that no
// reservation covers.
func TestReservationOfStreamThatIsTakenUp(t *testing.T) {
	restart := takeUp("b", "a", 10, 8)
	restart.ReserveTurn.Continues = false
	otherService := takeUp("b", "a", 10, 8)
	otherService.ReserveTurn.TokensPerEvent = 2
	unknownService := takeUp("b", "a", 10, 8)
	unknownService.ReserveTurn.TokensPerEvent = 0
	otherProgram := takeUp("b", "a", 7, 8)
	otherProgram.ReserveTurn.Program = "q"
	first := firstTurn("a", 10, 8)
	tests := []struct {
		name     string
		commands []Command
		refused  bool // the last command
		spent    int64
		reserved int64
	}{
		{"host lost", []Command{first, takeUp("b", "a", 10, 8)}, false, 0, 8},
		{"taken up whole", []Command{first, takeUp("b", "a", 10, 8), settlement("b", 5)}, false, 5, 3},
		{"second host lost", []Command{first, takeUp("b", "a", 10, 8), takeUp("c", "a", 10, 8)}, false, 0, 8},
		{"broken off again", []Command{first, takeUp("b", "a", 10, 8), settlement("b", 3), takeUp("c", "a", 10, 8)}, false, 3, 5},
		{"not run", []Command{first, takeUp("b", "a", 10, 8), settlement("b", 0), takeUp("c", "a", 10, 8)}, false, 0, 8},
		{"not run, then another turn", []Command{first, takeUp("b", "a", 10, 8), settlement("b", 0), firstTurn("c", 10, 8)}, true, 0, 8},
		{"host alive, settles first", []Command{first, settlement("a", 4), takeUp("b", "a", 10, 8)}, true, 4, 0},
		{"host alive, settles first, budget left", []Command{first, settlement("a", 4), takeUp("b", "a", 12, 8), takeUp("c", "a", 12, 8)}, false, 4, 8},
		{"host alive, settles in between", []Command{first, takeUp("b", "a", 10, 8), settlement("a", 4)}, false, 4, 4},
		{"host alive, settles in between, host lost", []Command{first, takeUp("b", "a", 10, 8), settlement("a", 4), takeUp("c", "a", 10, 8)}, false, 4, 4},
		{"host alive, settles last", []Command{first, takeUp("b", "a", 10, 8), settlement("b", 5), settlement("a", 4)}, false, 9, 0},
		{"taken up with more tokens", []Command{first, takeUp("b", "a", 10, 10)}, false, 0, 10},
		{"taken up with too many tokens", []Command{first, takeUp("b", "a", 10, 11)}, true, 0, 8},
		{"taken up with fewer tokens", []Command{first, takeUp("b", "a", 10, 4), settlement("b", 1)}, false, 1, 7},
		{"more tokens, after a settlement", []Command{first, takeUp("b", "a", 10, 8), settlement("b", 3), takeUp("c", "a", 10, 10)}, false, 3, 7},
		{"from the start", []Command{first, restart}, true, 0, 8},
		{"events of another size", []Command{first, otherService}, true, 0, 8},
		{"events of unknown size", []Command{first, unknownService}, true, 0, 8},
		{"of another program", []Command{first, otherProgram}, true, 0, 0},
		{"stream unknown", []Command{takeUp("b", "a", 10, 8), firstTurn("c", 10, 8)}, true, 0, 8},
		{"repeated", []Command{first, takeUp("b", "a", 10, 8), takeUp("b", "a", 10, 8), first, settlement("b", 5), settlement("b", 5)}, false, 5, 3},
		{"late reservation", []Command{first, takeUp("b", "a", 10, 8), settlement("b", 5), takeUp("b", "a", 10, 8), settlement("a", 2)}, false, 7, 1},
	}
	for _, tt := range tests {
		for _, restores := range []bool{false, true} {
			m := New()
			var r Result
			for _, c := range tt.commands {
				assert.Assert(t, r.Refusal == nil, tt.name)
				r = m.ApplyCommand(1, c)
				if restores {
					m = restored(t, m)
				}
			}
			if tt.refused {
				assert.Assert(t, r.Refusal != nil, tt.name)
				assert.Equal(t, r.Refusal.Verdict, verdict.NotRun, tt.name)
				assert.Equal(t, r.Refusal.Reason, verdict.BudgetExceeded, tt.name)
			} else {
				assert.Assert(t, r.Refusal == nil, tt.name)
			}
			assert.Equal(t, r.Turn.Spent, tt.spent, tt.name)
			assert.Equal(t, r.Turn.Reserved, tt.reserved, tt.name)
		}
	}
}

// Guards against reservations that are lost, or that cannot be settled, because
// the snapshot was written by a version without shared reservations, and against
// take-ups that share such a reservation although the size of its events is not
// known.
func TestSnapshotsWithoutSharedReservations(t *testing.T) {
	m := New()
	assert.NilError(t, m.Restore(strings.NewReader(`{"version":1,"clock":5,"programs":0,"forgotten":0,"accounts":1}
{"program":"p","spent":1,"reserved":{"a":8,"b":0},"used-at":5}
`)))
	r := m.ApplyCommand(6, takeUp("c", "a", 10, 8))
	assert.Equal(t, r.Refusal.Reason, verdict.BudgetExceeded)
	m = restored(t, m)
	assert.DeepEqual(t, m.ApplyCommand(6, firstTurn("a", 10, 8)).Turn, &TurnState{Turn: "a", Spent: 1, Reserved: 8})
	assert.DeepEqual(t, m.ApplyCommand(6, settlement("a", 3)).Turn, &TurnState{Turn: "a", Spent: 4})
	assert.DeepEqual(t, m.ApplyCommand(6, settlement("b", 2)).Turn, &TurnState{Turn: "b", Spent: 6})
}

// Guards against a turn that shares a reservation without naming its stream.
func TestInvalidTakeUps(t *testing.T) {
	tests := []struct {
		name    string
		command ReserveTurn
	}{
		{"no stream", ReserveTurn{Continues: true, TokensPerEvent: 1}},
		{"negative tokens per event", ReserveTurn{Resumes: "a", Continues: true, TokensPerEvent: -1}},
	}
	for _, tt := range tests {
		m := New()
		tt.command.Program, tt.command.Turn = "p", "b"
		r := m.ApplyCommand(1, Command{ReserveTurn: &tt.command})
		assert.Equal(t, r.Refusal.Reason, verdict.BadRequest, tt.name)
		assert.Equal(t, len(m.turns.accounts), 0, tt.name)
	}
}

// takeUpTest plays the turns of one program on several entry hosts. Its clients
// know how many tokens they have received; each token is one event.
type takeUpTest struct {
	m        *StateMachine
	now      int64
	budget   int64
	received int64 // tokens that clients have received in all turns
	turns    []*testTurn
	streams  []*testStream
	sent     []Command // commands that the network may deliver once more
	unsent   []Command // settlements that have not been delivered yet
	settled  map[string]bool
}

// testStream is a stream as its client knows it.
type testStream struct {
	id       string // of the request that began it
	received int64
	turn     *testTurn   // whose answer the client reads, or nil
	turns    []*testTurn // that were reserved from its start, or for its rest
}

// testTurn is an answer on an entry host.
type testTurn struct {
	id        string
	host      int
	stream    *testStream
	maxTokens int64
	next      int64 // token that it passes on next
	handed    int64 // tokens that its host has counted
	running   bool
}

const takeUpTestHosts = 3

// reserve begins a turn and returns whether it is reserved.
func (s *takeUpTest) reserve(t *rapid.T, stream *testStream, c *ReserveTurn) bool {
	c.Program, c.Turn, c.Budget, c.TokensPerEvent = "p", fmt.Sprint("turn-", len(s.turns)), s.budget, 1
	if stream.id == "" {
		stream.id = c.Turn
	}
	turn := &testTurn{id: c.Turn, host: rapid.IntRange(0, takeUpTestHosts-1).Draw(t, "host"), stream: stream, maxTokens: c.MaxTokens, next: stream.received}
	s.turns = append(s.turns, turn)
	command := Command{ReserveTurn: c}
	s.sent = append(s.sent, command)
	if rapid.IntRange(0, 9).Draw(t, "fate") == 0 {
		// The host gets no answer: it sends the turn to no server, and settles it.
		s.unsent = append(s.unsent, settlement(c.Turn, 0))
		return false
	}
	accounted := s.accounted()
	r := s.m.ApplyCommand(s.now, command)
	if r.Refusal != nil {
		assert.Equal(t, r.Refusal.Reason, verdict.BudgetExceeded)
		if c.Continues {
			s.checkRefusal(t, stream, c, accounted)
		}
		return false
	}
	turn.running = true
	stream.turn = turn
	if c.Turn == stream.id || c.Continues {
		stream.turns = append(stream.turns, turn)
	}
	return true
}

// checkRefusal checks that a stream can be taken up, as long as a turn with as
// many tokens is reserved and the budget is not exceeded.
func (s *takeUpTest) checkRefusal(t *rapid.T, stream *testStream, c *ReserveTurn, accounted int64) {
	for _, turn := range stream.turns {
		open := !s.settled[turn.id] && turn.maxTokens >= c.MaxTokens
		assert.Assert(t, !open || accounted > s.budget, "take-up of %s was refused, though %s is reserved", stream.id, turn.id)
	}
}

func (s *takeUpTest) accounted() int64 {
	a := s.m.turns.accounts["p"]
	if a == nil {
		return 0
	}
	return a.Spent + a.reserved()
}

func (s *takeUpTest) begin(t *rapid.T) {
	stream := &testStream{}
	if s.reserve(t, stream, &ReserveTurn{MaxTokens: rapid.Int64Range(0, 12).Draw(t, "most")}) {
		s.streams = append(s.streams, stream)
	}
}

// drawStreamToTakeUp returns a stream whose client has lost its connection.
func (s *takeUpTest) drawStreamToTakeUp(t *rapid.T) *testStream {
	var lost []*testStream
	for _, stream := range s.streams {
		if stream.turn == nil {
			lost = append(lost, stream)
		}
	}
	if len(lost) == 0 {
		t.Skip("no stream to take up")
	}
	return rapid.SampledFrom(lost).Draw(t, "stream")
}

func (s *takeUpTest) takeUp(t *rapid.T) {
	stream := s.drawStreamToTakeUp(t)
	c := &ReserveTurn{MaxTokens: stream.turns[0].maxTokens, Resumes: stream.id, Continues: stream.received > 0}
	if rapid.IntRange(0, 4).Draw(t, "change") == 0 {
		c.MaxTokens = rapid.Int64Range(0, 15).Draw(t, "most")
	}
	s.reserve(t, stream, c)
}

// restart asks for a stream from its start, though it names the one before.
func (s *takeUpTest) restart(t *rapid.T) {
	before := s.drawStreamToTakeUp(t)
	stream := &testStream{}
	if s.reserve(t, stream, &ReserveTurn{MaxTokens: before.turns[0].maxTokens, Resumes: before.id}) {
		s.streams = append(s.streams, stream)
	}
}

func (s *takeUpTest) drawTurn(t *rapid.T) *testTurn {
	var running []*testTurn
	for _, turn := range s.turns {
		if turn.running {
			running = append(running, turn)
		}
	}
	if len(running) == 0 {
		t.Skip("no turn is running")
	}
	return rapid.SampledFrom(running).Draw(t, "turn")
}

// pass passes tokens on. A host that does not know that its client has gone
// counts tokens that nobody receives.
func (s *takeUpTest) pass(t *rapid.T) {
	turn := s.drawTurn(t)
	for range rapid.IntRange(1, 12).Draw(t, "tokens") {
		if turn.next >= turn.maxTokens {
			return
		}
		turn.next++
		turn.handed++
		if turn.stream.turn == turn {
			turn.stream.received++
			s.received++
		}
	}
}

func (s *takeUpTest) disconnect(t *rapid.T) { s.drawTurn(t).stream.turn = nil }

// end ends a turn. Its settlement is delivered later.
func (s *takeUpTest) end(t *rapid.T) {
	turn := s.drawTurn(t)
	s.stop(turn)
	s.unsent = append(s.unsent, settlement(turn.id, turn.handed))
}

func (s *takeUpTest) stop(turn *testTurn) {
	turn.running = false
	if turn.stream.turn == turn {
		turn.stream.turn = nil
	}
}

// refuse ends a turn that has not run.
func (s *takeUpTest) refuse(t *rapid.T) {
	turn := s.drawTurn(t)
	if turn.handed > 0 {
		t.Skip("turn has run")
	}
	s.stop(turn)
	s.unsent = append(s.unsent, settlement(turn.id, 0))
}

func (s *takeUpTest) loseHost(t *rapid.T) {
	host := rapid.IntRange(0, takeUpTestHosts-1).Draw(t, "host")
	for _, turn := range s.turns {
		if turn.host == host && turn.running {
			s.stop(turn)
		}
	}
}

func (s *takeUpTest) deliver(t *rapid.T) {
	if len(s.unsent) == 0 {
		t.Skip("nothing to deliver")
	}
	i := rapid.IntRange(0, len(s.unsent)-1).Draw(t, "settlement")
	c := s.unsent[i]
	s.unsent = slices.Delete(s.unsent, i, i+1)
	s.sent = append(s.sent, c)
	s.settled[c.SettleTurn.Turn] = true
	s.m.ApplyCommand(s.now, c)
}

// repeat applies a command once more, however late.
func (s *takeUpTest) repeat(t *rapid.T) {
	if len(s.sent) == 0 {
		t.Skip("nothing to repeat")
	}
	s.m.ApplyCommand(s.now, rapid.SampledFrom(s.sent).Draw(t, "command"))
}

func (s *takeUpTest) restore(t *rapid.T) { s.m = restored(t, s.m) }

func (s *takeUpTest) check(t *rapid.T) {
	s.now++
	assert.Assert(t, s.received <= s.budget, "clients received %d tokens of a budget of %d", s.received, s.budget)
	assert.Assert(t, s.received <= s.accounted(), "clients received %d tokens, %d are accounted for", s.received, s.accounted())
}

// Guards against clients that receive more tokens than the budget of their
// program, or than are reserved and spent, and against take-ups that are refused
// though their stream is reserved, whatever breaks off: the connection of a client
// or its host, and whenever reservations and settlements arrive, also repeatedly.
func TestTakeUpsStayInBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &takeUpTest{m: New(), budget: rapid.Int64Range(0, 60).Draw(t, "budget"), settled: map[string]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"begin": s.begin, "take-up": s.takeUp, "take-up again": s.takeUp, "restart": s.restart,
			"pass": s.pass, "pass more": s.pass, "disconnect": s.disconnect, "end": s.end, "refuse": s.refuse,
			"lose host": s.loseHost, "deliver": s.deliver, "repeat": s.repeat, "restore": s.restore, "": s.check,
		})
	})
}
