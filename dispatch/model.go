package dispatch

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/schedule"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	// messageOverheadTokens bounds what an engine's chat template adds to a
	// message.
	messageOverheadTokens = 8
)

// Model runs a model call. Tokens go to the sink as they arrive; with a nil
// sink only the whole answer is returned. Errors carry a verdict.
func (d *Dispatcher) Model(ctx context.Context, m ModelCall, sink Sink) (ModelAnswer, error) {
	if err := d.begin(m.FirstSend); err != nil {
		return ModelAnswer{}, err
	}
	defer d.running.Done()
	if !d.board.HasModel(m.Model) {
		return ModelAnswer{}, d.rejectWithoutLedger(m.FirstSend, verdict.UnknownModel, "model "+m.Model+" is not served by any backend server")
	}
	x, s, err := d.prepareModel(ctx, m, sink)
	if err != nil {
		return ModelAnswer{}, err
	}
	state, err := x.run(ctx)
	if err != nil {
		return ModelAnswer{}, err
	}
	return s.answer(state)
}

// rejectWithoutLedger is a refusal made without asking the ledger.
func (d *Dispatcher) rejectWithoutLedger(firstSend bool, reason verdict.Reason, message string) error {
	v := verdict.MayHaveRun
	if firstSend {
		v = verdict.NotRun
	}
	return verdict.New(v, reason, message, verdict.WithRetryAfter(time.Second))
}

func (d *Dispatcher) prepareModel(ctx context.Context, m ModelCall, sink Sink) (*execution, *modelSender, error) {
	lookup, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	recorded, err := d.fetchHistory(lookup, m.Team, m.Program)
	if err != nil {
		return nil, nil, err
	}
	fresh, err := d.freshMessages(lookup, m, recorded)
	if err != nil {
		return nil, nil, err
	}
	prompt := append(recorded[:len(recorded):len(recorded)], fresh...)
	promptTokens := tokenBound(prompt)
	c := newCall(ledger.ModelCall, true, d.host, d.incarnation)
	s := &modelSender{d: d, call: c, request: m, prompt: prompt, fresh: fresh, sink: sink}
	x := &execution{
		d: d, call: c, sender: s, deadline: time.Now().Add(defaultModelTimeout),
		open: ledger.OpenCall{
			Program: m.Program, Team: m.Team, Key: m.Key, Fingerprint: m.Fingerprint,
			Kind: ledger.ModelCall, Name: m.Model, Idempotent: true,
			WorstCaseTokens: int64(promptTokens + m.MaxTokens),
			Host:        d.host, HostIncarnation: d.incarnation, Request: d.newRequest(),
			Timeout:  defaultModelTimeout.Milliseconds(),
			Messages: fresh,
		},
		request: schedule.Request{
			Team: m.Team, Model: m.Model, Version: m.Version, Adapter: m.Adapter,
			PromptTokens: promptTokens, MaxTokens: m.MaxTokens,
			PrefixTokens: tokenBound(recorded),
			Idempotent:   true, Fingerprint: promptFingerprint(m.Model, prompt),
		},
		logger: d.callLogger(m.RequestID, m.Program, m.Team, m.Model),
	}
	return x, s, nil
}

// freshMessages returns the messages that the call adds to the history. A
// resend of a recorded call repeats a shorter history than the recorded one;
// its messages do not matter, since the ledger has its answer.
func (d *Dispatcher) freshMessages(ctx context.Context, m ModelCall, recorded []ledger.Message) ([]ledger.Message, error) {
	fresh, err := newMessages(m, recorded)
	if err == nil {
		return fresh, nil
	}
	_, lookupErr := d.ledger.Call(ctx, ledger.CallQuery{Program: m.Program, Team: m.Team, Key: m.Key})
	if lookupErr == nil {
		return nil, nil
	}
	if verdict.From(lookupErr).Reason() == ledger.UnknownKey {
		v := verdict.From(err)
		return nil, verdict.New(verdict.NotRun, v.Reason(), v.Message())
	}
	return nil, err
}

// tokenBound returns the most tokens that the messages can have: no tokenizer
// makes more than one token of a byte.
func tokenBound(messages []ledger.Message) int {
	n := 0
	for _, m := range messages {
		n += len(m.Content) + messageOverheadTokens
	}
	return n
}

func (d *Dispatcher) callLogger(requestID, program, team, name string) *zap.Logger {
	return d.logger.With(zap.String("request-id", requestID), zap.String("program", program),
		zap.String("team", team), zap.String("name", name))
}

// modelSender streams a model call from an engine.
type modelSender struct {
	d       *Dispatcher
	call    *call
	request ModelCall
	prompt  []ledger.Message
	fresh   []ledger.Message
	sink    Sink
	emitted bool
}

func (s *modelSender) send(ctx context.Context, x *execution, a send) (sendResult, error) {
	r := &hedgedStream{execution: x, sender: s, ends: make(chan streamEnd, 2)}
	by, finish, err := r.run(ctx, a)
	if err != nil {
		return sendResult{send: by, usage: schedule.Usage{OutputTokens: s.call.received}}, err
	}
	result, err := s.result(finish)
	result.send = by
	return result, err
}

// accept takes the next token of the answer and passes a new one on.
func (s *modelSender) accept(t engine.Token) error {
	isNew, err := s.call.token(t)
	if err != nil || !isNew {
		return err
	}
	s.emit(t)
	return nil
}

func (s *modelSender) engineCall(a send) engine.Call {
	m := s.request
	return engine.Call{
		Program: m.Program, Call: a.assignment.ID.Call, Attempt: a.number,
		Model: m.Model, Version: m.Version, Adapter: m.Adapter,
		Messages: s.prompt, MaxTokens: m.MaxTokens, Priority: a.assignment.Priority,
		ResumeFrom: s.call.received, ResumeText: string(s.call.text),
		Extra: m.Extra,
	}
}

// emit passes a token to the caller. A caller that is gone no longer gets
// tokens, and the call goes on for the sake of a resend.
func (s *modelSender) emit(t engine.Token) {
	if s.sink == nil {
		return
	}
	s.emitted = true
	if err := s.sink.Token(t); err != nil {
		s.sink = nil
	}
}

func (s *modelSender) result(f engine.Finish) (sendResult, error) {
	text := string(s.call.text)
	u := f.Usage
	u.OutputTokens = max(u.OutputTokens, s.call.received)
	answer, err := json.Marshal(ModelAnswer{
		Call: s.call.state.Call, Text: text, Model: s.request.Model,
		FinishReason: f.Reason, Usage: u, Created: time.Now().Unix(),
	})
	if err != nil {
		return sendResult{}, verdict.New(verdict.MayHaveRun, verdict.Internal, "answer cannot be encoded", verdict.WithCause(err))
	}
	return sendResult{
		tokens:  int64(u.PromptTokens + u.OutputTokens),
		usage:   schedule.Usage{PromptTokens: u.PromptTokens, CachedTokens: u.CachedTokens, OutputTokens: u.OutputTokens},
		history: []ledger.Message{{Role: "assistant", Content: text}},
		answer:  answer,
	}, nil
}

// answer reads the recorded answer. A caller that has seen no tokens of it,
// since another request ran the call, gets its text as one token.
func (s *modelSender) answer(state ledger.CallState) (ModelAnswer, error) {
	var a ModelAnswer
	if err := json.Unmarshal(state.Answer, &a); err != nil {
		return ModelAnswer{}, verdict.New(verdict.Ran, verdict.Internal, "recorded answer cannot be read", verdict.WithCause(err))
	}
	if s.sink != nil && !s.emitted && a.Text != "" {
		// An error means that the caller is gone; the answer stays recorded.
		_ = s.sink.Token(engine.Token{Text: a.Text})
	}
	return a, nil
}
