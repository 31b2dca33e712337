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
func TestMain(m *testing.M) { os.Exit(faults.Main(m, faults.Checks("2000", "150")...)) }

const (
	worldProgram = "p"
	worldTeam    = "team"
	answerTokens = 3
	worstTokens  = 10
	worldBudget  = 60
)

// world simulates the callers of one program, two entry hosts and two backend
// servers around a real ledger state machine. At any step, messages can be lost,
// and hosts can crash or freeze.
type world struct {
	t          *rapid.T
	ledger     *ledger.Machine
	clock      int64
	hosts      [2]int // incarnation of each host
	executions []*simExecution
	runs       map[string][]int // by key: steps of the grants whose attempts a server ran
	steps      int
	saidNotRun map[string]int    // by key: last ledger step for which a caller received not-run
	answers    map[string]string // by key: answer that callers received
	memory     map[string]bool   // servers that have run a model call
	requests   int
}

// simExecution is a request on a host, with its next action.
type simExecution struct {
	host        int
	incarnation int
	kind        ledger.CallKind
	key         string
	idempotent  bool
	c           *call
	next        action
	request     string
	seen        string // text of the tokens that the caller received
	// asked is the step of the last open or take-over.
	asked int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, ledger: ledger.New(), clock: 1,
		runs: map[string][]int{}, saidNotRun: map[string]int{}, answers: map[string]string{},
		memory: map[string]bool{},
	}
	r := w.apply(ledger.Command{OpenProgram: &ledger.OpenProgram{
		Program: worldProgram, Team: worldTeam, Key: "open", Class: ledger.Standard,
		Budget: ledger.Budget{Tokens: worldBudget, Calls: 20}, Deadline: 1 << 40,
	}})
	if r.Refusal != nil {
		t.Fatalf("open: %+v", r.Refusal)
	}
	return w
}

func (w *world) apply(c ledger.Command) ledger.Result {
	w.clock++
	return w.ledger.ApplyCommand(w.clock, c)
}

// exchange applies a command, or loses the request or the response. Since the
// real client retries until its timeout, a command may also be applied twice.
func (w *world) exchange(c ledger.Command) (ledger.CallState, error) {
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
func (w *world) send(*rapid.T) {
	key, kind := keyOf(rapid.IntRange(0, 3).Draw(w.t, "key"))
	host := rapid.IntRange(0, 1).Draw(w.t, "host")
	w.requests++
	x := &simExecution{
		host: host, incarnation: w.hosts[host], kind: kind, key: key,
		idempotent: kind == ledger.ModelCall, request: fmt.Sprint(w.requests), next: actOpen,
	}
	x.c = newCall(kind, x.idempotent, hostName(host), fmt.Sprint(x.incarnation))
	w.executions = append(w.executions, x)
}

func hostName(n int) string { return fmt.Sprintf("host-%d", n) }

// crash restarts a host, which loses its executions.
func (w *world) crash(*rapid.T) {
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
func (w *world) step(*rapid.T) {
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
func (w *world) do(x *simExecution) bool {
	w.steps++
	switch x.next {
	case actOpen:
		w.opened(x, ledger.Command{OpenCall: &ledger.OpenCall{
			Program: worldProgram, Team: worldTeam, Key: x.key, Fingerprint: x.key, Kind: x.kind, Name: "n",
			Idempotent: x.idempotent, WorstTokens: worstTokens, Timeout: 1 << 30,
			Host: hostName(x.host), HostIncarnation: fmt.Sprint(x.incarnation), Request: x.request,
		}}, x.c.openFailed)
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
		o := x.c.outcome
		o.Program, o.Call, o.Attempt = worldProgram, x.c.state.Call, x.c.state.Attempt
		s, err := w.exchange(ledger.Command{SettleCall: &o})
		if err != nil {
			x.next = x.c.settleFailed(err)
			return false
		}
		x.next = x.c.settled(s)
	case actReply:
		w.checkReply(x)
		return true
	case actFail:
		w.checkFailure(x)
		return true
	}
	return false
}

func (w *world) opened(x *simExecution, c ledger.Command, failed func(error) action) {
	x.asked = w.steps
	s, err := w.exchange(c)
	if err != nil {
		x.next = failed(err)
		return
	}
	x.next = x.c.opened(s)
}

func (w *world) poll(x *simExecution) {
	if rapid.IntRange(0, 4).Draw(w.t, "poll") == 0 {
		x.next = x.c.openFailed(verdict.New(verdict.MayHaveRun, verdict.CallInProgress, "caller stopped waiting"))
		return
	}
	r := w.ledger.Answer(ledger.Query{Call: &ledger.CallQuery{Program: worldProgram, Team: worldTeam, Key: x.key}})
	x.next = x.c.polled(*r.Call)
}

// takeOver may be granted at any time, even while the other host is alive, since
// the control hosts can't tell a frozen host from a failed one.
func (w *world) takeOver(x *simExecution) {
	if rapid.Bool().Draw(w.t, "alive") {
		x.next = x.c.takeOverFailed(verdict.New(verdict.MayHaveRun, verdict.CallInProgress, "host is alive"))
		return
	}
	w.opened(x, ledger.Command{TakeOver: &ledger.TakeOver{
		Program: worldProgram, Call: x.c.state.Call, Attempt: x.c.state.Attempt, Request: x.request,
		Host: hostName(x.host), HostIncarnation: fmt.Sprint(x.incarnation),
	}}, x.c.takeOverFailed)
}

func (w *world) enqueue(x *simExecution) {
	switch rapid.IntRange(0, 9).Draw(w.t, "queue") {
	case 0:
		x.next = x.c.refused(verdict.Overloaded, "queue is full")
	case 1:
		x.next = x.c.timedOut(verdict.DeadlineExceeded)
	default:
		server := fmt.Sprintf("s%d", rapid.IntRange(0, 1).Draw(w.t, "server"))
		x.next = x.c.assigned(target{server: server, incarnation: "i"})
	}
}

func (w *world) mark(x *simExecution) {
	_, err := w.exchange(ledger.Command{MarkSent: &ledger.MarkSent{
		Program: worldProgram, Call: x.c.state.Call, Attempt: x.c.state.Attempt,
		Server: x.c.to.server, ServerIncarnation: x.c.to.incarnation, PreviousUnsent: x.c.sends > 0 && !x.c.maybeSent,
	}})
	if err != nil {
		x.next = x.c.markFailed(err)
		return
	}
	x.next = x.c.markedSent()
}

// run simulates the backend server: it is unreachable, it runs the call but its
// answer is lost at some token, or it answers.
func (w *world) run(x *simExecution) {
	mayRetry := rapid.Bool().Draw(w.t, "retry")
	outcome := rapid.IntRange(0, 5).Draw(w.t, "run")
	if outcome == 0 {
		x.next = x.c.broken(verdict.New(verdict.NotRun, verdict.ServerFailed, "unreachable"), mayRetry)
		return
	}
	w.runs[x.key] = append(w.runs[x.key], x.asked)
	if at, ok := w.saidNotRun[x.key]; ok && x.asked < at {
		w.t.Fatalf("%s: attempt granted at step %d runs, but the caller received not-run for step %d", x.key, x.asked, at)
	}
	until := answerTokens
	if outcome <= 2 {
		until = rapid.IntRange(0, answerTokens-1).Draw(w.t, "tokens")
	}
	if x.kind == ledger.ModelCall {
		w.memory[x.c.to.server] = true
		w.stream(x, until)
	}
	if outcome <= 2 {
		x.next = x.c.broken(verdict.New(verdict.MayHaveRun, verdict.ServerFailed, "answer lost"), mayRetry)
		return
	}
	answer, _ := json.Marshal(fmt.Sprintf("%s ran as %s %s", x.key, x.request, x.c.text))
	x.next = x.c.succeeded(answerTokens, []ledger.Message{{Role: "assistant", Content: x.key}}, answer)
}

// stream sends tokens up to an offset. A resumed stream may repeat tokens that
// the caller already has.
func (w *world) stream(x *simExecution, until int) {
	from := 0
	if x.c.received > 0 {
		from = rapid.IntRange(0, x.c.received).Draw(w.t, "resume")
	}
	for i := from; i < until; i++ {
		isNew, err := x.c.token(engine.Token{Offset: i, Text: fmt.Sprint(i)})
		if err != nil {
			w.t.Fatalf("token: %v", err)
		}
		if isNew {
			x.seen += fmt.Sprint(i)
		}
	}
}

func (w *world) checkReply(x *simExecution) {
	answer := string(x.c.state.Answer)
	if before, ok := w.answers[x.key]; ok && before != answer {
		w.t.Fatalf("%s: different answers %s and %s", x.key, before, answer)
	}
	w.answers[x.key] = answer
	if x.seen != "" && x.seen != "012" {
		w.t.Fatalf("%s: caller received tokens %q", x.key, x.seen)
	}
}

// checkFailure checks the verdict. not-run applies to all grants of the key, on
// any host, up to the step of this request's last open or take-over. After it, another
// request may be granted the call, as soon as its status is not-sent.
func (w *world) checkFailure(x *simExecution) {
	if x.c.err.Verdict() != verdict.NotRun {
		return
	}
	for _, granted := range w.runs[x.key] {
		if granted <= x.asked {
			w.t.Fatalf("%s: caller received %v (not-run) for step %d, but the attempt granted at step %d ran", x.key, x.c.err, x.asked, granted)
		}
	}
	w.saidNotRun[x.key] = max(w.saidNotRun[x.key], x.asked)
}

// check checks the invariants that hold after every step.
func (w *world) check(*rapid.T) {
	for key, runs := range w.runs {
		if _, kind := keyOf(int(key[1] - '0')); kind == ledger.ToolCall && len(runs) > 1 {
			w.t.Fatalf("%s: non-idempotent call ran %d times", key, len(runs))
		}
	}
	s := w.ledger.Answer(ledger.Query{Program: &ledger.ProgramQuery{Program: worldProgram, Team: worldTeam}}).Program
	if s.Spent.Tokens+s.Reserved.Tokens > worldBudget {
		w.t.Fatalf("budget %d exceeded: %+v", worldBudget, s)
	}
}

// finish ends the program, and checks that there is a release record for every
// engine that caches its prompts. A tick after all timeouts ends the calls that
// still run.
func (w *world) finish() {
	w.clock = 1 << 41
	for _, c := range []ledger.Command{
		{Tick: &ledger.Tick{}},
		{EndProgram: &ledger.EndProgram{Program: worldProgram, Team: worldTeam, Status: ledger.ProgramDone}},
	} {
		w.apply(c)
	}
	due := w.ledger.Answer(ledger.Query{Releases: &ledger.ReleasesQuery{Limit: 10}}).Releases
	recorded := map[string]bool{}
	for _, r := range due {
		recorded[r.Server] = true
	}
	for server := range w.memory {
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
		w := newWorld(t)
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
