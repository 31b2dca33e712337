package engine

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/verdict"
)

func ignoreToken(Token) error { return nil }

// Guards against a prefix cache that misses the next turn of a conversation,
// and against cached tokens that remain after a release.
func TestNextTurnIsCachedUntilRelease(t *testing.T) {
	e := newStandIn(t, testSettings())
	address, c := serve(t, e)
	call := testCall()
	var got collector
	first, err := c.Stream(t.Context(), address, call, got.emit)
	assert.NilError(t, err)
	assert.Equal(t, first.Usage.CachedTokens, 0)

	call.Call = 2
	call.Messages = append(call.Messages, message("assistant", got.text()), message("user", "and the dachshund"))
	second, err := c.Stream(t.Context(), address, call, ignoreToken)
	assert.NilError(t, err)
	assert.Assert(t, second.Usage.CachedTokens > first.Usage.PromptTokens)
	assert.DeepEqual(t, e.Programs(), []string{"p-1"})

	released, err := c.Release(t.Context(), address, "p-1")
	assert.NilError(t, err)
	assert.Equal(t, released.Incarnation, "i-1")
	assert.Assert(t, released.Tokens > 0)
	assert.Equal(t, len(e.Programs()), 0)
	call.Call = 3
	third, err := c.Stream(t.Context(), address, call, ignoreToken)
	assert.NilError(t, err)
	assert.Equal(t, third.Usage.CachedTokens, 0)
}

// Guards against an imported prefix that gives no cache hits, and against
// importing the prefix of another program.
func TestExportAndImport(t *testing.T) {
	address, c := serve(t, newStandIn(t, testSettings()))
	other := newStandIn(t, testSettings())
	otherAddress, _ := serve(t, other)
	first, err := c.Stream(t.Context(), address, testCall(), ignoreToken)
	assert.NilError(t, err)
	cache, err := c.Export(t.Context(), address, "p-1")
	assert.NilError(t, err)

	_, err = c.Import(t.Context(), otherAddress, "p-2", cache)
	checkVerdict(t, err, verdict.NotRun, verdict.BadRequest, `belongs to program "p-1": want "p-2"`)
	stored, err := c.Import(t.Context(), otherAddress, "p-1", cache)
	assert.NilError(t, err)
	assert.Assert(t, stored >= int64(first.Usage.PromptTokens))
	call := testCall()
	call.Call = 2
	second, err := c.Stream(t.Context(), otherAddress, call, ignoreToken)
	assert.NilError(t, err)
	assert.Equal(t, second.Usage.CachedTokens, first.Usage.PromptTokens)

	_, err = c.Export(t.Context(), address, "p-9")
	checkVerdict(t, err, verdict.NotRun, verdict.UnknownProgram, `program "p-9" has nothing cached`)
}

// Guards against a delayed order of a former owner that overrides an order of
// its successor, on an engine that checks fencing numbers.
func TestOrdersAreFenced(t *testing.T) {
	tests := []struct {
		name    string
		fencing bool
	}{{"checked", true}, {"ignored", false}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			settings := testSettings()
			settings.Fencing = tt.fencing
			e := newStandIn(t, settings)
			address, c := serve(t, e)
			serving, err := c.Order(t.Context(), address, Order{Fencing: 7, LoadModel: &membership.Model{Name: "n"}})
			assert.NilError(t, err)
			assert.Equal(t, len(serving.Models), 2)
			_, err = c.Order(t.Context(), address, Order{Fencing: 6, UnloadModel: &ModelVersion{Name: "n"}})
			if tt.fencing {
				checkVerdict(t, err, verdict.NotRun, verdict.Conflict, `field "fencing": 6: want 7 or more`)
				assert.Equal(t, len(e.Announcement().Models), 2)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, len(e.Announcement().Models), 1)
		})
	}
}

// Guards against a call that continues on an engine that does not notice the
// closed connection.
func TestContextEndCancelsOnTheEngine(t *testing.T) {
	received, cancelled, ended := make(chan struct{}), make(chan string, 1), make(chan struct{})
	address, c := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/cancel" {
			close(received)
			<-ended
			return
		}
		body, _ := io.ReadAll(r.Body)
		cancelled <- string(body)
		w.WriteHeader(http.StatusNoContent)
	}))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	_, err := c.Stream(ctx, address, testCall(), ignoreToken)
	checkVerdict(t, err, verdict.MayHaveRun, verdict.Cancelled, "connection lost before a response")
	assert.Equal(t, <-cancelled, `{"call":"p-1/1/1"}`)
	close(ended)
}

// Guards against a call that continues or is treated as complete after it was
// cancelled or its program was released, and against a cached prefix that
// remains after the release.
func TestCancelAndReleaseEndACall(t *testing.T) {
	tests := []struct {
		name string
		end  func(*Client, string) error
		// cachedPrograms is the number of programs with a cached prefix after
		// the call has ended.
		cachedPrograms int
	}{
		{"cancel", func(c *Client, address string) error { return c.Cancel(t.Context(), address, testCall().ID()) }, 1},
		{"release", func(c *Client, address string) error {
			_, err := c.Release(t.Context(), address, "p-1")
			return err
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			settings := testSettings()
			settings.AnswerTokens, settings.DecodeMicroseconds = 1_000_000, 1000
			e := newStandIn(t, settings)
			address, c := serve(t, e)
			call := testCall()
			call.MaxTokens = 0
			var once sync.Once
			_, err := c.Stream(t.Context(), address, call, func(Token) error {
				once.Do(func() { assert.NilError(t, tt.end(c, address)) })
				return nil
			})
			checkVerdict(t, err, verdict.MayHaveRun, verdict.ServerFailed, "stream ended without [DONE]")
			assert.Equal(t, len(e.Programs()), tt.cachedPrograms)
		})
	}
}

// Guards against wrong verdicts for control requests: a malformed response is
// may-have-run, a request that was never sent is not-run.
func TestControlErrors(t *testing.T) {
	address, c := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"running":"many"}`))
	}))
	_, err := c.Load(t.Context(), address)
	checkVerdict(t, err, verdict.MayHaveRun, verdict.ServerFailed, "response has an unexpected structure")
	err = c.Cancel(t.Context(), "127.0.0.1:bad", backend.CallID{Program: "p"})
	checkVerdict(t, err, verdict.NotRun, verdict.BadRequest, "cannot create request")
}
