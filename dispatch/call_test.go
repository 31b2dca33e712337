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

// Enough steps for a call to be lost and taken over a few times, and enough
// cases for the rarest of the faults that were seen to be found.
func TestMain(m *testing.M) { os.Exit(faults.Main(m, faults.RapidDefaults("2000", "150")...)) }

const (
	simProgram = "p"
	simTeam    = "team"
	answerTokens = 3
	worstTokens  = 10
	simBudget  = 60
)

// simulation is a program's callers, two entry hosts, the real ledger machine and
// two fake backend servers. Requests and answers between them can be lost at
// any step, and hosts can crash or freeze.
type simulation struct {
	t          *rapid.T
	ledger     *ledger.StateMachine
	clock      int64
	hosts      [2]int // incarnation of each
	executions []*simExecution
	runs       map[string][]int // by key: the grants whose attempts a server ran
	steps      int
	reportedNotRun map[string]int // by key: the last step at which a caller was told so
	answers    map[string]string
	cacheHolders     map[string]bool // servers that a model call has run on
	requests   int
}

// simExecution is a request on a host, with the action it does next.
type simExecution struct {
	host        int
	incarnation int
	kind        ledger.CallKind
	key         string
	idempotent  bool
	call           *call
	next        action
	request     string
	receivedText        string // tokens that the caller got
	// ledgerStep is the step at which the ledger last granted or refused the call.
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

// exchange applies a command, or loses the request or the response. The real
// client repeats until its time is up, so a command may also be applied twice.
func (w *simulation) exchange(c ledger.Command) (ledger.CallState, error) {
	fate := rapid.IntRange(0, 9).Draw(w.t, "exchange")
	if fate == 0 {
		return ledger.CallState{}, verdict.New(verdict.MayHaveRun, verdict.ControlUnavailable, "request lost")
	}
	r := w.apply(c)
	if fate == 1 {
		return ledger.CallState{}, verdict.New(verdict.MayHaveRun, verdict.ControlUnavailable, "response lost")
	}
	if fate == 2 {
		r = w.apply(c)
	}
	if r.Refusal != nil {
		return ledger.CallState{}, verdict.New(r.Refusal.Verdict, r.Refusal.Reason, r.Refusal.Message)
	}
	return *r.Call, nil
}

// keyOf names the calls: even ones are model calls, odd ones are tool calls
// that are not idempotent.
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

// crash loses a host's executions at whatever step they are.
func (w *simulation) crash(*rapid.T) {
	host := rapid.IntRange(0, 1).Draw(w.t, "crash")
	w.hosts[host]++
	kept := w.executions[:0]
	for _, x := range w.executions {
		if x.host != host {
			kept = append(kept, x)
		}
	}
	w.executions = kept
}

// step does the next action of one execution. An execution that is not chosen
// for long is a host that is frozen.
func (w *simulation) step(*rapid.T) {
	if len(w.executions) == 0 {
		w.t.Skip("nothing to do")
	}
	i := rapid.IntRange(0, len(w.executions)-1).Draw(w.t, "execution")
	x := w.executions[i]
	if w.do(x) {
		w.executions = append(w.executions[:i], w.executions[i+1:]...)
	}
}

// do returns true when the request has been answered.
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
		x.next = x.call.openFailed(verdict.New(verdict.MayHaveRun, verdict.CallInProgress, "caller waits no longer"))
		return
	}
	r := w.ledger.Answer(ledger.Query{Call: &ledger.CallQuery{Program: simProgram, Team: simTeam, Key: x.key}})
	x.next = x.call.polled(*r.Call)
}

// takeOver is granted at any time: the control hosts may wrongly believe that
// the other host is gone.
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

// run is the backend server: it may not be reached, it may run the call and
// lose the answer at any token, or it answers.
func (w *simulation) run(x *simExecution) {
	mayRetry := rapid.Bool().Draw(w.t, "retry")
	fate := rapid.IntRange(0, 5).Draw(w.t, "run")
	if fate == 0 {
		x.next = x.call.sendFailed(verdict.New(verdict.NotRun, verdict.ServerFailed, "not reached"), mayRetry)
		return
	}
	w.runs[x.key] = append(w.runs[x.key], x.ledgerStep)
	if at, ok := w.reportedNotRun[x.key]; ok && x.ledgerStep < at {
		w.t.Fatalf("%s: attempt granted at step %d runs after a refusal of step %d said not-run", x.key, x.ledgerStep, at)
	}
	until := answerTokens
	if fate <= 2 {
		until = rapid.IntRange(0, answerTokens-1).Draw(w.t, "tokens")
	}
	if x.kind == ledger.ModelCall {
		w.cacheHolders[x.call.target.server] = true
		w.stream(x, until)
	}
	if fate <= 2 {
		x.next = x.call.sendFailed(verdict.New(verdict.MayHaveRun, verdict.ServerFailed, "answer lost"), mayRetry)
		return
	}
	answer, _ := json.Marshal(fmt.Sprintf("%s ran as %s %s", x.key, x.request, x.call.text))
	x.next = x.call.succeeded(answerTokens, []ledger.Message{{Role: "assistant", Content: x.key}}, answer)
}

// stream sends tokens from an offset that the caller may already have.
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
		w.t.Fatalf("%s: answers %s and %s", x.key, before, answer)
	}
	w.answers[x.key] = answer
	if x.receivedText != "" && x.receivedText != "012" {
		w.t.Fatalf("%s: caller saw tokens %q", x.key, x.receivedText)
	}
}

// checkFailure checks the verdict. not-run speaks of the key and of all grants
// up to the one that was refused, whatever host they were on. Another request
// of the caller may be granted the call as soon as the record says not-sent.
func (w *simulation) checkFailure(x *simExecution) {
	if x.call.err.Verdict() != verdict.NotRun {
		return
	}
	for _, granted := range w.runs[x.key] {
		if granted <= x.ledgerStep {
			w.t.Fatalf("%s: %v says not-run of step %d, but the attempt of step %d ran", x.key, x.call.err, x.ledgerStep, granted)
		}
	}
	w.reportedNotRun[x.key] = max(w.reportedNotRun[x.key], x.ledgerStep)
}

// check holds after every step.
func (w *simulation) check(*rapid.T) {
	for key, runs := range w.runs {
		if _, kind := keyOf(int(key[1] - '0')); kind == ledger.ToolCall && len(runs) > 1 {
			w.t.Fatalf("%s is not idempotent and ran %d times", key, len(runs))
		}
	}
	s := w.ledger.Answer(ledger.Query{Program: &ledger.ProgramQuery{Program: simProgram, Team: simTeam}}).Program
	if s.Spent.Tokens+s.Reserved.Tokens > simBudget {
		w.t.Fatalf("budget %d exceeded: %+v", simBudget, s)
	}
}

// finish ends the program and wants a release record for every engine that
// holds its memory. A tick after all timeouts ends calls that still run.
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
			w.t.Fatalf("engine %s holds memory of the ended program without a release record: %v", server, due)
		}
	}
}

// Guards against a non-idempotent call that runs twice, a false not-run, two
// answers for one key, tokens missing or doubled, an exceeded budget and engine
// cacheHolders without a release record, with lost messages, resends to other hosts,
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

// Guards against a gap in an answer being passed on to the caller.
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
