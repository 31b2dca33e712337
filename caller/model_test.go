package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const streamRequest = `{"model":"m","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"hello"}]}`

func wholeAnswer() dispatch.ModelAnswer {
	return dispatch.ModelAnswer{
		Call: 1, Text: "size \"M\"", Model: "m", FinishReason: "stop", Created: 7,
		Usage: engine.Usage{PromptTokens: 5, CachedTokens: 2, OutputTokens: 3},
	}
}

// readResponse decodes the response in w as the client does.
func readResponse(t *testing.T, w *httptest.ResponseRecorder) (dispatch.ModelAnswer, error) {
	t.Helper()
	r := w.Result()
	defer r.Body.Close()
	return readAnswer(r)
}

// Guards against a streamed answer that differs from the unstreamed one, and
// against a resend that repeats or drops text that was already streamed.
func TestAnswerIsTheSameHoweverDelivered(t *testing.T) {
	tests := []struct {
		name   string
		body   string
		tokens []string
	}{
		{"whole", chatRequest, nil},
		{"streamed", streamRequest, []string{"size ", "", `"M"`}},
		{"recorded", streamRequest, nil},
		{"streamed in part", streamRequest, []string{"size"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &fakeDispatcher{answer: wholeAnswer(), tokens: tt.tokens}
			w := serveRequest(newTestAPI(d), "POST", "/v1/chat/completions", tt.body, keyHeader)
			got, err := readResponse(t, w)
			assert.NilError(t, err)
			if tt.tokens != nil {
				// The call number and creation time are unknown when the stream starts.
				got.Call, got.Created = 1, 7
			}
			assert.DeepEqual(t, got, wholeAnswer())
		})
	}
}

// Guards against an error after the first byte that looks like the regular end
// of the stream.
func TestErrorWithinStream(t *testing.T) {
	d := &fakeDispatcher{tokens: []string{"size"}, err: verdict.New(verdict.MayHaveRun, verdict.ServerFailed, "engine disconnected")}
	w := serveRequest(newTestAPI(d), "POST", "/v1/chat/completions", streamRequest, keyHeader)
	assert.Equal(t, w.Code, 200)
	assert.Assert(t, !strings.Contains(w.Body.String(), "[DONE]"))
	_, err := readResponse(t, w)
	var e *verdict.Error
	assert.Assert(t, errors.As(err, &e))
	assert.Equal(t, e.Reason(), verdict.ServerFailed)
	assert.Equal(t, e.RequestID(), "r-id-1")
}

// Guards against streamed text that differs from the recorded answer being
// reported as complete.
func TestStreamThatDiffersFromRecordEndsInError(t *testing.T) {
	for _, token := range []string{"Size", "size \"M\" and more"} {
		d := &fakeDispatcher{answer: wholeAnswer(), tokens: []string{token}}
		_, err := readResponse(t, serveRequest(newTestAPI(d), "POST", "/v1/chat/completions", streamRequest, keyHeader))
		assert.Equal(t, verdict.From(err).Reason(), verdict.Internal)
		assert.Equal(t, verdict.Of(err), verdict.Ran)
	}
}

// Guards against an error before the first byte being sent as a stream event
// instead of an HTTP status.
func TestErrorBeforeStream(t *testing.T) {
	d := &fakeDispatcher{err: verdict.New(verdict.NotRun, verdict.Overloaded, "full", verdict.WithRetryAfter(time.Second))}
	w := serveRequest(newTestAPI(d), "POST", "/v1/chat/completions", streamRequest, keyHeader)
	assert.Equal(t, w.Code, 429)
	assert.Equal(t, w.Header().Get("Retry-After"), "1")
	assert.Equal(t, w.Header().Get("Content-Type"), "application/json")
}

// Guards against a single call that a resend to another entry host cannot
// find, and against its program being left open or ended too early.
func TestSingleCall(t *testing.T) {
	busy := verdict.New(verdict.NotRun, verdict.Overloaded, "full", verdict.WithRetryAfter(time.Second))
	tests := []struct {
		name  string
		err   error
		keyed bool
		ends  []ledger.ProgramStatus
	}{
		{"answered", nil, true, []ledger.ProgramStatus{ledger.ProgramDone}},
		{"permanently rejected", verdict.New(verdict.NotRun, verdict.UnknownModel, "no"), true, []ledger.ProgramStatus{ledger.ProgramFailed}},
		{"temporarily rejected", busy, true, nil},
		{"rejected, no key to resend", busy, false, []ledger.ProgramStatus{ledger.ProgramFailed}},
		{"outcome unknown", errors.New("lost"), true, nil},
		{"failed", verdict.New(verdict.Ran, verdict.ServerFailed, "no"), true, []ledger.ProgramStatus{ledger.ProgramFailed}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &fakeDispatcher{answer: wholeAnswer(), err: tt.err}
			headers := []string{}
			if tt.keyed {
				headers = append(headers, keyHeader)
			}
			serveRequest(newTestAPI(d), "POST", "/v1/chat/completions", chatRequest, headers...)
			serveRequest(newTestAPI(d), "POST", "/v1/chat/completions", chatRequest, headers...)
			assert.Equal(t, d.models[0].FirstSend, !tt.keyed)
			assert.Equal(t, d.models[0].Program, d.opens[0].Program)
			assert.Equal(t, d.opens[0].Program == d.opens[1].Program, true)
			assert.Equal(t, len(d.ends), 2*len(tt.ends))
			for i, status := range tt.ends {
				assert.Equal(t, d.ends[i].Status, status)
			}
		})
	}
}

// Guards against a single call that cannot be taken over after its entry host
// fails, because its budget covers only the first attempt.
func TestSingleBudgetCoversWorstCost(t *testing.T) {
	c := dispatch.ModelCall{MaxTokens: 1000, Messages: []ledger.Message{{Role: "user", Content: "hello"}}}
	assert.Assert(t, singleCallBudget(c) >= 3*(1000+5))
}

// Guards against different fingerprints of requests that differ only in
// streaming, field order or null fields, and against equal fingerprints of
// requests with different content.
func TestFingerprint(t *testing.T) {
	base, err := decodeChat([]byte(chatRequest))
	assert.NilError(t, err)
	tests := []struct {
		body string
		same bool
	}{
		{streamRequest, true},
		{`{ "messages":[{"role":"user", "content":"hello"}], "model":"m", "temperature":null }`, true},
		{`{"model":"m","messages":[{"role":"user","content":"hello!"}]}`, false},
		{`{"model":"m","temperature":1,"messages":[{"role":"user","content":"hello"}]}`, false},
	}
	for _, tt := range tests {
		other, err := decodeChat([]byte(tt.body))
		assert.NilError(t, err)
		assert.Equal(t, base.fingerprint == other.fingerprint, tt.same, tt.body)
	}
}

// Guards against the loss of fields that the engine interprets.
func TestFurtherFieldsReachTheEngine(t *testing.T) {
	d := &fakeDispatcher{answer: wholeAnswer()}
	body := `{"model":"m","temperature":0.5,"max_completion_tokens":9,"messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}],"refusal":null}]}`
	w := serveRequest(newTestAPI(d), "POST", "/v1/chat/completions", body, keyHeader, "Sycamoreline-Program: p")
	assert.Equal(t, w.Code, 200, w.Body.String())
	got := d.models[0]
	assert.Equal(t, got.Program, "p")
	assert.Equal(t, got.MaxTokens, 9)
	assert.Assert(t, got.WholeConversation)
	assert.DeepEqual(t, got.Messages, []ledger.Message{{Role: "user", Content: "ab"}})
	assert.DeepEqual(t, got.Extra, map[string]any{"temperature": json.RawMessage("0.5")})
	assert.Equal(t, len(d.opens), 0)
}

// drainingGate rejects every request.
type drainingGate struct{}

func (drainingGate) BeginRequest(bool) error {
	return verdict.New(verdict.NotRun, verdict.Draining, "draining")
}
func (drainingGate) EndRequest() {}

// Guards against a host that answers a resend with not-run without having
// looked up the first send.
func TestRefusalOfResendMayHaveRun(t *testing.T) {
	h := newTestAPI(&fakeDispatcher{}, WithGate(drainingGate{}))
	tests := []struct {
		header string
		want   string
	}{{"X: y", "not-run"}, {keyHeader, "may-have-run"}}
	for _, tt := range tests {
		w := serveRequest(h, "POST", "/v1/chat/completions", chatRequest, tt.header)
		assert.Equal(t, w.Code, 503)
		assert.Equal(t, w.Header().Get(verdict.HeaderVerdict), tt.want)
	}
}

// Guards against bodies that cause a panic, errors that are not valid JSON or
// have several lines, and incomplete calls that reach the dispatcher.
func FuzzRequests(f *testing.F) {
	for _, seed := range []string{chatRequest, streamRequest, openRequest, `{"status":"ended"}`, `{"model":`, "\xff", `[[[[`} {
		f.Add(seed)
	}
	paths := []string{"/v1/chat/completions", "/v1/programs", "/v1/programs/p/calls", "/v1/programs/p/end", "/v1/programs/p/tools/s/o"}
	f.Fuzz(func(t *testing.T, body string) {
		d := &fakeDispatcher{answer: wholeAnswer(), tool: dispatch.ToolAnswer{Status: 200, Body: json.RawMessage("{}")}}
		h := newTestAPI(d)
		for _, path := range paths {
			w := serveRequest(h, "POST", path, body, keyHeader)
			if w.Code >= http.StatusBadRequest {
				var e verdict.Error
				assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &e), path)
				assert.Equal(t, e.Verdict(), verdict.NotRun)
				assert.Assert(t, !strings.ContainsAny(e.Message(), "\r\n"))
			}
		}
		for _, c := range d.models {
			assert.Assert(t, c.Model != "" && len(c.Messages) > 0 && c.MaxTokens > 0 && c.Fingerprint != "")
		}
	})
}

func ExampleNew() {
	d := &fakeDispatcher{answer: wholeAnswer()}
	server := httptest.NewServer(newTestAPI(d))
	defer server.Close()
	client := NewClient([]string{server.URL}, "paws")
	program, err := client.Open(context.Background(), "open-1", "", openProgramBody{Budget: ledger.Budget{Tokens: 100, Calls: 1}})
	fmt.Println(program.Status, err)
	answer, err := client.Model(context.Background(), program.Program, "call-1", ModelStep{
		Model: "m", Messages: []ledger.Message{{Role: "user", Content: "Which size fits?"}},
	})
	fmt.Println(answer.Text, err)
	http.DefaultClient.CloseIdleConnections()
	// Output:
	// open <nil>
	// size "M" <nil>
}
