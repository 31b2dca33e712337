package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/credential"
	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeDispatcher records its calls and returns the values of its fields.
type fakeDispatcher struct {
	mu      sync.Mutex
	opens   []ledger.OpenProgram
	models  []dispatch.ModelCall
	tools   []dispatch.ToolCall
	ends    []ledger.EndProgram
	tokens  []string // sent to the sink
	answer  dispatch.ModelAnswer
	tool    dispatch.ToolAnswer
	err     error // returned by Model and Tool
	openErr error
}

func (d *fakeDispatcher) OpenProgram(_ context.Context, c ledger.OpenProgram) (ledger.ProgramState, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opens = append(d.opens, c)
	return ledger.ProgramState{
		Program: c.Program, Team: c.Team, Class: c.Class, Status: ledger.ProgramOpen,
		Budget: c.Budget, Deadline: c.Deadline, Parent: c.Parent,
	}, d.openErr
}

func (d *fakeDispatcher) Model(_ context.Context, c dispatch.ModelCall, s dispatch.Sink) (dispatch.ModelAnswer, error) {
	d.mu.Lock()
	d.models = append(d.models, c)
	d.mu.Unlock()
	for i, text := range d.tokens {
		if s == nil {
			break
		}
		if err := s.Token(engine.Token{Offset: i, Text: text}); err != nil {
			return dispatch.ModelAnswer{}, err
		}
	}
	return d.answer, d.err
}

func (d *fakeDispatcher) Tool(_ context.Context, c dispatch.ToolCall) (dispatch.ToolAnswer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tools = append(d.tools, c)
	return d.tool, d.err
}

func (d *fakeDispatcher) EndProgram(_ context.Context, c ledger.EndProgram) (ledger.ProgramState, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ends = append(d.ends, c)
	return ledger.ProgramState{Program: c.Program, Team: c.Team, Status: c.Status}, nil
}

func (d *fakeDispatcher) Program(_ context.Context, team, program string) (ledger.ProgramState, error) {
	if program == "unknown" {
		return ledger.ProgramState{}, verdict.Newf(verdict.NotRun, verdict.UnknownProgram, "program %q is unknown", program)
	}
	return ledger.ProgramState{Program: program, Team: team, Class: ledger.Batch, Status: ledger.ProgramOpen, Deadline: 99_000}, nil
}

func (d *fakeDispatcher) History(_ context.Context, _, _ string, from, limit int) ([]ledger.Message, error) {
	return []ledger.Message{{Role: "user", Content: fmt.Sprintf("%d+%d", from, limit)}}, nil
}

type staticCredentials struct{}

func (staticCredentials) Find(token string) (credential.Identity, bool) {
	switch token {
	case "paws":
		return credential.Identity{Team: "tailor-paws", Scope: credential.Caller}, true
	case "operator":
		return credential.Identity{Scope: credential.Operator}, true
	}
	return credential.Identity{}, false
}

func newTestAPI(d Dispatcher, opts ...Option) http.Handler {
	var n atomic.Int64
	defaults := []Option{
		WithAuthenticator(staticCredentials{}),
		WithClock(func() time.Time { return time.UnixMilli(1000) }),
		WithIDs(func() string { return fmt.Sprint("id-", n.Add(1)) }),
		WithMaxBodyBytes(1 << 20),
	}
	return New(d, append(defaults, opts...)...)
}

// serveRequest sends a request with the credential of tailor-paws. Headers have
// the form "Name: value".
func serveRequest(h http.Handler, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer paws")
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

const (
	keyHeader   = "Idempotency-Key: key-1"
	chatRequest = `{"model":"m","messages":[{"role":"user","content":"hello"}]}`
	openRequest = `{"budget":{"tokens":100,"calls":2}}`
)

// Guards against an error that names neither the field nor the allowed values,
// and against an invalid request that reaches the dispatcher.
func TestBadRequests(t *testing.T) {
	tests := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		want                     string
	}{
		{"no credential", "POST", "/v1/chat/completions", chatRequest, []string{"Authorization: "}, 401, "Authorization"},
		{"unknown credential", "POST", "/v1/chat/completions", chatRequest, []string{"Authorization: Bearer x"}, 401, "not known"},
		{"operator", "POST", "/v1/chat/completions", chatRequest, []string{"Authorization: Bearer operator"}, 403, "want caller"},
		{"path", "POST", "/v1/nothing", "", nil, 400, "no such resource"},
		{"method", "GET", "/v1/chat/completions", "", nil, 400, `method "GET"`},
		{"cut short", "POST", "/v1/chat/completions", `{"model":"m"`, nil, 400, "ends too early"},
		{"trailing data", "POST", "/v1/chat/completions", chatRequest + "x", nil, 400, "nothing may follow"},
		{"duplicate key", "POST", "/v1/chat/completions", `{"model":"a","model":"b"}`, nil, 400, "appears twice"},
		{"not UTF-8", "POST", "/v1/chat/completions", "{\"model\":\"\xff\"}", nil, 400, "UTF-8"},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"m"}`, nil, 400, `field "messages"`},
		{"messages type", "POST", "/v1/chat/completions", `{"model":"m","messages":{}}`, nil, 400, "want a list of messages"},
		{"role", "POST", "/v1/chat/completions", `{"model":"m","messages":[{"role":"cat","content":"x"}]}`, nil, 400, "messages[0].role"},
		{"content", "POST", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":7}]}`, nil, 400, "messages[0].content"},
		{"image", "POST", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, 400, "messages[0].content[0]"},
		{"tool calls", "POST", "/v1/chat/completions", `{"model":"m","messages":[{"role":"assistant","content":"x","tool_calls":[1]}]}`, nil, 400, "messages[0].tool_calls"},
		{"model", "POST", "/v1/chat/completions", `{"messages":[{"role":"user","content":"x"}]}`, nil, 400, `field "model"`},
		{"model type", "POST", "/v1/chat/completions", `{"model":7,"messages":[{"role":"user","content":"x"}]}`, nil, 400, `want a string`},
		{"max_tokens", "POST", "/v1/chat/completions", `{"model":"m","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}`, nil, 400, "max_tokens"},
		{"n", "POST", "/v1/chat/completions", `{"model":"m","n":2,"messages":[{"role":"user","content":"x"}]}`, nil, 400, "one answer"},
		{"program header", "POST", "/v1/chat/completions", chatRequest, []string{"Sycamoreline-Program: a b"}, 400, "Sycamoreline-Program"},
		{"key missing", "POST", "/v1/chat/completions", chatRequest, []string{"Sycamoreline-Program: p"}, 400, "Idempotency-Key"},
		{"key", "POST", "/v1/chat/completions", chatRequest, []string{"Idempotency-Key: " + strings.Repeat("k", 129)}, 400, "Idempotency-Key"},
		{"too large", "POST", "/v1/chat/completions", strings.Repeat(" ", 2<<20), nil, 413, "1048576 bytes"},
		{"open without key", "POST", "/v1/programs", openRequest, nil, 400, "Idempotency-Key"},
		{"unknown field", "POST", "/v1/programs", `{"budgt":{}}`, []string{keyHeader}, 400, `did you mean "budget"`},
		{"negative budget", "POST", "/v1/programs", `{"budget":{"tokens":-5,"calls":1}}`, []string{keyHeader}, 400, "budget.tokens"},
		{"no budget", "POST", "/v1/programs", `{}`, []string{keyHeader}, 400, "budget.tokens"},
		{"class", "POST", "/v1/programs", `{"class":"fast","budget":{"tokens":1,"calls":1}}`, []string{keyHeader}, 400, "interactive, standard or batch"},
		{"expired deadline", "POST", "/v1/programs", `{"deadline-seconds":0,"budget":{"tokens":1,"calls":1}}`, []string{keyHeader}, 400, "deadline-seconds"},
		{"other team", "POST", "/v1/programs", `{"team":"trois-sillons","budget":{"tokens":1,"calls":1}}`, []string{keyHeader}, 403, "tailor-paws"},
		{"program id", "POST", "/v1/programs", `{"program":"a/b","budget":{"tokens":1,"calls":1}}`, []string{keyHeader}, 400, `field "program"`},
		{"unknown parent", "POST", "/v1/programs/unknown/programs", openRequest, []string{keyHeader}, 404, "unknown"},
		{"unknown program", "GET", "/v1/programs/unknown", "", nil, 404, "unknown"},
		{"history page", "GET", "/v1/programs/p/history?from=-1", "", nil, 400, `field "from"`},
		{"call field", "POST", "/v1/programs/p/calls", `{"model":"m","max_tokens":1}`, []string{keyHeader}, 400, `did you mean "max-tokens"`},
		{"end status", "POST", "/v1/programs/p/end", `{"status":"open"}`, nil, 400, "want ended or failed"},
		{"tool key", "POST", "/v1/programs/p/tools/orders/cut", `{}`, nil, 400, "Idempotency-Key"},
		{"tool body", "POST", "/v1/programs/p/tools/orders/cut", `{"a":`, []string{keyHeader}, 400, "ends too early"},
		{"idempotent", "POST", "/v1/programs/p/tools/orders/cut", `{}`, []string{keyHeader, "Sycamoreline-Idempotent: yes"}, 400, "want true or false"},
		{"service name", "POST", "/v1/programs/p/tools/..%2f/cut", `{}`, []string{keyHeader}, 400, `field "service"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &fakeDispatcher{}
			w := serveRequest(newTestAPI(d), tt.method, tt.path, tt.body, tt.headers...)
			assert.Equal(t, w.Code, tt.status, w.Body.String())
			assert.Equal(t, w.Header().Get(verdict.HeaderVerdict), "not-run")
			assert.Equal(t, w.Header().Get(verdict.HeaderRequestID), "r-id-1")
			var e verdict.Error
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &e))
			assert.Assert(t, strings.Contains(e.Message(), tt.want), e.Message())
			assert.Assert(t, !strings.Contains(e.Message(), "\n"))
			assert.Equal(t, len(d.opens)+len(d.models)+len(d.tools)+len(d.ends), 0)
		})
	}
}

// Guards against a sub-program that does not inherit its parent's class and
// deadline, and against a generated id that differs for a resend.
func TestOpenProgram(t *testing.T) {
	d := &fakeDispatcher{}
	h := newTestAPI(d)
	for range 2 {
		assert.Equal(t, serveRequest(h, "POST", "/v1/programs", openRequest, keyHeader).Code, 201)
	}
	assert.DeepEqual(t, d.opens[0], d.opens[1])
	assert.Equal(t, d.opens[0].Class, ledger.Standard)
	assert.Equal(t, d.opens[0].Deadline, int64(1000+3600_000))

	w := serveRequest(h, "POST", "/v1/programs/parent/programs", openRequest, keyHeader)
	assert.Equal(t, w.Code, 201)
	assert.DeepEqual(t, d.opens[2], ledger.OpenProgram{
		Program: w.Header().Get(HeaderProgram), Team: "tailor-paws", Class: ledger.Batch,
		Budget: ledger.Budget{Tokens: 100, Calls: 2}, Deadline: 99_000, Parent: "parent", Key: "key-1",
	})
	assert.Assert(t, d.opens[2].Program != d.opens[0].Program)
}

// Guards against a tool answer that loses the service's status, and against a
// service error that is reported as an error of Sycamoreline.
func TestTool(t *testing.T) {
	d := &fakeDispatcher{tool: dispatch.ToolAnswer{Call: 3, Status: 422, Body: json.RawMessage(`{"sizes":[]}`)}}
	w := serveRequest(newTestAPI(d), "POST", "/v1/programs/p/tools/orders/cut", `{"size":"M"}`, keyHeader, "Sycamoreline-Idempotent: false")
	assert.Equal(t, w.Code, 422)
	assert.Equal(t, w.Body.String(), `{"sizes":[]}`)
	assert.Equal(t, w.Header().Get(HeaderCall), "3")
	assert.Equal(t, w.Header().Get(verdict.HeaderVerdict), "ran")
	assert.Equal(t, *d.tools[0].Idempotent, false)
	assert.Equal(t, string(d.tools[0].Body), `{"size":"M"}`)
}

// Guards against history pages that overlap or leave a gap.
func TestHistoryNamesTheNextPage(t *testing.T) {
	w := serveRequest(newTestAPI(&fakeDispatcher{}), "GET", "/v1/programs/p/history?from=4&limit=2", "")
	assert.Equal(t, strings.TrimSpace(w.Body.String()),
		`{"program":"p","from":4,"next":5,"messages":[{"role":"user","content":"4+2"}]}`)
}

// Guards against the answer of an entry host with an invalid status that is taken
// for that of a tool.
func TestClientRejectsInvalidStatus(t *testing.T) {
	for _, status := range []int{600, 999} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderCall, "1")
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "{}")
		}))
		c := NewClient([]string{s.URL}, "credential", WithAttempts(1))
		_, err := c.Tool(t.Context(), "p", "k", "s", "o", nil, struct{}{})
		s.Close()
		assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	}
}
