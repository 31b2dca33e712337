package caller

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/engine"
)

// nullWriter is a ResponseWriter that discards the response.
type nullWriter struct{ header http.Header }

func (w *nullWriter) Header() http.Header         { return w.header }
func (w *nullWriter) Write(b []byte) (int, error) { return len(b), nil }
func (w *nullWriter) WriteHeader(int)             {}
func (w *nullWriter) FlushError() error           { return nil }

// BenchmarkToken measures the cost of one streamed token without the network.
func BenchmarkToken(b *testing.B) {
	p := &api{now: time.Now, writeTimeout: time.Second}
	s := p.newStream(&nullWriter{header: http.Header{}}, dispatch.ModelCall{Program: "p", Key: "k", Model: "m"})
	b.ReportAllocs()
	for b.Loop() {
		if err := s.Token(engine.Token{Text: "token "}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkOpenStreams measures the memory of 2,000 open streams, including
// goroutines and connections. The client ends of the connections are in the
// same process and are included.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 2000
	for b.Loop() {
		before := memoryInUse()
		d := newBlockingDispatcher(streams)
		server := httptest.NewServer(newTestAPI(d, WithClock(time.Now)))
		connections := make([]net.Conn, streams)
		for i := range connections {
			connections[i] = dialStream(b, server.Listener.Addr().String())
		}
		d.started.Wait()
		b.ReportMetric(float64(memoryInUse()-before)/streams/1024, "KiB/stream")
		close(d.release)
		for _, c := range connections {
			_, err := io.CopyN(io.Discard, c, 1)
			assert.NilError(b, err)
			c.Close()
		}
		server.Close()
	}
}

// memoryInUse returns the heap and stack memory in use, in bytes.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
