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
	// messageOverheadTokens is the maximum number of tokens that an engine's chat
	// template adds to a message.
	messageOverheadTokens = 8
)

// Model runs a model call and returns its complete answer. Unless the sink is
// nil, tokens are also passed to it as they arrive. Errors carry a verdict.
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

// rejectWithoutLedger returns the error for a call that is rejected without a
// ledger query.
func (d *Dispatcher) rejectWithoutLedger(firstSend bool, reason verdict.Reason, message string) error {
	v := verdict.MayHaveRun
	if firstSend {
		v = verdict.NotRun
	}
	return verdict.New(v, reason, message, verdict.WithRetryAfter(time.Second))
}

func (d *Dispatcher) prepareModel(ctx context.Context, m ModelCall, sink Sink) (*execution, *modelSender, error) {
	lookupCtx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	recorded, err := d.fetchHistory(lookupCtx, m.Team, m.Program)
	if err != nil {
		return nil, nil, err
	}
	added, err := d.messagesToRecord(lookupCtx, m, recorded)
	if err != nil {
		return nil, nil, err
	}
	prompt := append(recorded[:len(recorded):len(recorded)], added...)
	promptTokens := tokenBound(prompt)
	c := newCall(ledger.ModelCall, true, d.host, d.incarnation)
	s := &modelSender{d: d, call: c, request: m, prompt: prompt, added: added, sink: sink}
	x := &execution{
		d: d, call: c, sender: s, deadline: time.Now().Add(defaultModelTimeout),
		open: ledger.OpenCall{
			Program: m.Program, Team: m.Team, Key: m.Key, Fingerprint: m.Fingerprint,
			Kind: ledger.ModelCall, Name: m.Model, Idempotent: true,
			WorstCaseTokens: int64(promptTokens + m.MaxTokens),
			Host:            d.host, HostIncarnation: d.incarnation, Request: d.newRequestID(),
			Timeout:  defaultModelTimeout.Milliseconds(),
			Messages: added,
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

// messagesToRecord returns the messages that the call adds to the history. A
// resend with the whole conversation doesn't continue the history, which by then
// includes the call itself. No messages are returned for it, since the ledger has
// recorded the call.
func (d *Dispatcher) messagesToRecord(ctx context.Context, m ModelCall, recorded []ledger.Message) ([]ledger.Message, error) {
	added, err := newMessages(m, recorded)
	if err == nil {
		return added, nil
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

// tokenBound returns an upper bound on the number of tokens in the messages: no
// tokenizer produces more than one token per byte.
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

// modelSender sends a model call to engines and streams the answer to the
// caller.
type modelSender struct {
	d       *Dispatcher
	call    *call
	request ModelCall
	prompt  []ledger.Message
	added   []ledger.Message
	sink    Sink
	emitted bool // the sink has received a token
	// weights are those that produced the received tokens or, before the first
	// token, those of the engine of the first stream.
	weights weights
}

func (s *modelSender) send(ctx context.Context, x *execution, a send) (sendResult, error) {
	if !s.mayContinueOn(a.server) {
		return sendResult{send: a}, errWeights(a.server.Server)
	}
	h := &hedgedStream{execution: x, sender: s, ends: make(chan streamEnd, 2)}
	ended, finish, err := h.run(ctx, a)
	if err != nil {
		if s.call.received > 0 {
			x.request.Version = s.weights.version
			if s.request.Version == "" && verdict.From(err).Reason() == verdict.UnknownModel {
				err = errWeights(ended.server.Server, verdict.WithCause(err))
			}
		}
		return sendResult{send: ended, usage: schedule.Usage{OutputTokens: s.call.received}}, err
	}
	result, err := s.result(finish)
	result.send = ended
	return result, err
}

// accept adds a token to the answer and forwards it unless it is a duplicate.
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
	version := m.Version
	if s.call.received > 0 {
		version = s.weights.version
	}
	return engine.Call{
		Program: m.Program, Call: a.assignment.ID.Call, Attempt: a.number,
		Model: m.Model, Version: version, Adapter: m.Adapter,
		Messages: s.prompt, MaxTokens: m.MaxTokens, Priority: a.assignment.Priority,
		ResumeFrom: s.call.received, ResumeText: string(s.call.text),
		Extra: m.Extra,
	}
}

// emit forwards a token to the caller. After the caller has disconnected, tokens
// are no longer forwarded, but the call continues, so that a resend receives its
// answer.
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

// answer decodes the recorded answer. If another request ran the call and no
// token was forwarded, the sink receives the whole text as one token.
func (s *modelSender) answer(state ledger.CallState) (ModelAnswer, error) {
	var a ModelAnswer
	if err := json.Unmarshal(state.Answer, &a); err != nil {
		return ModelAnswer{}, verdict.New(verdict.Ran, verdict.Internal, "recorded answer cannot be decoded", verdict.WithCause(err))
	}
	if s.sink != nil && !s.emitted && a.Text != "" {
		// On an error, the caller has disconnected; the answer remains recorded.
		_ = s.sink.Token(engine.Token{Text: a.Text})
	}
	return a, nil
}
