package service

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/standin"
	"github.com/sycamoreline/sycamoreline/verdict"
)

var testID = backend.CallID{Program: "p-1", Call: 3, Attempt: 1}

func testSettings() StandInSettings {
	return StandInSettings{
		Settings: standin.Settings{
			Server: "s-1", Incarnation: "i-1", DataCentre: "dc-1",
			Listen: "127.0.0.1:1", RenewalMilliseconds: 500, FaultSwitches: true,
		},
		Service: "orders",
		Slots:   2,
	}
}

// serve returns the address of a handler and a client for it.
func serve(t *testing.T, h http.Handler) (string, *Client) {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	c := NewClient(WithMaxBodyBytes(1000))
	t.Cleanup(c.Close)
	return s.Listener.Addr().String(), c
}

func newStandIn(t *testing.T, s StandInSettings) *StandIn {
	service, err := NewStandIn(s)
	assert.NilError(t, err)
	return service
}

// Guards against runs that are not counted: tests would then miss an operation
// that runs twice.
func TestStandInCountsRuns(t *testing.T) {
	s := newStandIn(t, testSettings())
	address, c := serve(t, s)
	for range 2 {
		status, body, err := c.Call(t.Context(), address, "cut-order", testID, []byte(`{"size":"M"}`))
		assert.NilError(t, err)
		assert.Equal(t, status, 200)
		assert.Assert(t, json.Valid(body))
	}
	assert.DeepEqual(t, s.Runs(), []Run{{Operation: "cut-order", Program: "p-1", Call: 3, Attempt: 1, Runs: 2}})

	resp, err := http.Get("http://" + address + RunsPath) //nolint:noctx // the server is in this process
	assert.NilError(t, err)
	defer resp.Body.Close()
	var got struct{ Runs []Run }
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&got))
	assert.DeepEqual(t, got.Runs, s.Runs())
}

// Guards against the verdict not-run for a call that the service may have run,
// and against accepting the response to another call.
func TestCallVerdicts(t *testing.T) {
	answer := func(id backend.CallID, contentType, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(backend.HeaderCall, id.String())
			w.Header().Set("Content-Type", contentType)
			_, _ = w.Write([]byte(body))
		}
	}
	const jsonType = "application/json"
	other := backend.CallID{Program: "p-2", Call: 3, Attempt: 1}
	tests := []struct {
		name    string
		handler http.HandlerFunc
		verdict verdict.Verdict
		reason  verdict.Reason
		message string
	}{
		{"refused", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(backend.HeaderCall, r.Header.Get(backend.HeaderCall))
			verdict.New(verdict.NotRun, verdict.Overloaded, "busy").Write(w)
		}, verdict.NotRun, verdict.Overloaded, "busy"},
		{"refusal of another call", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(backend.HeaderCall, other.String())
			verdict.New(verdict.NotRun, verdict.Overloaded, "busy").Write(w)
		}, verdict.MayHaveRun, verdict.Overloaded, "busy"},
		{"no call id", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "bad gateway", http.StatusBadGateway) }, verdict.MayHaveRun, verdict.ServerFailed, `response is for call ""`},
		{"other call", answer(other, jsonType, "{}"), verdict.MayHaveRun, verdict.ServerFailed, `response is for call "p-2/3/1": want "p-1/3/1"`},
		{"wrong content type", answer(testID, "text/html", "<p>"), verdict.MayHaveRun, verdict.ServerFailed, `content type "text/html"`},
		{"bad JSON", answer(testID, jsonType, "{"), verdict.MayHaveRun, verdict.ServerFailed, "not valid JSON"},
		{"empty", answer(testID, jsonType, ""), verdict.MayHaveRun, verdict.ServerFailed, "not valid JSON"},
		{"not UTF-8", answer(testID, jsonType, "\"\xff\""), verdict.MayHaveRun, verdict.ServerFailed, "not UTF-8"},
		{"too large", answer(testID, jsonType, strings.Repeat(" ", 1001)), verdict.MayHaveRun, verdict.ServerFailed, "longer than 1000 bytes"},
		{"half", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			answer(testID, jsonType, "{")(w, nil)
		}, verdict.MayHaveRun, verdict.ServerFailed, "cannot read response"},
		{"broken connection", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, verdict.MayHaveRun, verdict.ServerFailed, "connection lost before a response"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, c := serve(t, tt.handler)
			_, _, err := c.Call(t.Context(), address, "measure", testID, []byte("{}"))
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
}

// Guards against a call that the HTTP transport sends again by itself after the
// service has run it and closed the connection.
func TestCallIsSentOnce(t *testing.T) {
	s := newStandIn(t, testSettings())
	address, c := serve(t, s)
	_, _, err := c.Call(t.Context(), address, "measure", testID, []byte("{}"))
	assert.NilError(t, err)
	s.Faults().Set(standin.Faults{CrashText: "poison"})
	_, _, err = c.Call(t.Context(), address, "charge", testID, []byte(`{"note":"poison"}`))
	checkVerdict(t, err, verdict.MayHaveRun, verdict.ServerFailed, "connection lost before a response")
	_, _, err = c.Call(t.Context(), address, "sew", testID, []byte("{}"))
	checkVerdict(t, err, verdict.NotRun, verdict.UnknownService, `operation "sew"`)
	assert.Equal(t, s.Runs()[0], Run{Operation: "charge", Program: "p-1", Call: 3, Attempt: 1, Runs: 1})
}

// Guards against accepting the response to another call when the service mixes
// up its responses.
func TestCrossedAnswerIsRefused(t *testing.T) {
	s := newStandIn(t, testSettings())
	address, c := serve(t, s)
	s.Faults().Set(standin.Faults{CrossedAnswers: true})
	_, _, err := c.Call(t.Context(), address, "measure", testID, []byte("{}"))
	assert.NilError(t, err)
	_, _, err = c.Call(t.Context(), address, "measure", backend.CallID{Program: "p-2", Call: 1, Attempt: 1}, []byte("{}"))
	checkVerdict(t, err, verdict.MayHaveRun, verdict.ServerFailed, "response is for call")
}
