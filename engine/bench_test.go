package engine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/sse"
)

const benchTokens = 1000

func writeToken(w io.Writer, id string, offset int) {
	fmt.Fprintf(w, `data: {"id":%q,"object":"chat.completion.chunk","model":"m","offset":%d,"choices":[{"index":0,"delta":{"content":" word"},"finish_reason":null}]}`+"\n\n", id, offset)
}

func writeEnd(w io.Writer, id string, tokens int) {
	fmt.Fprintf(w, `data: {"id":%q,"choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"completion_tokens":%d}}`+"\n\ndata: [DONE]\n\n", id, tokens)
}

// BenchmarkAnswerToken measures the client-side processing of one token,
// without HTTP: splitting, decoding and validating an event. One operation is
// one token.
func BenchmarkAnswerToken(b *testing.B) {
	var stream bytes.Buffer
	id := testCall().ID().String()
	for i := range benchTokens {
		writeToken(&stream, id, i)
	}
	writeEnd(&stream, id, benchTokens)
	call := testCall()
	call.MaxTokens = benchTokens
	b.ReportAllocs()
	for range (b.N + benchTokens - 1) / benchTokens {
		a := newAnswer("127.0.0.1:1", call, ignoreToken, func(Drop) {})
		assert.NilError(b, a.read(b.Context(), sse.NewReader(bytes.NewReader(stream.Bytes()), defaultMaxEventBytes)))
	}
}

// BenchmarkStreamToken measures one token over HTTP on loopback, including the
// server, which flushes after every token. One operation is one token.
func BenchmarkStreamToken(b *testing.B) {
	id := testCall().ID().String()
	address, c := serve(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		rc := http.NewResponseController(w)
		for i := range benchTokens {
			writeToken(w, id, i)
			_ = rc.Flush()
		}
		writeEnd(w, id, benchTokens)
	}))
	call := testCall()
	call.MaxTokens = benchTokens
	b.ReportAllocs()
	for range (b.N + benchTokens - 1) / benchTokens {
		_, err := c.Stream(b.Context(), address, call, ignoreToken)
		assert.NilError(b, err)
	}
}

// BenchmarkOpenStreams measures the memory per stream with 2,000 open streams.
// It includes the memory of a minimal server in the same process.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 2000
	release := make(chan struct{})
	id := testCall().ID().String()
	address, c := serve(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		writeToken(w, id, 0)
		_ = http.NewResponseController(w).Flush()
		<-release
		writeEnd(w, id, 1)
	}))
	for range b.N {
		before := memoryInUse()
		arrived := make(chan struct{}, streams)
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				_, err := c.Stream(context.Background(), address, testCall(), func(Token) error {
					arrived <- struct{}{}
					return nil
				})
				assert.Check(b, err)
			})
		}
		for range streams {
			<-arrived
		}
		b.ReportMetric(float64(memoryInUse()-before)/streams, "B/stream")
		for range streams {
			release <- struct{}{}
		}
		wg.Wait()
	}
}

// memoryInUse returns the size of the heap and the stacks. The stacks account
// for a large part of the memory of a stream.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
