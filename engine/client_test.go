package engine

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/standin"
	"github.com/sycamoreline/sycamoreline/verdict"
)

func testSettings() StandInSettings {
	return StandInSettings{
		Settings: standin.Settings{
			Server: "e-1", Incarnation: "i-1", DataCentre: "dc-1",
			Listen: "127.0.0.1:1", RenewalMilliseconds: 500, FaultSwitches: true,
		},
		Models:      []membership.Model{{Name: "m", Version: "1", Adapters: []string{"coats"}}},
		Slots:       4,
		CacheTokens: 10_000,
		Fencing:     true,
	}
}

func testCall() Call {
	return Call{
		Program: "p-1", Call: 1, Attempt: 1, Model: "m", MaxTokens: 100,
		Messages: []ledger.Message{{Role: "user", Content: "measure the whippet"}},
	}
}

// serve returns the address of a handler and a client for it.
func serve(t testing.TB, h http.Handler, opts ...Option) (string, *Client) {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	c := NewClient(opts...)
	t.Cleanup(c.Close)
	return s.Listener.Addr().String(), c
}

func newStandIn(t testing.TB, s StandInSettings) *StandIn {
	e, err := NewStandIn(s)
	assert.NilError(t, err)
	return e
}

type collector struct{ tokens []Token }

func (c *collector) emit(t Token) error {
	c.tokens = append(c.tokens, t)
	return nil
}

func (c *collector) text() string {
	var b strings.Builder
	for _, t := range c.tokens {
		b.WriteString(t.Text)
	}
	return b.String()
}

// Guards against stand-in answers that depend on more than the model and the
// messages: such an answer could not be resumed on another server.
func TestStreamGivesTheSameAnswerOnEveryServer(t *testing.T) {
	var texts []string
	for range 2 {
		address, c := serve(t, newStandIn(t, testSettings()))
		var got collector
		finish, err := c.Stream(t.Context(), address, testCall(), got.emit)
		assert.NilError(t, err)
		assert.Equal(t, finish.Reason, "stop")
		assert.Equal(t, finish.Usage.OutputTokens, len(got.tokens))
		assert.Assert(t, finish.Usage.PromptTokens > 0)
		texts = append(texts, got.text())
	}
	assert.Equal(t, texts[0], texts[1])
	assert.Assert(t, texts[0] != "")
}

// Guards against the verdict not-run for a call that the engine may have run,
// and against may-have-run for a call that is safe to send elsewhere.
func TestStreamVerdicts(t *testing.T) {
	text := func(contentType, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", contentType)
			_, _ = w.Write([]byte(body))
		}
	}
	const sse = "text/event-stream"
	const first = `data: {"id":"p-1/1/1","offset":0,"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	const end = `data: {"id":"p-1/1/1","choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"completion_tokens":1}}` + "\n\n"
	refuse := func(id string, v verdict.Verdict) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(backend.HeaderCall, id)
			verdict.New(v, verdict.Overloaded, "batch is full").Write(w)
		}
	}
	tests := []struct {
		name    string
		handler http.HandlerFunc
		verdict verdict.Verdict
		reason  verdict.Reason
		message string
	}{
		{"refused", refuse("p-1/1/1", verdict.NotRun), verdict.NotRun, verdict.Overloaded, "batch is full"},
		{"refusal of another call", refuse("p-1/2/1", verdict.NotRun), verdict.MayHaveRun, verdict.Overloaded, "batch is full"},
		{"refused after running", refuse("p-1/1/1", verdict.MayHaveRun), verdict.MayHaveRun, verdict.Overloaded, "batch is full"},
		{"status without verdict", func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "oops\nagain", http.StatusInternalServerError)
		}, verdict.MayHaveRun, verdict.ServerFailed, "status 500: oops again"},
		{"wrong content type", text("text/html", "<p>"), verdict.MayHaveRun, verdict.ServerFailed, `content type "text/html": want text/event-stream`},
		{"empty", text(sse, ""), verdict.MayHaveRun, verdict.ServerFailed, "stream ended without [DONE]"},
		{"cut", text(sse, first), verdict.MayHaveRun, verdict.ServerFailed, "stream ended without [DONE]"},
		{"cut before [DONE]", text(sse, first+end), verdict.MayHaveRun, verdict.ServerFailed, "stream ended without [DONE]"},
		{"no finish reason", text(sse, first+"data: [DONE]\n\n"), verdict.MayHaveRun, verdict.ServerFailed, `field "finish_reason" is missing`},
		{"token missing at the end", text(sse, end+"data: [DONE]\n\n"), verdict.MayHaveRun, verdict.ServerFailed, "answer has 0 tokens: usage reports 1"},
		{"bad JSON", text(sse, "data: {\n\n"), verdict.MayHaveRun, verdict.ServerFailed, "event is not valid JSON"},
		{"not UTF-8", text(sse, "data: {\"id\":\"\xff\"}\n\n"), verdict.MayHaveRun, verdict.ServerFailed, "event is not UTF-8"},
		{"event too large", text(sse, "data: "+strings.Repeat("x", 5000)+"\n\n"), verdict.MayHaveRun, verdict.ServerFailed, "event is too large"},
		{"answer too long", text(sse, first+strings.Replace(first, `"offset":0`, `"offset":1`, 1)), verdict.MayHaveRun, verdict.ServerFailed, "answer is longer than max_tokens 1"},
		{"token without offset", text(sse, strings.Replace(first, `"offset":0,`, "", 1)), verdict.MayHaveRun, verdict.ServerFailed, `field "offset" is missing`},
		{"tokens after a missing one", text(sse, strings.Replace(first, `"offset":0`, `"offset":1`, 1)+end+"data: [DONE]\n\n"), verdict.MayHaveRun, verdict.ServerFailed, "token 0 is missing"},
		{"too many tokens after a missing one", text(sse, strings.Repeat(strings.Replace(first, `"offset":0`, `"offset":1`, 1), maxTokensAhead+1)), verdict.MayHaveRun, verdict.ServerFailed, "token 0 is missing"},
		{"error event", text(sse, first+`data: {"error":{"message":"boom","verdict":"not-run"}}`+"\n\n"), verdict.MayHaveRun, verdict.ServerFailed, "boom"},
		{"broken connection", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, verdict.MayHaveRun, verdict.ServerFailed, "connection lost before a response"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, c := serve(t, tt.handler, WithMaxEventBytes(4096))
			call := testCall()
			call.MaxTokens = 1
			_, err := c.Stream(t.Context(), address, call, func(Token) error { return nil })
			checkVerdict(t, err, tt.verdict, tt.reason, tt.message)
		})
	}
}

func checkVerdict(t *testing.T, err error, v verdict.Verdict, reason verdict.Reason, message string) {
	t.Helper()
	var e *verdict.Error
	assert.Assert(t, errors.As(err, &e), "%v", err)
	assert.Equal(t, e.Verdict(), v, "%v", err)
	assert.Equal(t, e.Reason(), reason, "%v", err)
	assert.ErrorContains(t, err, message)
	assert.Assert(t, !strings.Contains(err.Error(), "\n"), "%v", err)
}

// Guards against may-have-run, which prevents a retry, for a call that never
// reached a server.
func TestStreamNotConnectedIsNotRun(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	address := s.Listener.Addr().String()
	s.Close()
	c := NewClient()
	defer c.Close()
	_, err := c.Stream(t.Context(), address, testCall(), nil)
	checkVerdict(t, err, verdict.NotRun, verdict.ServerFailed, "cannot connect")
}

// Guards against stand-in rejections without the call id, which the client
// treats as may-have-run, and against may-have-run for a call that was never
// sent.
func TestStreamNotRun(t *testing.T) {
	address, c := serve(t, newStandIn(t, testSettings()))
	call := testCall()
	call.Model = "n"
	_, err := c.Stream(t.Context(), address, call, ignoreToken)
	checkVerdict(t, err, verdict.NotRun, verdict.UnknownModel, `model "n"`)

	late, cancel := context.WithDeadline(t.Context(), time.Unix(0, 0))
	defer cancel()
	_, err = c.Stream(late, address, testCall(), ignoreToken)
	checkVerdict(t, err, verdict.NotRun, verdict.Timeout, "cannot connect")
}

// Guards against tokens that are emitted twice or out of order.
func TestStreamDropsTokensOutOfOrder(t *testing.T) {
	address, c := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, offset := range []int{0, 0, 2, 1, 0, 2} {
			writeToken(w, "p-1/1/1", offset)
		}
		writeEnd(w, "p-1/1/1", 3)
	}))
	var got collector
	_, err := c.Stream(t.Context(), address, testCall(), got.emit)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.tokens, []Token{{0, " word"}, {1, " word"}, {2, " word"}})
}

// Guards against emitting tokens of another answer, and against abandoning a
// stream because of them.
func TestStreamDropsCrossedEvents(t *testing.T) {
	settings := testSettings()
	settings.Faults.CrossedAnswers = true
	var drops []Drop
	address, c := serve(t, newStandIn(t, settings), WithDrops(func(d Drop) { drops = append(drops, d) }))
	var got collector
	_, err := c.Stream(t.Context(), address, testCall(), got.emit)
	assert.NilError(t, err)
	assert.Equal(t, len(drops), len(got.tokens))
	assert.Assert(t, !strings.Contains(got.text(), "crossed"))
	assert.Equal(t, drops[0].EventID, "crossed/1/1")
	assert.Equal(t, drops[0].Call, testCall().ID())
}

// Guards against opening a new connection for each call.
func TestStreamReusesConnections(t *testing.T) {
	e := newStandIn(t, testSettings())
	connections := map[string]bool{}
	address, c := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connections[r.RemoteAddr] = true
		e.ServeHTTP(w, r)
	}))
	for range 5 {
		_, err := c.Stream(t.Context(), address, testCall(), func(Token) error { return nil })
		assert.NilError(t, err)
	}
	assert.Equal(t, len(connections), 1)
}

// Guards against an engine that continues to compute an answer after the client
// has cancelled the stream.
func TestStreamEndsOnTheEngineWithItsContext(t *testing.T) {
	settings := testSettings()
	settings.DecodeMicroseconds = 1000
	settings.AnswerTokens = 1_000_000
	e := newStandIn(t, settings)
	returned := make(chan struct{})
	address, c := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/cancel" {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		defer close(returned)
		e.ServeHTTP(w, r)
	}))
	ctx, cancel := context.WithCancel(t.Context())
	call := testCall()
	call.MaxTokens = 0
	_, err := c.Stream(ctx, address, call, func(Token) error {
		cancel()
		return nil
	})
	checkVerdict(t, err, verdict.MayHaveRun, verdict.Cancelled, "cannot read stream")
	<-returned
}
