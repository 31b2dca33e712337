package dispatch

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/faults"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// The defaults give each case enough steps for a call to be lost and taken over
// several times, and enough cases to detect the rarest of the faults found so
// far.
func TestMain(m *testing.M) { os.Exit(faults.Main(m, faults.RapidDefaults("2000", "150")...)) }

const (
	simProgram      = "p"
	simTeam         = "team"
	answerTokens    = 3
	worstCaseTokens = 10
	simBudget       = 60
)

// simulation simulates the callers of one program, two entry hosts and two
// backend servers around a real ledger state machine. At any step, messages can
// be lost, and hosts can crash or freeze.
type simulation struct {
	t              *rapid.T
	ledger         *ledger.StateMachine
	clock          int64
	hosts          [2]int // incarnation of each host
	executions     []*simExecution
	runs           map[string][]int // by key: ledgerStep of each attempt that a server ran
	steps          int
	reportedNotRun map[string]int    // by key: last ledger step for which a caller received not-run
	answers        map[string]string // by key: answer that callers received
	cacheHolders   map[string]bool   // servers that have run a model call
	requests       int
}

// simExecution is a request on a host, with its next action.
type simExecution struct {
	host         int
	incarnation  int
	kind         ledger.CallKind
	key          string
	idempotent   bool
	call         *call
	next         action
	request      string
	receivedText string // text of the tokens that the caller received
	// ledgerStep is the step of the last open or take-over.
	ledgerStep int
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		t: t, ledger: ledger.New(), clock: 1,
		runs: map[string][]int{}, reportedNotRun: map[string]int{}, answers: map[string]string{},
		cacheHolders: map[string]bool{},
	}
	r := sim.apply(ledger.Command{OpenProgram: &ledger.OpenProgram{
		Program: simProgram, Team: simTeam, Key: "open", Class: ledger.Standard,
		Budget: ledger.Budget{Tokens: simBudget, Calls: 20}, Deadline: 1 << 40,
	}})
	if r.Refusal != nil {
		t.Fatalf("open: %+v", r.Refusal)
	}
	return sim
}

func (sim *simulation) apply(c ledger.Command) ledger.Result {
	sim.clock++
	return sim.ledger.ApplyCommand(sim.clock, c)
}

// exchange applies a command, or loses the request or the response. Since the
// real client retries until its timeout, a command may also be applied twice.
func (sim *simulation) exchange(c ledger.Command) (ledger.CallState, error) {
	outcome := rapid.IntRange(0, 9).Draw(sim.t, "exchange")
	if outcome == 0 {
		return ledger.CallState{}, verdict.New(verdict.MayHaveRun, verdict.ControlUnavailable, "request lost")
	}
	r := sim.apply(c)
	if outcome == 1 {
		return ledger.CallState{}, verdict.New(verdict.MayHaveRun, verdict.ControlUnavailable, "response lost")
	}
	if outcome == 2 {
		r = sim.apply(c)
	}
	if r.Refusal != nil {
		return ledger.CallState{}, verdict.New(r.Refusal.Verdict, r.Refusal.Reason, r.Refusal.Message)
	}
	return *r.Call, nil
}

// keyOf returns the key and the kind of call n: even calls are model calls, odd
// ones are non-idempotent tool calls.
func keyOf(n int) (key string, kind ledger.CallKind) {
	if n%2 == 0 {
		return fmt.Sprintf("k%d", n), ledger.ModelCall
	}
	return fmt.Sprintf("k%d", n), ledger.ToolCall
}

// send starts a request, which may be a resend of an earlier one.
func (sim *simulation) send(*rapid.T) {
	key, kind := keyOf(rapid.IntRange(0, 3).Draw(sim.t, "key"))
	host := rapid.IntRange(0, 1).Draw(sim.t, "host")
	sim.requests++
	x := &simExecution{
		host: host, incarnation: sim.hosts[host], kind: kind, key: key,
		idempotent: kind == ledger.ModelCall, request: fmt.Sprint(sim.requests), next: actOpen,
	}
	x.call = newCall(kind, x.idempotent, hostName(host), fmt.Sprint(x.incarnation))
	sim.executions = append(sim.executions, x)
}

func hostName(n int) string { return fmt.Sprintf("host-%d", n) }

// crash restarts a host, which loses its executions.
func (sim *simulation) crash(*rapid.T) {
	host := rapid.IntRange(0, 1).Draw(sim.t, "crash")
	sim.hosts[host]++
	remaining := sim.executions[:0]
	for _, x := range sim.executions {
		if x.host != host {
			remaining = append(remaining, x)
		}
	}
	sim.executions = remaining
}

// step performs the next action of one execution. An execution that isn't chosen
// for a long time simulates a frozen host.
func (sim *simulation) step(*rapid.T) {
	if len(sim.executions) == 0 {
		sim.t.Skip("no executions")
	}
	i := rapid.IntRange(0, len(sim.executions)-1).Draw(sim.t, "execution")
	x := sim.executions[i]
	if sim.perform(x) {
		sim.executions = append(sim.executions[:i], sim.executions[i+1:]...)
	}
}

// perform performs the next action of an execution. It returns true if that
// action returns an answer or an error to the caller.
func (sim *simulation) perform(x *simExecution) bool {
	sim.steps++
	switch x.next {
	case actOpen:
		sim.opened(x, ledger.Command{OpenCall: &ledger.OpenCall{
			Program: simProgram, Team: simTeam, Key: x.key, Fingerprint: x.key, Kind: x.kind, Name: "n",
			Idempotent: x.idempotent, WorstCaseTokens: worstCaseTokens, Timeout: 1 << 30,
			Host: hostName(x.host), HostIncarnation: fmt.Sprint(x.incarnation), Request: x.request,
		}}, x.call.openFailed)
	case actPoll:
		sim.poll(x)
	case actTakeOver:
		sim.takeOver(x)
	case actEnqueue:
		sim.enqueue(x)
	case actMark:
		sim.mark(x)
	case actSend:
		sim.run(x)
	case actSettle:
		o := x.call.outcome
		o.Program, o.Call, o.Attempt = simProgram, x.call.state.Call, x.call.state.Attempt
		s, err := sim.exchange(ledger.Command{SettleCall: &o})
		if err != nil {
			x.next = x.call.settleFailed(err)
			return false
		}
		x.next = x.call.settled(s)
	case actReply:
		sim.checkReply(x)
		return true
	case actFail:
		sim.checkFailure(x)
		return true
	}
	return false
}

func (sim *simulation) opened(x *simExecution, c ledger.Command, failed func(error) action) {
	x.ledgerStep = sim.steps
	s, err := sim.exchange(c)
	if err != nil {
		x.next = failed(err)
		return
	}
	x.next = x.call.opened(s)
}

func (sim *simulation) poll(x *simExecution) {
	if rapid.IntRange(0, 4).Draw(sim.t, "poll") == 0 {
		x.next = x.call.openFailed(verdict.New(verdict.MayHaveRun, verdict.CallInProgress, "caller stopped waiting"))
		return
	}
	r := sim.ledger.Answer(ledger.Query{Call: &ledger.CallQuery{Program: simProgram, Team: simTeam, Key: x.key}})
	x.next = x.call.polled(*r.Call)
}

// takeOver may be granted at any time, even while the other host is alive, since
// the control hosts can't distinguish a frozen host from a failed one.
func (sim *simulation) takeOver(x *simExecution) {
	if rapid.Bool().Draw(sim.t, "alive") {
		x.next = x.call.takeOverFailed(verdict.New(verdict.MayHaveRun, verdict.CallInProgress, "host is alive"))
		return
	}
	sim.opened(x, ledger.Command{TakeOver: &ledger.TakeOver{
		Program: simProgram, Call: x.call.state.Call, Attempt: x.call.state.Attempt, Request: x.request,
		Host: hostName(x.host), HostIncarnation: fmt.Sprint(x.incarnation),
	}}, x.call.takeOverFailed)
}

func (sim *simulation) enqueue(x *simExecution) {
	switch rapid.IntRange(0, 9).Draw(sim.t, "queue") {
	case 0:
		x.next = x.call.refused(verdict.Overloaded, "queue is full")
	case 1:
		x.next = x.call.timedOut(verdict.DeadlineExceeded)
	default:
		server := fmt.Sprintf("s%d", rapid.IntRange(0, 1).Draw(sim.t, "server"))
		x.next = x.call.assigned(target{server: server, incarnation: "i"})
	}
}

func (sim *simulation) mark(x *simExecution) {
	_, err := sim.exchange(ledger.Command{MarkSent: &ledger.MarkSent{
		Program: simProgram, Call: x.call.state.Call, Attempt: x.call.state.Attempt,
		Server: x.call.target.server, ServerIncarnation: x.call.target.incarnation, PreviousUnsent: x.call.sends > 0 && !x.call.maybeSent,
	}})
	if err != nil {
		x.next = x.call.markFailed(err)
		return
	}
	x.next = x.call.markedSent()
}

// run simulates the backend server: it is unreachable, it runs the call but its
// answer is lost at some token, or it answers.
func (sim *simulation) run(x *simExecution) {
	mayRetry := rapid.Bool().Draw(sim.t, "retry")
	outcome := rapid.IntRange(0, 5).Draw(sim.t, "run")
	if outcome == 0 {
		x.next = x.call.sendFailed(verdict.New(verdict.NotRun, verdict.ServerFailed, "unreachable"), mayRetry)
		return
	}
	sim.runs[x.key] = append(sim.runs[x.key], x.ledgerStep)
	if at, ok := sim.reportedNotRun[x.key]; ok && x.ledgerStep < at {
		sim.t.Fatalf("%s: attempt granted at step %d runs, but the caller received not-run for step %d", x.key, x.ledgerStep, at)
	}
	until := answerTokens
	if outcome <= 2 {
		until = rapid.IntRange(0, answerTokens-1).Draw(sim.t, "tokens")
	}
	if x.kind == ledger.ModelCall {
		sim.cacheHolders[x.call.target.server] = true
		sim.stream(x, until)
	}
	if outcome <= 2 {
		x.next = x.call.sendFailed(verdict.New(verdict.MayHaveRun, verdict.ServerFailed, "answer lost"), mayRetry)
		return
	}
	answer, _ := json.Marshal(fmt.Sprintf("%s ran as %s %s", x.key, x.request, x.call.text))
	x.next = x.call.succeeded(answerTokens, []ledger.Message{{Role: "assistant", Content: x.key}}, answer)
}

// stream sends tokens up to an offset. A resumed stream may repeat tokens that
// the caller already has.
func (sim *simulation) stream(x *simExecution, until int) {
	from := 0
	if x.call.received > 0 {
		from = rapid.IntRange(0, x.call.received).Draw(sim.t, "resume")
	}
	for i := from; i < until; i++ {
		isNew, err := x.call.token(engine.Token{Offset: i, Text: fmt.Sprint(i)})
		if err != nil {
			sim.t.Fatalf("token: %v", err)
		}
		if isNew {
			x.receivedText += fmt.Sprint(i)
		}
	}
}

func (sim *simulation) checkReply(x *simExecution) {
	answer := string(x.call.state.Answer)
	if before, ok := sim.answers[x.key]; ok && before != answer {
		sim.t.Fatalf("%s: different answers %s and %s", x.key, before, answer)
	}
	sim.answers[x.key] = answer
	if x.receivedText != "" && x.receivedText != "012" {
		sim.t.Fatalf("%s: caller received tokens %q", x.key, x.receivedText)
	}
}

// checkFailure checks that a caller receives not-run only if none of the attempts
// that were granted on any host, up to the step of this request's last open or
// take-over, has run. Later attempts may run: once the status of the call is
// not-sent, another request may be granted an attempt.
func (sim *simulation) checkFailure(x *simExecution) {
	if x.call.err.Verdict() != verdict.NotRun {
		return
	}
	for _, granted := range sim.runs[x.key] {
		if granted <= x.ledgerStep {
			sim.t.Fatalf("%s: caller received %v (not-run) for step %d, but the attempt granted at step %d ran", x.key, x.call.err, x.ledgerStep, granted)
		}
	}
	sim.reportedNotRun[x.key] = max(sim.reportedNotRun[x.key], x.ledgerStep)
}

// check checks the invariants that hold after every step.
func (sim *simulation) check(*rapid.T) {
	for key, runs := range sim.runs {
		if _, kind := keyOf(int(key[1] - '0')); kind == ledger.ToolCall && len(runs) > 1 {
			sim.t.Fatalf("%s: non-idempotent call ran %d times", key, len(runs))
		}
	}
	s := sim.ledger.Answer(ledger.Query{Program: &ledger.ProgramQuery{Program: simProgram, Team: simTeam}}).Program
	if s.Spent.Tokens+s.Reserved.Tokens > simBudget {
		sim.t.Fatalf("budget %d exceeded: %+v", simBudget, s)
	}
}

// finish ends the program and checks that there is a release record for every
// engine that caches its prompts. Before that, a tick after all timeouts ends the
// calls that are still running.
func (sim *simulation) finish() {
	sim.clock = 1 << 41
	for _, c := range []ledger.Command{
		{Tick: &ledger.Tick{}},
		{EndProgram: &ledger.EndProgram{Program: simProgram, Team: simTeam, Status: ledger.ProgramDone}},
	} {
		sim.apply(c)
	}
	due := sim.ledger.Answer(ledger.Query{Releases: &ledger.ReleasesQuery{Limit: 10}}).Releases
	recorded := map[string]bool{}
	for _, r := range due {
		recorded[r.Server] = true
	}
	for server := range sim.cacheHolders {
		if !recorded[server] {
			sim.t.Fatalf("no release record for engine %s, which caches prompts of the ended program: %v", server, due)
		}
	}
}

// Guards against a non-idempotent call that runs twice, a wrong not-run verdict,
// different answers for one key, missing or duplicate tokens, an exceeded budget
// and a missing release record, under lost messages, resends to other hosts,
// crashes and frozen hosts at any step.
func TestCallsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"send":  sim.send,
			"crash": sim.crash,
			"step":  sim.step,
			"step2": sim.step,
			"step3": sim.step,
			"step4": sim.step,
			"":      sim.check,
		})
		sim.finish()
	})
}

// Guards against forwarding an answer with a gap to the caller.
func TestTokenGapIsAnError(t *testing.T) {
	c := newCall(ledger.ModelCall, true, "h", "1")
	isNew, err := c.token(engine.Token{Offset: 0, Text: "a"})
	assert.NilError(t, err)
	assert.Assert(t, isNew)
	_, err = c.token(engine.Token{Offset: 2, Text: "c"})
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	isNew, err = c.token(engine.Token{Offset: 0, Text: "a"})
	assert.NilError(t, err)
	assert.Assert(t, !isNew)
}
