package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// firstEventThen answers with the first event of a stream, and then closes the
// connection or keeps it open.
func firstEventThen(stayOpen bool) func(int, *http.Request, io.Writer) bool {
	return func(_ int, r *http.Request, w io.Writer) bool {
		streamEvents(w, r.Header.Get("Id"), 1, 1, false)
		return stayOpen
	}
}

// Guards against aborted streams whose log line does not tell whether the caller,
// the deadline, the shutdown of the host or the server has ended them.
func TestAbortedStreamTellsItsCause(t *testing.T) {
	errStopping := verdict.New(verdict.MayHaveRun, verdict.Draining, "the host is stopping")
	tests := []struct {
		name   string
		answer func(int, *http.Request, io.Writer) bool
		end    error // ends the call after its first event; nil to wait for its end
		want   verdict.Reason
	}{
		{"server", firstEventThen(false), nil, verdict.ServerFailed},
		{"deadline", firstEventThen(true), nil, verdict.Timeout},
		{"caller", firstEventThen(true), context.Canceled, verdict.Cancelled},
		{"host", firstEventThen(true), errStopping, verdict.Draining},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, startServer(t, tt.answer))
			core, logs := observer.New(zapcore.WarnLevel)
			f.forwarder.logger = zap.New(core)
			c := f.call("s", &route.Route{Name: "s", Kind: route.Stream, MaxAttempts: 1})
			c.Route.Timeout, c.Deadline = 500*time.Millisecond, c.Arrived.Add(time.Second)
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			w := &endingWriter{ResponseRecorder: httptest.NewRecorder()}
			if tt.end != nil {
				w.written = func() { cancel(tt.end) }
			}
			func() {
				defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
				_ = f.forwarder.Serve(ctx, w, c)
			}()
			lines := logs.FilterMessage("stream aborted").All()
			assert.Equal(t, len(lines), 1)
			fields := lines[0].ContextMap()
			assert.Equal(t, fields["cause"], string(tt.want), fmt.Sprint(fields))
			assert.Equal(t, fields["events"], int64(1))
			assert.Equal(t, fields["table"], int64(1))
			used := fields["after"].(time.Duration).Seconds()
			assert.Assert(t, fields["time-used"].(float64) >= 0.99*used && fields["time-used"].(float64) <= 1.01*used, "%v", fields)
		})
	}
}

// endingWriter calls written after each write.
type endingWriter struct {
	*httptest.ResponseRecorder
	written func()
}

func (w *endingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseRecorder.Write(b)
	if w.written != nil {
		w.written()
	}
	return n, err
}
