package caller

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// modelCall handles a model call in the program API, whose body has only the
// new messages.
func (p *api) modelCall(w http.ResponseWriter, r *request) error {
	program, err := r.programID()
	if err != nil {
		return err
	}
	key, err := r.key()
	if err != nil {
		return err
	}
	data, err := p.body(w, r)
	if err != nil {
		return err
	}
	b, err := decodeCall(data)
	if err != nil {
		return err
	}
	if err := p.beginRequest(false, false); err != nil {
		return err
	}
	defer p.gate.EndRequest()
	return p.answer(w, r, &b, p.addRequestFields(b.call(), r, program, key))
}

// chat handles a chat completion, either within a program or as a single call.
func (p *api) chat(w http.ResponseWriter, r *request) error {
	program := r.Header.Get(HeaderProgram)
	if program != "" && !programPattern.MatchString(program) {
		return invalidHeader(HeaderProgram, program, programAllowed)
	}
	key, err := r.optionalKey()
	if err != nil {
		return err
	}
	if program != "" && key == "" {
		_, err := r.key()
		return err
	}
	data, err := p.body(w, r)
	if err != nil {
		return err
	}
	b, err := decodeChat(data)
	if err != nil {
		return err
	}
	if err := p.beginRequest(program == "", key == ""); err != nil {
		return err
	}
	defer p.gate.EndRequest()
	if program == "" {
		return p.singleCall(w, r, &b, key)
	}
	call := p.addRequestFields(b.call(), r, program, key)
	call.WholeConversation = true
	return p.answer(w, r, &b, call)
}

// addRequestFields sets the fields of a call that are not in its body, and the
// default for a missing token limit.
func (p *api) addRequestFields(c dispatch.ModelCall, r *request, program, key string) dispatch.ModelCall {
	c.RequestID, c.Program, c.Team, c.Key = r.id, program, r.team, key
	if c.MaxTokens == 0 {
		c.MaxTokens = p.maxTokens
	}
	return c
}

// singleCall wraps a chat completion in a program of one call. The program's
// id is derived from team and key, so that a resend to any host finds it.
func (p *api) singleCall(w http.ResponseWriter, r *request, b *modelBody, key string) error {
	resendable := key != ""
	if !resendable {
		key = "k-" + p.newID()
	}
	call := p.addRequestFields(b.call(), r, derive("c-", r.team, key), key)
	call.FirstSend = !resendable
	_, err := p.dispatcher.OpenProgram(r.Context(), ledger.OpenProgram{
		Program:  call.Program,
		Team:     r.team,
		Class:    ledger.Standard,
		Budget:   ledger.Budget{Tokens: singleCallBudget(call), Calls: 1},
		Deadline: p.now().Add(singleCallDeadline).UnixMilli(),
		Key:      key,
	})
	if err != nil {
		return adjustVerdict(err, call.FirstSend)
	}
	err = p.answer(w, r, b, call)
	p.endSingleCall(r, call, resendable, err)
	return err
}

// endSingleCall ends the program of a single call. If a resend with the same key
// may still run the call or return its outcome, the program stays open until
// its deadline.
func (p *api) endSingleCall(r *request, call dispatch.ModelCall, resendable bool, callErr error) {
	status := ledger.ProgramDone
	if callErr != nil {
		if resendable && mayResend(callErr) {
			return
		}
		status = ledger.ProgramFailed
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), endProgramTimeout)
	defer cancel()
	_, err := p.dispatcher.EndProgram(ctx, ledger.EndProgram{Program: call.Program, Team: call.Team, Status: status})
	if err != nil {
		p.log.Warn("failed to end the program of a single call", zap.String("program", call.Program), zap.Error(err))
	}
}

// mayResend reports whether a resend may run the call or return its outcome.
func mayResend(err error) bool {
	e := verdict.From(err)
	switch e.Verdict() {
	case verdict.Ran:
		return false
	case verdict.NotRun:
		return e.RetryAfter() > 0 || e.Status() == http.StatusServiceUnavailable
	}
	return true
}

// singleCallBudget returns a token budget that covers the worst-case cost of
// singleCallAttempts attempts: a token has at least one byte, and each message
// adds a few tokens of framing.
func singleCallBudget(c dispatch.ModelCall) int64 {
	worstCost := int64(c.MaxTokens) + framingTokens
	for _, m := range c.Messages {
		worstCost += int64(len(m.Role)+len(m.Content)) + framingTokens
	}
	return singleCallAttempts * worstCost
}

// answer makes the call and writes its answer, streamed or not. It also
// returns errors that it has already written to the stream.
func (p *api) answer(w http.ResponseWriter, r *request, b *modelBody, call dispatch.ModelCall) error {
	w.Header().Set(HeaderProgram, call.Program)
	if b.stream {
		return p.answerStream(w, r, b, call)
	}
	answer, err := p.dispatcher.Model(r.Context(), call, nil)
	if err != nil {
		return err
	}
	setCallHeader(w, answer.Call)
	return writeJSON(w, http.StatusOK, completion(answerID(call), answer))
}
