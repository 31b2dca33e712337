package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"unicode/utf8"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/sse"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// maxTokensAhead is the number of tokens that are dropped after a missing one
// before the stream is abandoned: resuming at the missing token is then faster
// than waiting for the end of the stream.
const maxTokensAhead = 16

// Drop describes an event that was dropped from a stream, because it has the id
// of another call or an unexpected token offset.
type Drop struct {
	Address string
	Call    backend.CallID // call that the stream belongs to
	EventID string         // call id in the event
	Offset  int            // token offset in the event; -1 if it has none
	Want    int            // expected token offset
}

// answer validates the events of one streamed answer and emits its tokens in
// order.
type answer struct {
	address         string
	id              backend.CallID
	idText          string
	next            int // expected offset of the next token
	maxTokens       int // 0 means unlimited
	ahead           int // tokens dropped since the last emitted one because their offset is above next
	finish          Finish
	hasFinishReason bool
	hasUsage        bool
	emit            func(Token) error
	drop            func(Drop)
}

func newAnswer(address string, c Call, emit func(Token) error, drop func(Drop)) *answer {
	return &answer{
		address:   address,
		id:        c.ID(),
		idText:    c.ID().String(),
		next:      c.ResumeFrom,
		maxTokens: c.MaxTokens,
		emit:      emit,
		drop:      drop,
	}
}

// read handles events until [DONE].
func (a *answer) read(ctx context.Context, events *sse.Reader) error {
	for {
		data, err := events.Next()
		if errors.Is(err, io.EOF) {
			return backend.Failure(ctx, verdict.MayHaveRun, a.address, "stream ended without [DONE]", nil)
		}
		if err != nil {
			return backend.Failure(ctx, verdict.MayHaveRun, a.address, "cannot read stream", err)
		}
		if string(data) == "[DONE]" {
			return a.checkComplete()
		}
		if err := a.handleEvent(data); err != nil {
			return err
		}
	}
}

func (a *answer) checkComplete() error {
	switch {
	case a.ahead > 0:
		return a.errorf("token %d is missing", a.next)
	case !a.hasFinishReason:
		return a.errorf("field \"finish_reason\" is missing from the answer")
	case !a.hasUsage:
		return a.errorf("field \"usage\" is missing from the answer")
	case a.finish.Usage.OutputTokens != a.next:
		return a.errorf("answer has %d tokens: usage reports %d", a.next, a.finish.Usage.OutputTokens)
	}
	return nil
}

func (a *answer) handleEvent(data []byte) error {
	if !utf8.Valid(data) {
		return a.errorf("event is not UTF-8")
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ServerFailed, "server "+a.address+": event is not valid JSON", verdict.WithCause(err))
	}
	if c.Error != nil {
		return a.errorEvent(data)
	}
	if c.ID != a.idText {
		a.reportDrop(c)
		return nil
	}
	if c.Usage != nil {
		a.finish.Usage, a.hasUsage = c.Usage.usage(), true
	}
	if len(c.Choices) == 0 {
		return nil
	}
	return a.handleChoice(c)
}

func (a *answer) handleChoice(c chunk) error {
	first := c.Choices[0]
	switch {
	case c.Offset != nil:
		if err := a.handleToken(c, first.Delta.Content); err != nil {
			return err
		}
	case first.Delta.Content != "":
		return a.errorf("field \"offset\" is missing from a token")
	}
	if first.FinishReason != nil && *first.FinishReason != "" {
		a.finish.Reason, a.hasFinishReason = *first.FinishReason, true
	}
	return nil
}

func (a *answer) handleToken(c chunk, text string) error {
	offset := *c.Offset
	if offset != a.next {
		a.reportDrop(c)
		if offset > a.next {
			a.ahead++
		}
		if a.ahead > maxTokensAhead {
			return a.errorf("token %d is missing", a.next)
		}
		return nil
	}
	if a.maxTokens > 0 && a.next >= a.maxTokens {
		return a.errorf("answer is longer than max_tokens %d", a.maxTokens)
	}
	a.next++
	a.ahead = 0
	if err := a.emit(Token{Offset: offset, Text: text}); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.Cancelled, "cannot pass token to the caller", verdict.WithCause(err))
	}
	return nil
}

func (a *answer) reportDrop(c chunk) {
	d := Drop{Address: a.address, Call: a.id, EventID: c.ID, Offset: -1, Want: a.next}
	if c.Offset != nil {
		d.Offset = *c.Offset
	}
	a.drop(d)
}

// errorEvent returns the error described by an error event, which is the last
// event of a failed stream. The engine had started the response, so the verdict
// is may-have-run whatever the event contains.
func (a *answer) errorEvent(data []byte) error {
	var e verdict.Error
	if err := json.Unmarshal(data, &e); err != nil {
		return a.errorf("error event is not valid: %v", err)
	}
	return verdict.New(verdict.MayHaveRun, verdict.ServerFailed, "server "+a.address+": "+e.Error(),
		verdict.WithRetryAfter(e.RetryAfter()))
}

func (a *answer) errorf(format string, args ...any) error {
	return verdict.Newf(verdict.MayHaveRun, verdict.ServerFailed, "server "+a.address+": "+format, args...)
}
