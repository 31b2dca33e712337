package forward

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/cluster"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// lossyTurns is a ledger whose answer to the n-th record of a stream is lost.
type lossyTurns struct {
	*testTurns
	n      int
	onLoss func()

	mu    sync.Mutex
	calls int
}

func (l *lossyTurns) RecordStream(ctx context.Context, k cluster.StreamKey, service, version string, attempt int, retention time.Duration) error {
	if err := l.testTurns.RecordStream(ctx, k, service, version, attempt, retention); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.calls != l.n {
		return nil
	}
	l.onLoss()
	return verdict.New(verdict.MayHaveRun, verdict.ControlUnavailable, "leader lost")
}

// Guards against a record that names another version than that of the first
// event, if the answer to the record of a version was lost and the stream begins
// at the version recorded before.
func TestStreamIsRecordedAgainAfterLostRecord(t *testing.T) {
	var f *fixture
	second := startServer(t, streamFour)
	first := startServer(t, func(n int, r *http.Request, w io.Writer) bool {
		if n == 1 {
			f.setVersions([]string{"v2"}, second)
			return rejectRequest(n, r, w)
		}
		return streamFour(n, r, w)
	})
	f = newFixture(t, first)
	f.setVersions([]string{"v1"}, first)
	f.forwarder.turns = &lossyTurns{testTurns: f.turns, n: 2, onLoss: func() { f.setVersions([]string{"v1"}, first) }}
	_, aborted, err := f.serve(f.call("s", resumableRoute()))
	assert.NilError(t, err)
	assert.Assert(t, !aborted)
	f.waitForSettlements()
	assert.Equal(t, second.requests(), 0)
	assert.Equal(t, f.recordedVersion("s"), cluster.StreamVersion{Service: "engine", Version: "v1", Known: true})
}
