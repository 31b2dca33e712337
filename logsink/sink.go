// Package logsink writes log lines in the background, so that logging never
// blocks, and limits repeated lines. It does not format lines. Start with Sink
// and Limit.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// flushInterval is the time for which lines are buffered, so that a busy
	// process does not need a system call for each.
	flushInterval = 50 * time.Millisecond
	// maxPendingBytes limits the buffered lines while the reader of the output does
	// not read. Further lines are dropped and counted.
	maxPendingBytes = 512 << 10
)

// Sink buffers lines and writes them in the background. It implements
// zapcore.WriteSyncer.
type Sink struct {
	out  io.Writer
	wake chan struct{}
	stop chan struct{}
	done chan struct{}

	mu      sync.Mutex
	pending []byte
	dropped int64
	closed  bool
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write buffers a line, or drops and counts it if the buffer is full or the sink
// is closed. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.pending)+len(line) > maxPendingBytes {
		s.dropped++
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync returns at once: lines are written in the background.
func (*Sink) Sync() error { return nil }

// Close writes the buffered lines and waits until they are written.
func (s *Sink) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	s.mu.Unlock()
	close(s.stop)
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	for {
		select {
		case <-s.stop:
			s.flush()
			return
		case <-s.wake:
		}
		select {
		case <-s.stop:
			s.flush()
			return
		case <-time.After(flushInterval):
		}
		s.flush()
	}
}

func (s *Sink) flush() {
	s.mu.Lock()
	lines, dropped := s.pending, s.dropped
	s.pending, s.dropped = nil, 0
	s.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, `{"level":"warn","msg":"log lines dropped","lines":%d}`+"\n", dropped)
	}
	if len(lines) == 0 {
		return
	}
	if _, err := s.out.Write(lines); err != nil {
		s.mu.Lock()
		s.dropped++ // reported as one line by the next write that succeeds
		s.mu.Unlock()
	}
}

// Limit returns a core that passes at most perSecond entries per second with the
// same message and a level below warn. Rejections, failures and changes of state
// are not lost, since they are logged as warnings or are rare.
func Limit(core zapcore.Core, perSecond int) zapcore.Core {
	below := zapcore.NewSamplerWithOptions(belowLevelCore{core, zapcore.WarnLevel}, time.Second, perSecond, 0)
	above, err := zapcore.NewIncreaseLevelCore(core, zapcore.WarnLevel)
	if err != nil {
		return core // its level is above warn, so that there is nothing to limit
	}
	return zapcore.NewTee(below, above)
}

// belowLevelCore passes only entries below a level.
type belowLevelCore struct {
	zapcore.Core
	level zapcore.Level
}

func (o belowLevelCore) Enabled(l zapcore.Level) bool { return l < o.level && o.Core.Enabled(l) }

func (o belowLevelCore) With(fields []zapcore.Field) zapcore.Core {
	return belowLevelCore{o.Core.With(fields), o.level}
}

func (o belowLevelCore) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if o.Enabled(e.Level) {
		return o.Core.Check(e, c)
	}
	return c
}
