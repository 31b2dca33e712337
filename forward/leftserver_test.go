package forward

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/cluster"
	"github.com/sycamoreline/sycamoreline/registry"
)

// Guards against the record of an empty version, which lets a caller resume the
// stream at any version, if the assigned server has left.
func TestVersionOfServerThatHasLeftIsNotRecorded(t *testing.T) {
	var f *fixture
	entry := func(s *server, id, version string) registry.Entry {
		return registry.Entry{ID: id, Service: "engine", Address: s.listener.Addr().String(), Slots: 4, State: registry.Ready, Version: version}
	}
	second := startServer(t, streamFour)
	first := startServer(t, func(n int, r *http.Request, w io.Writer) bool {
		if n > 1 {
			return streamFour(n, r, w)
		}
		e := entry(second, "second", "v2")
		f.setEntries(e)
		f.forwarder.View().Limits([]cluster.ServerLimit{{Server: "second", StartedAt: e.StartedAt, PerSecond: 1}})
		return rejectRequest(n, r, w)
	})
	f = newFixture(t, first)
	f.forwarder.permits = leavingPermits{func(cluster.ServerLimit) { f.setEntries(entry(first, "first", "v1")) }}
	f.setEntries(entry(first, "first", "v1"))
	_, aborted, err := f.serve(f.call("s", resumableRoute()))
	assert.NilError(t, err)
	assert.Assert(t, !aborted)
	f.waitForSettlements()
	assert.Equal(t, second.requests(), 0)
	for _, c := range f.turns.recorded {
		assert.Equal(t, c.RecordStream.Version, "v1")
	}
}
