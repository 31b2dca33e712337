package verdict

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an error of unknown origin being reported as not run.
func TestOfUnknownErrorIsMayHaveRun(t *testing.T) {
	assert.Equal(t, Of(errors.New("connection reset")), MayHaveRun)
	assert.Equal(t, Of(nil), MayHaveRun)
	wrapped := fmt.Errorf("open call: %w", New(NotRun, Overloaded, "queue is full"))
	assert.Equal(t, Of(wrapped), NotRun)
}

// Guards against headers and body that differ, and against a Retry-After
// header rounded down to 0 seconds.
func TestWriteAndRead(t *testing.T) {
	e := New(NotRun, Overloaded, "queue is full", WithRetryAfter(300*time.Millisecond)).WithRequestID("r-1")
	w := httptest.NewRecorder()
	e.Write(w)
	assert.Equal(t, w.Code, 429)
	assert.Equal(t, w.Header().Get(HeaderVerdict), "not-run")
	assert.Equal(t, w.Header().Get("Retry-After"), "1")

	var got Error
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &got))
	assert.Equal(t, got.Verdict(), NotRun)
	assert.Equal(t, got.Reason(), Overloaded)
	assert.Equal(t, got.RetryAfter(), 300*time.Millisecond)
	assert.Equal(t, got.RequestID(), "r-1")
	assert.Equal(t, got.Error(), e.Error())
}

func ExampleError() {
	err := New(MayHaveRun, ServerFailed, "connection lost", WithCause(errors.New("EOF")))
	fmt.Println(err, err.Verdict())
	// Output: server-failed: connection lost: EOF may-have-run
}
