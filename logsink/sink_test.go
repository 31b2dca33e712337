package logsink

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a process that blocks because its log is not read, and against
// dropped lines that are not reported.
func TestSinkNeverBlocks(t *testing.T) {
	r, w := io.Pipe()
	s := New(w)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 3 * maxPendingBytes / len(line) {
		n, err := s.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	var got bytes.Buffer
	var read sync.WaitGroup
	read.Go(func() { _, _ = io.Copy(&got, r) })
	s.Close()
	w.Close()
	read.Wait()
	assert.Assert(t, strings.Contains(got.String(), `"msg":"log lines dropped"`))
	assert.Assert(t, bytes.Count(got.Bytes(), line) > 100)
}

// Guards against a log that grows in proportion to the load, and against lost
// warnings.
func TestLimit(t *testing.T) {
	var out bytes.Buffer
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&out), zapcore.InfoLevel)
	l := zap.New(Limit(core, 10)).With(zap.String("host", "h"))
	for range 100 {
		l.Info("call placed")
		l.Warn("call refused")
		l.Debug("not wanted")
	}
	assert.Equal(t, strings.Count(out.String(), "call refused"), 100)
	placed := strings.Count(out.String(), "call placed")
	assert.Assert(t, placed >= 10 && placed < 100, "%d lines", placed) // a new second may begin in between
	assert.Equal(t, strings.Count(out.String(), "not wanted"), 0)
	assert.Equal(t, strings.Count(out.String(), `"host":"h"`), 100+placed)
}

// Guards against lost lines at any log level that can be set.
func TestLimitKeepsLevel(t *testing.T) {
	levels := []zapcore.Level{zapcore.DebugLevel, zapcore.InfoLevel, zapcore.WarnLevel, zapcore.ErrorLevel, zapcore.DPanicLevel}
	for _, level := range levels {
		var out bytes.Buffer
		core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&out), level)
		l := zap.New(Limit(core, 10)).With(zap.String("host", "h"))
		for _, e := range levels {
			l.Log(e, "message")
			want := 0
			if e >= level {
				want = 1
			}
			assert.Equal(t, strings.Count(out.String(), `"host":"h"`), want, "a line of level %v at level %v", e, level)
			out.Reset()
		}
	}
}
