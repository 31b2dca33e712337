package ledger

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// simulation simulates the environment of a ledger: entry hosts that act on its
// grants and crash, servers that run calls and hold memory, and a network that
// loses results and delays, duplicates and reorders commands. Its fields hold
// the actual events, against which the state of the ledger is checked.
type simulation struct {
	t        *rapid.T
	m        *StateMachine
	replica  *StateMachine // applies the same commands, and is restored from snapshots
	now      int64
	inFlight []proposal
	write    func(io.Writer) error // writes the last captured state
	captured string                // snapshot taken at that capture
	programs []string
	budgets  map[string]Budget
	parents  map[string]string
	attempts map[string]*attempt // by request id; attempts that a live entry host is working on
	started  map[string]bool     // request ids whose grant was received
	hosts    []int               // current incarnation of each entry host
	servers  []int               // current incarnation of each server
	requests int                 // number of request ids assigned

	executions map[string]int // executions by program and key
	firstRun   map[string]int // number of the first executed call, by program and key
	// notRun has the number of the last call with the verdict not-run, by program
	// and key. A resend of the key opens a call with a higher number.
	notRun  map[string]int
	tokens  map[string]int64     // tokens used by a program and its sub-programs
	calls   map[string]int64     // calls run by a program and its sub-programs
	gone    map[ServerGone]bool  // applied server-gone commands
	memory  map[Release]bool     // engine memory that is in use
	granted map[string]int       // number of the last granted call by program
	settled map[string]bool      // by program and call
	history map[string][]Message // expected, by program
}

type proposal struct {
	command Command
	deliver func(Result)
}

// attempt is an attempt of a call that an entry host is working on.
type attempt struct {
	program, key                string
	call, attempt               int
	host                        int
	idempotent                  bool
	kind                        CallKind
	worstCaseTokens, usedTokens int64
	server                      int
	sent, ran                   bool
}

func newSimulation(t *rapid.T) *simulation {
	return &simulation{
		t: t, m: New(simulationOptions()...), replica: New(simulationOptions()...), now: 1_000_000,
		budgets: map[string]Budget{}, parents: map[string]string{}, attempts: map[string]*attempt{}, started: map[string]bool{},
		hosts: make([]int, 2), servers: make([]int, 2),
		executions: map[string]int{}, firstRun: map[string]int{}, notRun: map[string]int{}, tokens: map[string]int64{}, calls: map[string]int64{},
		memory: map[Release]bool{}, gone: map[ServerGone]bool{}, granted: map[string]int{}, settled: map[string]bool{}, history: map[string][]Message{},
	}
}

func simulationOptions() []Option {
	return []Option{
		WithIdleTimeout(5 * time.Second), WithSettleGrace(time.Second), WithCallTimeout(4 * time.Second),
		WithRetention(time.Second, 2), WithMaxLifetime(20 * time.Second), WithTickBatch(2),
	}
}

// propose sends a command to the ledger. It may be applied now, later, or both,
// and its result may be lost. A result is delivered at most once.
func (sim *simulation) propose(t *rapid.T, c Command, deliver func(Result)) {
	delivered := false
	deliverOnce := func(r Result) {
		if deliver != nil && !delivered {
			delivered = true
			deliver(r)
		}
	}
	outcome := rapid.IntRange(0, 9).Draw(t, "fate")
	if outcome < 8 {
		if r := sim.apply(c); outcome != 0 {
			deliverOnce(r)
		}
	}
	if outcome > 5 {
		sim.inFlight = append(sim.inFlight, proposal{c, deliverOnce})
	}
}

func (sim *simulation) apply(c Command) Result {
	got := sim.m.ApplyCommand(sim.now, c)
	assert.DeepEqual(sim.t, sim.replica.ApplyCommand(sim.now, c), got)
	if c.ServerGone != nil {
		sim.gone[*c.ServerGone] = true
	}
	if k := got.Call; k != nil && k.Status != CallRunning && k.Verdict == verdict.NotRun {
		if p := sim.m.programs[k.Program]; p != nil && !p.Purged {
			name := k.Program + p.Calls[k.Call-1].Key
			sim.notRun[name] = max(sim.notRun[name], k.Call)
		}
	}
	return got
}

// applyInFlight applies one in-flight command, which may stay in flight as a
// duplicate.
func (sim *simulation) applyInFlight(t *rapid.T) {
	if len(sim.inFlight) == 0 {
		t.Skip("nothing in flight")
	}
	i := rapid.IntRange(0, len(sim.inFlight)-1).Draw(t, "command")
	p := sim.inFlight[i]
	if !rapid.Bool().Draw(t, "again") {
		sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
	}
	p.deliver(sim.apply(p.command))
}

func (sim *simulation) openProgram(t *rapid.T) {
	if len(sim.programs) >= 4 {
		t.Skip("enough programs")
	}
	id := fmt.Sprint("p", len(sim.programs))
	parent := ""
	if len(sim.programs) > 0 && rapid.Bool().Draw(t, "sub-program") {
		parent = rapid.SampledFrom(sim.programs).Draw(t, "parent")
	}
	budget := Budget{Tokens: rapid.SampledFrom([]int64{10, 4, 20, 40}).Draw(t, "tokens"), Calls: rapid.SampledFrom([]int64{2, 1, 4, 6}).Draw(t, "calls")}
	sim.programs = append(sim.programs, id)
	sim.budgets[id], sim.parents[id] = budget, parent
	sim.propose(t, Command{OpenProgram: &OpenProgram{
		Program: id, Team: "team", Class: Standard, Budget: budget, Parent: parent, Key: "open",
		Deadline: sim.now + rapid.SampledFrom([]int64{15_000, 5_000, 500}).Draw(t, "lifetime"),
	}}, nil)
}

func (sim *simulation) program(t *rapid.T) string {
	if len(sim.programs) == 0 {
		t.Skip("no program")
	}
	return rapid.SampledFrom(sim.programs).Draw(t, "program")
}

func (sim *simulation) openCall(t *rapid.T) {
	sim.sendCall(t, sim.program(t), rapid.IntRange(0, 7).Draw(t, "key"))
}

// resend resends the key of the last call of a program.
func (sim *simulation) resend(t *rapid.T) {
	id := sim.program(t)
	p := sim.m.programs[id]
	if p == nil || len(p.Calls) == 0 {
		t.Skip("no call")
	}
	sim.sendCall(t, id, int(p.Calls[len(p.Calls)-1].Key[1]-'0'))
}

// sendCall opens a call or resends its key. The key determines the kind, the
// idempotency and the cost of the call.
func (sim *simulation) sendCall(t *rapid.T, id string, key int) {
	host := rapid.IntRange(0, len(sim.hosts)-1).Draw(t, "host")
	sim.requests++
	a := &attempt{
		program: id, key: fmt.Sprint("/", key), host: host, idempotent: key%2 == 0,
		kind: ModelCall, worstCaseTokens: int64(key * 2), server: rapid.IntRange(0, len(sim.servers)-1).Draw(t, "server"),
	}
	if key%3 == 0 {
		a.kind = ToolCall
	}
	c := &OpenCall{
		Program: id, Team: "team", Key: a.key, Fingerprint: a.key, Kind: a.kind, Name: "name",
		Idempotent: a.idempotent, WorstCaseTokens: a.worstCaseTokens, Host: fmt.Sprint(host),
		HostIncarnation: fmt.Sprint(sim.hosts[host]), Request: fmt.Sprint(sim.requests),
		Messages: []Message{{"user", id + a.key}},
	}
	sim.propose(t, Command{OpenCall: c}, func(r Result) { sim.onOpenCall(t, a, c, r) })
}

func (sim *simulation) onOpenCall(t *rapid.T, a *attempt, c *OpenCall, r Result) {
	if r.Refusal != nil {
		if r.Refusal.Verdict == verdict.NotRun {
			assert.Equal(sim.t, sim.executions[a.program+a.key], 0, "refused as not run after it has run: %s", r.Refusal.Message)
		}
		return
	}
	if !r.Call.Granted {
		sim.takeOver(t, a, r.Call)
		return
	}
	if r.Call.Attempt == 1 && sim.granted[a.program] != r.Call.Call {
		last := sim.granted[a.program]
		assert.Equal(sim.t, r.Call.HistoryLength, len(sim.history[a.program]), "history length at the grant")
		for _, k := range sim.m.programs[a.program].Calls[:r.Call.Call-1] {
			assert.Assert(sim.t, k.Status != CallRunning, "call %d granted while call %d is running", r.Call.Call, k.Number)
		}
		assert.Assert(sim.t, r.Call.Call > last, "call %d granted after call %d", r.Call.Call, last)
		sim.granted[a.program] = r.Call.Call
	}
	sim.start(a, c.Request, c.HostIncarnation, r.Call)
}

// start begins the work on a granted attempt. A host ignores a grant that it has
// already received or that is for an earlier incarnation.
func (sim *simulation) start(a *attempt, request, incarnation string, c *CallState) {
	if fmt.Sprint(sim.hosts[a.host]) != incarnation || sim.started[request] {
		return
	}
	sim.started[request] = true
	a.call, a.attempt = c.Call, c.Attempt
	sim.attempts[request] = a
	if a.idempotent && a.kind == ToolCall {
		sim.run(a) // may be sent without a mark
	}
}

func (sim *simulation) takeOver(t *rapid.T, a *attempt, c *CallState) {
	if c.Status != CallRunning || c.Host == fmt.Sprint(a.host) && c.HostIncarnation == fmt.Sprint(sim.hosts[a.host]) {
		return
	}
	sim.requests++
	next := *a
	command := &TakeOver{
		Program: a.program, Call: c.Call, Attempt: c.Attempt, Host: fmt.Sprint(a.host),
		HostIncarnation: fmt.Sprint(sim.hosts[a.host]), Request: fmt.Sprint(sim.requests),
	}
	sim.propose(t, Command{TakeOver: command}, func(r Result) {
		if r.Refusal == nil && r.Call.Granted {
			sim.start(&next, command.Request, command.HostIncarnation, r.Call)
		}
	})
}

func (sim *simulation) anyAttempt(t *rapid.T) (string, *attempt) {
	if len(sim.attempts) == 0 {
		t.Skip("no attempt")
	}
	var requests []string
	for r := range sim.attempts {
		requests = append(requests, r)
	}
	slices.Sort(requests)
	r := rapid.SampledFrom(requests).Draw(t, "attempt")
	return r, sim.attempts[r]
}

func (sim *simulation) markSent(t *rapid.T) {
	request, a := sim.anyAttempt(t)
	sim.mark(t, request, a)
}

func (sim *simulation) mark(t *rapid.T, request string, a *attempt) {
	target := a.server
	server := serverIncarnation{fmt.Sprint("s", target), fmt.Sprint(sim.servers[target])}
	sim.requests++
	c := &MarkSent{
		Program: a.program, Call: a.call, Attempt: a.attempt,
		Server: server.Server, ServerIncarnation: server.Incarnation, Request: fmt.Sprint(sim.requests),
	}
	sim.propose(t, Command{MarkSent: c}, func(r Result) {
		if r.Refusal != nil && r.Refusal.Verdict == verdict.NotRun {
			assert.Equal(sim.t, sim.executions[a.program+a.key], 0, "refused as not run after it has run: %s", r.Refusal.Message)
		}
		if r.Refusal != nil || sim.attempts[request] != a || a.server != target || fmt.Sprint(sim.servers[a.server]) != server.Incarnation {
			return
		}
		sim.run(a)
	})
}

// run sends the call to its server, which executes it immediately.
func (sim *simulation) run(a *attempt) {
	if a.sent {
		return
	}
	a.sent = true
	sim.allocateMemory(a)
	sim.executions[a.program+a.key]++
	if name := a.program + a.key; sim.executions[name] == 1 {
		sim.firstRun[name] = a.call
	}
	if a.ran {
		return // an attempt moved to another server resumes after the last token
	}
	a.ran = true
	a.usedTokens = a.worstCaseTokens
	for id := a.program; id != ""; id = sim.parents[id] {
		sim.tokens[id] += a.usedTokens
		if sim.executions[a.program+a.key] == 1 {
			sim.calls[id]++
		}
	}
}

func (sim *simulation) allocateMemory(a *attempt) {
	if a.kind == ModelCall {
		sim.memory[Release{fmt.Sprint("s", a.server), fmt.Sprint(sim.servers[a.server]), a.program}] = true
	}
}

// moveAttempt sends an attempt to another server after a connection failure.
func (sim *simulation) moveAttempt(t *rapid.T) {
	request, a := sim.anyAttempt(t)
	if a.sent && !a.idempotent && rapid.Bool().Draw(t, "gives up") {
		t.Skip("not idempotent")
	}
	a.server = (a.server + 1) % len(sim.servers)
	a.sent = false
	sim.mark(t, request, a)
}

func (sim *simulation) settle(t *rapid.T) {
	request, a := sim.anyAttempt(t)
	status := CallNotSent
	if a.ran {
		status = rapid.SampledFrom([]CallStatus{CallOK, CallOK, CallFailed, CallUnknown}).Draw(t, "status")
	}
	delete(sim.attempts, request)
	reported := a.usedTokens
	if rapid.IntRange(0, 19).Draw(t, "wrong report") == 0 {
		reported += 100
	}
	answer := Message{"assistant", fmt.Sprint(a.program, a.key, a.attempt)}
	c := &SettleCall{
		Program: a.program, Call: a.call, Attempt: a.attempt, Status: status, Tokens: reported,
		History: []Message{answer}, Verdict: verdict.MayHaveRun,
	}
	sim.propose(t, Command{SettleCall: c}, nil)
}

// recordHistory appends the messages of newly settled calls to the expected
// history.
func (sim *simulation) recordHistory() {
	for _, id := range sim.programs {
		p := sim.m.programs[id]
		if p == nil || p.Purged {
			continue
		}
		for _, k := range p.Calls {
			name := fmt.Sprint(id, " ", k.Number)
			if k.Status == CallRunning || sim.settled[name] {
				continue
			}
			sim.settled[name] = true
			if k.Status == CallOK {
				sim.history[id] = append(sim.history[id], Message{"user", id + k.Key},
					Message{"assistant", fmt.Sprint(id, k.Key, k.Attempt)})
			}
		}
	}
}

// reserveTurn, settleTurn, extendTurn and the stream commands draw their ids from
// a few, so that they repeat, continue and take up each other. Only the replicas
// are compared; TestTurnsStayInBudget, TestTakeUpsStayInBudget and
// TestStreamVersionsOfReplicas check the results.
func (sim *simulation) reserveTurn(t *rapid.T) {
	c := &ReserveTurn{
		Program: drawTurn(t, "program"), Turn: drawTurn(t, "turn"), Budget: 20, MaxTokens: rapid.Int64Range(0, 9).Draw(t, "most"),
		Session: drawTurn(t, "session"), StreamVersion: drawVersion(t), StreamRetention: drawRetention(t),
		TokensPerEvent: rapid.Int64Range(0, 2).Draw(t, "tokens-per-event"),
	}
	if rapid.Bool().Draw(t, "continues") {
		c.Previous, c.Resumes = drawTurn(t, "previous"), drawTurn(t, "resumes")
		c.Continues = rapid.Bool().Draw(t, "continues-stream")
	}
	sim.propose(t, Command{ReserveTurn: c}, nil)
}

func (sim *simulation) settleTurn(t *rapid.T) {
	c := &SettleTurn{
		Program: drawTurn(t, "program"), Turn: drawTurn(t, "turn"), Tokens: rapid.Int64Range(0, 9).Draw(t, "tokens"),
		Session: drawTurn(t, "session"), Server: drawTurn(t, "server"),
	}
	if rapid.Bool().Draw(t, "keep") {
		c.Keep = &KeptTurn{Output: []byte(c.Turn), Retention: drawRetention(t)}
		if rapid.Bool().Draw(t, "continues") {
			c.Keep.Previous = drawTurn(t, "previous")
		}
	}
	sim.propose(t, Command{SettleTurn: c}, nil)
}

func (sim *simulation) extendTurn(t *rapid.T) {
	sim.propose(t, Command{ExtendTurn: &ExtendTurn{Turn: drawTurn(t, "turn"), Retention: drawRetention(t)}}, nil)
}

func (sim *simulation) recordStream(t *rapid.T) {
	sim.propose(t, Command{RecordStream: &RecordStream{
		Stream: drawTurn(t, "turn"), Version: drawVersion(t), Attempt: rapid.IntRange(0, 3).Draw(t, "attempt"), Retention: drawRetention(t),
	}}, nil)
}

func (sim *simulation) lookupStream(t *rapid.T) {
	sim.propose(t, Command{LookupStream: &LookupStream{Stream: drawTurn(t, "turn")}}, nil)
}

func drawTurn(t *rapid.T, label string) string {
	return fmt.Sprint("t", rapid.IntRange(0, 2).Draw(t, label))
}

func (sim *simulation) endProgram(t *rapid.T) {
	sim.propose(t, Command{EndProgram: &EndProgram{Program: sim.program(t), Team: "team", Status: ProgramDone}}, nil)
}

func (sim *simulation) crashHost(t *rapid.T) {
	host := rapid.IntRange(0, len(sim.hosts)-1).Draw(t, "host")
	sim.hosts[host]++
	for r, a := range sim.attempts {
		if a.host == host {
			delete(sim.attempts, r)
		}
	}
}

func (sim *simulation) crashServer(t *rapid.T) {
	s := rapid.IntRange(0, len(sim.servers)-1).Draw(t, "server")
	gone := serverIncarnation{fmt.Sprint("s", s), fmt.Sprint(sim.servers[s])}
	sim.servers[s]++
	for r := range sim.memory {
		if r.Server == gone.Server {
			delete(sim.memory, r)
		}
	}
	sim.propose(t, Command{ServerGone: &ServerGone{gone.Server, gone.Incarnation}}, nil)
}

// release handles due records as the entry hosts do: it frees the engine memory
// and proposes the confirmations.
func (sim *simulation) release(t *rapid.T) {
	for _, r := range sim.m.Answer(Query{Releases: &ReleasesQuery{}}).Releases {
		delete(sim.memory, r)
		confirmed := ReleaseConfirmed(r)
		sim.propose(t, Command{ReleaseConfirmed: &confirmed}, nil)
	}
}

func (sim *simulation) advanceClock(t *rapid.T) {
	sim.now += rapid.SampledFrom([]int64{-3_000, 1, 500, 2_000, 6_000}).Draw(t, "milliseconds")
	sim.apply(Command{Tick: &Tick{}})
}

// restore checks that both replicas give the same snapshot and restores one from
// it. It also writes the state that was captured at the previous restore, which
// commands applied since must not have changed.
func (sim *simulation) restore(*rapid.T) {
	var a, b bytes.Buffer
	assert.NilError(sim.t, sim.m.Snapshot(&a))
	assert.NilError(sim.t, sim.replica.Snapshot(&b))
	assert.Equal(sim.t, a.String(), b.String())
	if sim.write != nil {
		var late bytes.Buffer
		assert.NilError(sim.t, sim.write(&late))
		assert.Equal(sim.t, late.String(), sim.captured)
	}
	sim.write, sim.captured = sim.m.Capture(), a.String()
	sim.replica = New(simulationOptions()...)
	assert.NilError(sim.t, sim.replica.Restore(&a))
}

func (sim *simulation) check(t *rapid.T) {
	sim.recordHistory()
	for id, p := range sim.m.programs {
		total := Budget{p.Spent.Tokens + p.Reserved.Tokens, p.Spent.Calls + p.Reserved.Calls}
		assert.Assert(t, total.Tokens <= p.Budget.Tokens && total.Calls <= p.Budget.Calls, "budget of %s exceeded: %+v", id, total)
		assert.Assert(t, p.Reserved.Tokens >= 0 && p.Reserved.Calls >= 0, "negative reservation of %s: %+v", id, p.Reserved)
		if !p.Purged {
			assert.DeepEqual(t, p.History, sim.history[id])
		}
		assert.Assert(t, p.Spent.Tokens <= sim.m.programs[id].Budget.Tokens)
	}
	for id, used := range sim.tokens {
		assert.Assert(t, used <= sim.budgets[id].Tokens, "budget of %s exceeded: used %d tokens of %d", id, used, sim.budgets[id].Tokens)
		assert.Assert(t, sim.calls[id] <= sim.budgets[id].Calls, "budget of %s exceeded: used %d calls of %d", id, sim.calls[id], sim.budgets[id].Calls)
	}
	for name, runs := range sim.executions {
		nonIdempotent := (name[len(name)-1]-'0')%2 == 1
		assert.Assert(t, !nonIdempotent || runs <= 1, "non-idempotent call %s ran %d times", name, runs)
		assert.Assert(t, sim.firstRun[name] > sim.notRun[name], "call %d of %s ran, but call %d was reported as not run",
			sim.firstRun[name], name, sim.notRun[name])
	}
	for r := range sim.memory {
		_, held := sim.m.releases.held.Get(r)
		_, due := sim.m.releases.due.Get(r)
		assert.Assert(t, held || due, "no release record for %+v", r)
	}
}

// endAll ends all programs and checks that no program, release record or engine
// memory is left.
func (sim *simulation) endAll() {
	sim.restore(nil)
	for _, id := range sim.programs {
		sim.apply(Command{EndProgram: &EndProgram{Program: id, Status: ProgramDone}})
	}
	for range 60 {
		sim.now += 10_000
		sim.apply(Command{Tick: &Tick{}})
	}
	assert.Equal(sim.t, len(sim.m.programs), 0, "programs left after their deadline")
	assert.Equal(sim.t, len(sim.m.turns.kept)+len(sim.m.turns.streams), 0, "turns or streams left after their expiry")
	for s, current := range sim.servers {
		for i := range current {
			if gone := (ServerGone{fmt.Sprint("s", s), fmt.Sprint(i)}); !sim.gone[gone] {
				sim.apply(Command{ServerGone: &gone})
			}
		}
	}
	for _, r := range sim.m.Answer(Query{Releases: &ReleasesQuery{}}).Releases {
		current := fmt.Sprint(sim.servers[int(r.Server[1]-'0')])
		assert.Equal(sim.t, r.ServerIncarnation, current, "release record for a server that is gone")
		delete(sim.memory, r)
		confirmed := ReleaseConfirmed(r)
		sim.apply(Command{ReleaseConfirmed: &confirmed})
	}
	assert.Equal(sim.t, len(sim.memory), 0, "engine memory left")
	assert.Equal(sim.t, sim.m.releases.due.Len()+sim.m.releases.held.Len(), 0)
}

// Guards against concurrent calls of a program, a wrong history, an exceeded
// budget, engine memory without a release record, the verdict not-run for a call
// that has run, and a non-idempotent call that runs twice. These can come from
// lost results, late, duplicate and reordered commands, crashes, take-overs,
// clock jumps and restores.
func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.openProgram(t)
		t.Repeat(map[string]func(*rapid.T){
			"open-program": sim.openProgram, "open-call": sim.openCall, "open-call-2": sim.openCall,
			"resend": sim.resend, "resend-2": sim.resend, "apply": sim.applyInFlight, "apply-2": sim.applyInFlight,
			"mark-sent": sim.markSent, "mark-sent-2": sim.markSent, "move": sim.moveAttempt,
			"settle": sim.settle, "settle-2": sim.settle, "end-program": sim.endProgram,
			"crash-host": sim.crashHost, "crash-server": sim.crashServer, "release": sim.release,
			"time": sim.advanceClock, "restore": sim.restore, "": sim.check,
		})
		sim.endAll()
	})
}

// Guards against a restored replica whose turns, accounts or streams differ from
// those of the others, and against turns and streams that are never removed.
func TestTurnsOfReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"reserve-turn": sim.reserveTurn, "settle-turn": sim.settleTurn, "extend-turn": sim.extendTurn,
			"record-stream": sim.recordStream, "lookup-stream": sim.lookupStream,
			"apply": sim.applyInFlight, "time": sim.advanceClock, "restore": sim.restore,
		})
		sim.endAll()
	})
}
