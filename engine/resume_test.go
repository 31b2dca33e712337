package engine

import (
	"errors"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/verdict"
)

var errCut = errors.New("cut")

// Guards against tokens that are lost or duplicated when the client or the
// server interrupts a stream at any token and it is resumed on any server.
func TestResumedAnswerHasEachTokenOnce(t *testing.T) {
	var bytesLeft atomic.Int64
	var addresses []string
	var c *Client
	for range 3 {
		e := newStandIn(t, testSettings())
		noDrop := WithDrops(func(d Drop) { t.Errorf("event dropped from a resumed stream: %+v", d) })
		address, client := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			e.ServeHTTP(&truncatingWriter{ResponseWriter: w, remaining: &bytesLeft}, r)
		}), noDrop)
		addresses, c = append(addresses, address), client
	}
	rapid.Check(t, func(t *rapid.T) {
		call := testCall()
		call.Messages = []ledger.Message{{Role: "user", Content: rapid.String().Draw(t, "content")}}
		var got collector
		for call.Attempt = 1; ; call.Attempt++ {
			address := rapid.SampledFrom(addresses).Draw(t, "server")
			remaining := rapid.IntRange(0, 40).Draw(t, "keep")
			bytesLeft.Store(rapid.Int64Range(0, 8000).Draw(t, "bytes"))
			if call.Attempt > 20 {
				remaining = 1000
				bytesLeft.Store(1 << 20)
			}
			call.ResumeFrom, call.ResumeText = len(got.tokens), got.text()
			finish, err := c.Stream(t.Context(), address, call, func(token Token) error {
				if remaining == 0 {
					return errCut
				}
				remaining--
				return got.emit(token)
			})
			if err == nil {
				assert.Equal(t, finish.Usage.OutputTokens, len(got.tokens))
				break
			}
			assert.Assert(t, errors.Is(err, errCut) || verdict.From(err).Reason() == verdict.ServerFailed, "%v", err)
		}
		want := newStandInAnswer(call.Model, call.Messages, 0)
		assert.Equal(t, got.text(), want.text(want.length))
		for i, token := range got.tokens {
			assert.Equal(t, token.Offset, i)
		}
	})
}

// truncatingWriter breaks the connection after the remaining number of bytes.
type truncatingWriter struct {
	http.ResponseWriter
	remaining *atomic.Int64
}

func (w *truncatingWriter) Write(p []byte) (int, error) {
	left := w.remaining.Add(int64(-len(p)))
	if left < 0 {
		_, _ = w.ResponseWriter.Write(p[:max(0, int64(len(p))+left)])
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(p)
}

func (w *truncatingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
