package engine

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/sse"
)

// Guards against panics on malformed streams, and against treating a stream
// without [DONE] as complete.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(`data: {"id":"p-1/1/1","offset":0,"choices":[{"delta":{"content":"a"}}]}` + "\n\n"))
	f.Add([]byte(`data: {"id":"p-1/1/1","choices":[{"finish_reason":"stop"}],"usage":{"completion_tokens":0}}` + "\n\ndata: [DONE]\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		want := 0
		emit := func(token Token) error {
			assert.Equal(t, token.Offset, want)
			want++
			return nil
		}
		a := newAnswer("127.0.0.1:1", testCall(), emit, func(Drop) {})
		err := a.read(t.Context(), sse.NewReader(bytes.NewReader(in), 1<<16))
		if err == nil {
			assert.Assert(t, bytes.Contains(in, []byte("[DONE]")))
			assert.Equal(t, a.finish.Usage.OutputTokens, want)
		}
	})
}
