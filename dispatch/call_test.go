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

// The defaults give each run enough steps for a call to be lost and taken over
// several times, and enough runs to find the rarest fault that has occurred.
func TestMain(m *testing.M) { os.Exit(faults.Main(m, faults.RapidDefaults("2000", "150")...)) }

const (
	simProgram = "p"
	simTeam    = "team"
	answerTokens = 3
	worstTokens  = 10
	simBudget  = 60
)

// simulation simulates the callers of one program, two entry hosts and two backend
// servers around a real ledger state machine. At any step, messages can be lost,
// and hosts can crash or freeze.
type simulation struct {
	t          *rapid.T
	ledger     *ledger.StateMachine
	clock      int64
	hosts      [2]int // incarnation of each host
	executions []*simExecution
	runs       map[string][]int // by key: steps of the grants whose attempts a server ran
	steps      int
	reportedNotRun map[string]int    // by key: last ledger step for which a caller received not-run
	answers    map[string]string // by key: answer that callers received
	cacheHolders     map[string]bool   // servers that have run a model call
	requests   int
}

// simExecution is a request on a host, with its next action.
type simExecution struct {
	host        int
	incarnation int
	kind        ledger.CallKind
	key         string
	idempotent  bool
	call           *call
	next        action
	request     string
	receivedText        string // text of the tokens that the caller received
	// ledgerStep is the step of the last open or take-over.
	ledgerStep int
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		t: t, ledger: ledger.New(), clock: 1,
		runs: map[string][]int{}, reportedNotRun: map[string]int{}, answers: map[string]string{},
		cacheHolders: map[string]bool{},
	}
	r := w.apply(ledger.Command{OpenProgram: &ledger.OpenProgram{
		Program: simProgram, Team: simTeam, Key: "open", Class: ledger.Standard,
		Budget: ledger.Budget{Tokens: simBudget, Calls: 20}, Deadline: 1 << 40,
	}})
	if r.Refusal != nil {
		t.Fatalf("open: %+v", r.Refusal)
	}
	return w
}

func (w *simulation) apply(c ledger.Command) ledger.Result {
	w.clock++
	return w.ledger.ApplyCommand(w.clock, c)
}

// exchange applies a command, or loses the request or the response. Since the
// real client retries until its timeout, a command may also be applied twice.
func (w *simulation) exchange(c ledger.Command) (ledger.CallState, error) {
	outcome := rapid.IntRange(0, 9).Draw(w.t, "exchange")
	if outcome == 0 {
		return ledger.CallState{}, verdict.New(verdict.MayHaveRun, verdict.ControlUnavailable, "request lost")
	}
	r := w.apply(c)
	if outcome == 1 {
		return ledger.CallState{}, verdict.New(verdict.MayHaveRun, verdict.ControlUnavailable, "response lost")
	}
	if outcome == 2 {
		r = w.apply(c)
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
func (w *simulation) send(*rapid.T) {
	key, kind := keyOf(rapid.IntRange(0, 3).Draw(w.t, "key"))
	host := rapid.IntRange(0, 1).Draw(w.t, "host")
	w.requests++
	x := &simExecution{
		host: host, incarnation: w.hosts[host], kind: kind, key: key,
		idempotent: kind == ledger.ModelCall, request: fmt.Sprint(w.requests), next: actOpen,
	}
	x.call = newCall(kind, x.idempotent, hostName(host), fmt.Sprint(x.incarnation))
	w.executions = append(w.executions, x)
}

func hostName(n int) string { return fmt.Sprintf("host-%d", n) }

// crash restarts a host, which loses its executions.
func (w *simulation) crash(*rapid.T) {
	host := rapid.IntRange(0, 1).Draw(w.t, "crash")
	w.hosts[host]++
	remaining := w.executions[:0]
	for _, x := range w.executions {
		if x.host != host {
			remaining = append(remaining, x)
		}
	}
	w.executions = remaining
}

// step performs the next action of one execution. An execution that isn't chosen
// for a long time simulates a frozen host.
func (w *simulation) step(*rapid.T) {
	if len(w.executions) == 0 {
		w.t.Skip("no executions")
	}
	i := rapid.IntRange(0, len(w.executions)-1).Draw(w.t, "execution")
	x := w.executions[i]
	if w.do(x) {
		w.executions = append(w.executions[:i], w.executions[i+1:]...)
	}
}

// do performs the next action of an execution. It returns true if that returns
// an answer or an error to the caller.
func (w *simulation) do(x *simExecution) bool {
	w.steps++
	switch x.next {
	case actOpen:
		w.opened(x, ledger.Command{OpenCall: &ledger.OpenCall{
			Program: simProgram, Team: simTeam, Key: x.key, Fingerprint: x.key, Kind: x.kind, Name: "n",
			Idempotent: x.idempotent, WorstCaseTokens: worstTokens, Timeout: 1 << 30,
			Host: hostName(x.host), HostIncarnation: fmt.Sprint(x.incarnation), Request: x.request,
		}}, x.call.openFailed)
	case actPoll:
		w.poll(x)
	case actTakeOver:
		w.takeOver(x)
	case actEnqueue:
		w.enqueue(x)
	case actMark:
		w.mark(x)
	case actSend:
		w.run(x)
	case actSettle:
		o := x.call.outcome
		o.Program, o.Call, o.Attempt = simProgram, x.call.state.Call, x.call.state.Attempt
		s, err := w.exchange(ledger.Command{SettleCall: &o})
		if err != nil {
			x.next = x.call.settleFailed(err)
			return false
		}
		x.next = x.call.settled(s)
	case actReply:
		w.checkReply(x)
		return true
	case actFail:
		w.checkFailure(x)
		return true
	}
	return false
}

func (w *simulation) opened(x *simExecution, c ledger.Command, failed func(error) action) {
	x.ledgerStep = w.steps
	s, err := w.exchange(c)
	if err != nil {
		x.next = failed(err)
		return
	}
	x.next = x.call.opened(s)
}

func (w *simulation) poll(x *simExecution) {
	if rapid.IntRange(0, 4).Draw(w.t, "poll") == 0 {
		x.next = x.call.openFailed(verdict.New(verdict.MayHaveRun, verdict.CallInProgress, "caller stopped waiting"))
		return
	}
	r := w.ledger.Answer(ledger.Query{Call: &ledger.CallQuery{Program: simProgram, Team: simTeam, Key: x.key}})
	x.next = x.call.polled(*r.Call)
}

// takeOver may be granted at any time, even while the other host is alive, since
// the control hosts can't tell a frozen host from a failed one.
func (w *simulation) takeOver(x *simExecution) {
	if rapid.Bool().Draw(w.t, "alive") {
		x.next = x.call.takeOverFailed(verdict.New(verdict.MayHaveRun, verdict.CallInProgress, "host is alive"))
		return
	}
	w.opened(x, ledger.Command{TakeOver: &ledger.TakeOver{
		Program: simProgram, Call: x.call.state.Call, Attempt: x.call.state.Attempt, Request: x.request,
		Host: hostName(x.host), HostIncarnation: fmt.Sprint(x.incarnation),
	}}, x.call.takeOverFailed)
}

func (w *simulation) enqueue(x *simExecution) {
	switch rapid.IntRange(0, 9).Draw(w.t, "queue") {
	case 0:
		x.next = x.call.refused(verdict.Overloaded, "queue is full")
	case 1:
		x.next = x.call.timedOut(verdict.DeadlineExceeded)
	default:
		server := fmt.Sprintf("s%d", rapid.IntRange(0, 1).Draw(w.t, "server"))
		x.next = x.call.assigned(target{server: server, incarnation: "i"})
	}
}

func (w *simulation) mark(x *simExecution) {
	_, err := w.exchange(ledger.Command{MarkSent: &ledger.MarkSent{
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
func (w *simulation) run(x *simExecution) {
	mayRetry := rapid.Bool().Draw(w.t, "retry")
	outcome := rapid.IntRange(0, 5).Draw(w.t, "run")
	if outcome == 0 {
		x.next = x.call.sendFailed(verdict.New(verdict.NotRun, verdict.ServerFailed, "unreachable"), mayRetry)
		return
	}
	w.runs[x.key] = append(w.runs[x.key], x.ledgerStep)
	if at, ok := w.reportedNotRun[x.key]; ok && x.ledgerStep < at {
		w.t.Fatalf("%s: attempt granted at step %d runs, but the caller received not-run for step %d", x.key, x.ledgerStep, at)
	}
	until := answerTokens
	if outcome <= 2 {
		until = rapid.IntRange(0, answerTokens-1).Draw(w.t, "tokens")
	}
	if x.kind == ledger.ModelCall {
		w.cacheHolders[x.call.target.server] = true
		w.stream(x, until)
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
func (w *simulation) stream(x *simExecution, until int) {
	from := 0
	if x.call.received > 0 {
		from = rapid.IntRange(0, x.call.received).Draw(w.t, "resume")
	}
	for i := from; i < until; i++ {
		isNew, err := x.call.token(engine.Token{Offset: i, Text: fmt.Sprint(i)})
		if err != nil {
			w.t.Fatalf("token: %v", err)
		}
		if isNew {
			x.receivedText += fmt.Sprint(i)
		}
	}
}

func (w *simulation) checkReply(x *simExecution) {
	answer := string(x.call.state.Answer)
	if before, ok := w.answers[x.key]; ok && before != answer {
		w.t.Fatalf("%s: different answers %s and %s", x.key, before, answer)
	}
	w.answers[x.key] = answer
	if x.receivedText != "" && x.receivedText != "012" {
		w.t.Fatalf("%s: caller received tokens %q", x.key, x.receivedText)
	}
}

// checkFailure checks the verdict. not-run applies to all grants of the key, on
// any host, up to the step of this request's last open or take-over. After it, another
// request may be granted the call, as soon as its status is not-sent.
func (w *simulation) checkFailure(x *simExecution) {
	if x.call.err.Verdict() != verdict.NotRun {
		return
	}
	for _, granted := range w.runs[x.key] {
		if granted <= x.ledgerStep {
			w.t.Fatalf("%s: caller received %v (not-run) for step %d, but the attempt granted at step %d ran", x.key, x.call.err, x.ledgerStep, granted)
		}
	}
	w.reportedNotRun[x.key] = max(w.reportedNotRun[x.key], x.ledgerStep)
}

// check checks the invariants that hold after every step.
func (w *simulation) check(*rapid.T) {
	for key, runs := range w.runs {
		if _, kind := keyOf(int(key[1] - '0')); kind == ledger.ToolCall && len(runs) > 1 {
			w.t.Fatalf("%s: non-idempotent call ran %d times", key, len(runs))
		}
	}
	s := w.ledger.Answer(ledger.Query{Program: &ledger.ProgramQuery{Program: simProgram, Team: simTeam}}).Program
	if s.Spent.Tokens+s.Reserved.Tokens > simBudget {
		w.t.Fatalf("budget %d exceeded: %+v", simBudget, s)
	}
}

// finish ends the program, and checks that there is a release record for every
// engine that caches its prompts. A tick after all timeouts ends the calls that
// still run.
func (w *simulation) finish() {
	w.clock = 1 << 41
	for _, c := range []ledger.Command{
		{Tick: &ledger.Tick{}},
		{EndProgram: &ledger.EndProgram{Program: simProgram, Team: simTeam, Status: ledger.ProgramDone}},
	} {
		w.apply(c)
	}
	due := w.ledger.Answer(ledger.Query{Releases: &ledger.ReleasesQuery{Limit: 10}}).Releases
	recorded := map[string]bool{}
	for _, r := range due {
		recorded[r.Server] = true
	}
	for server := range w.cacheHolders {
		if !recorded[server] {
			w.t.Fatalf("no release record for engine %s, which caches prompts of the ended program: %v", server, due)
		}
	}
}

// Guards against a non-idempotent call that runs twice, a wrong not-run verdict,
// different answers for one key, missing or duplicate tokens, an exceeded budget
// and a missing release record, under lost messages, resends to other hosts,
// crashes and frozen hosts at any step.
func TestCallsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"send":  w.send,
			"crash": w.crash,
			"step":  w.step,
			"step2": w.step,
			"step3": w.step,
			"step4": w.step,
			"":      w.check,
		})
		w.finish()
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
