package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/standin"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// completion is a model call on a stand-in engine.
type completion struct {
	engine     *StandIn
	inc        *incarnation
	id         backend.CallID
	idText     string
	priority   int
	resumeFrom int
	request    request
	answer     standInAnswer
	length     int // tokens of the whole answer, including those before resumeFrom
	usage      Usage
}

func (e *StandIn) serveCompletion(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(backend.HeaderCall, r.Header.Get(backend.HeaderCall))
	c, body, ok := e.readCompletion(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer c.inc.unregister(c.id, c.inc.register(c.id, cancel))
	e.faults.HangIfSet(ctx)
	if c.inc.slots.acquire(ctx, c.priority) != nil {
		return
	}
	c.inc.recordLoad(e.settings)
	defer c.inc.recordLoad(e.settings)
	defer c.inc.slots.release()
	e.faults.CrashOn(string(body))
	c.run(ctx, w)
}

func (e *StandIn) readCompletion(w http.ResponseWriter, r *http.Request) (*completion, []byte, bool) {
	id, ok := readCallID(w, r)
	if !ok {
		return nil, nil, false
	}
	body, ok := standin.ReadBody(w, r)
	if !ok {
		return nil, nil, false
	}
	c := &completion{engine: e, inc: e.current.Load(), id: id, idText: id.String()}
	if err := c.read(r.Header, body); err != nil {
		err.Write(w)
		return nil, nil, false
	}
	return c, body, true
}

func (c *completion) read(h http.Header, body []byte) *verdict.Error {
	if err := json.Unmarshal(body, &c.request); err != nil {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "request body is not valid JSON", verdict.WithCause(err))
	}
	for name, n := range map[string]*int{HeaderPriority: &c.priority, HeaderResumeFrom: &c.resumeFrom} {
		text := h.Get(name)
		if text == "" {
			continue
		}
		var err error
		if *n, err = strconv.Atoi(text); err != nil {
			return verdict.Newf(verdict.NotRun, verdict.BadRequest, "header %s: %q: want a number", name, text)
		}
	}
	if !c.inc.hasModel(c.request) {
		return verdict.Newf(verdict.NotRun, verdict.UnknownModel, "model %q version %q adapter %q is not loaded",
			c.request.Model, c.request.ModelVersion, c.request.Adapter)
	}
	c.answer = newStandInAnswer(c.request.Model, c.request.Messages, c.engine.settings.AnswerTokens)
	c.length = c.answer.length
	if c.request.MaxTokens > 0 {
		c.length = min(c.length, c.request.MaxTokens)
	}
	if c.resumeFrom < 0 || c.resumeFrom > c.length {
		return verdict.Newf(verdict.NotRun, verdict.BadRequest, "header %s: %d: want 0 to %d", HeaderResumeFrom, c.resumeFrom, c.length)
	}
	return nil
}

// run streams the answer and caches the conversation. If the call ends early, it
// caches only the prompt. If the call ends before the prefill is complete, it
// caches only the part of the prompt that was already cached.
func (c *completion) run(ctx context.Context, w http.ResponseWriter) {
	prompt := prefixBlocks(c.request.Model, c.request.Messages)
	hits := c.inc.cache.begin(c.id.Program, prompt)
	conversation := prompt[:hits]
	defer func() { c.inc.cache.end(c.id.Program, conversation) }()

	total, cached := blockTokens(prompt), blockTokens(prompt[:hits])
	c.usage = Usage{PromptTokens: int(total), CachedTokens: int(cached), OutputTokens: c.length}
	w.Header().Set("Content-Type", "text/event-stream")
	out := &eventWriter{w: w, rc: http.NewResponseController(w)}
	if out.flush() != nil {
		return
	}
	uncached := total - cached + int64(c.resumeFrom)
	if c.engine.faults.Wait(ctx, time.Duration(uncached)*c.engine.settings.prefillTimePerToken()) != nil {
		return
	}
	conversation = prompt
	if !c.decode(ctx, out) {
		return
	}
	reply := ledger.Message{Role: "assistant", Content: c.answer.text(c.length)}
	conversation = prefixBlocks(c.request.Model, append(slices.Clone(c.request.Messages), reply))
	c.end(out)
}

// decode streams the tokens. It returns false if it stops before the end of the
// answer.
func (c *completion) decode(ctx context.Context, out *eventWriter) bool {
	faults := c.engine.faults
	for offset := c.resumeFrom; offset < c.length; offset++ {
		if faults.Wait(ctx, c.engine.settings.decodeTimePerToken()) != nil {
			return false
		}
		f := faults.Faults()
		if f.HalfAnswer && offset >= c.length/2 {
			return false
		}
		if f.CrossedAnswers && out.token("crossed/1/1", c.request.Model, offset, " crossed") != nil {
			return false
		}
		if out.token(c.idText, c.request.Model, offset, c.answer.token(offset)) != nil {
			return false
		}
	}
	return true
}

func (c *completion) end(out *eventWriter) {
	reason := "stop"
	if c.length < c.answer.length {
		reason = "length"
	}
	finish := chunk{ID: c.idText, Object: chunkObject, Model: c.request.Model, Choices: []choice{{FinishReason: &reason}}}
	usage := chunk{ID: c.idText, Object: chunkObject, Model: c.request.Model, Choices: []choice{}, Usage: c.usage.wire()}
	if out.event(finish) != nil || out.event(usage) != nil {
		return
	}
	_ = out.data([]byte("[DONE]"))
}

const chunkObject = "chat.completion.chunk"

// eventWriter writes server-sent events.
type eventWriter struct {
	w  http.ResponseWriter
	rc *http.ResponseController
}

func (e *eventWriter) token(id, model string, offset int, text string) error {
	return e.event(chunk{ID: id, Object: chunkObject, Model: model, Offset: &offset, Choices: []choice{{Delta: delta{Content: text}}}})
}

func (e *eventWriter) event(c chunk) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return e.data(data)
}

func (e *eventWriter) data(data []byte) error {
	line := make([]byte, 0, len(data)+8)
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	if _, err := e.w.Write(line); err != nil {
		return err
	}
	return e.flush()
}

func (e *eventWriter) flush() error { return e.rc.Flush() }
