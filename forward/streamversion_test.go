package forward

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/cluster"
	"github.com/sycamoreline/sycamoreline/registry"
	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// setVersions replaces the backend servers by engines of the given software
// versions.
func (f *fixture) setVersions(versions []string, servers ...*server) {
	entries := map[string]registry.Entry{}
	for i, s := range servers {
		id := fmt.Sprint("engine", i)
		entries[id] = registry.Entry{ID: id, Service: "engine", Address: s.listener.Addr().String(), Slots: 4, State: registry.Ready, Version: versions[i]}
	}
	f.forwarder.View().Servers(entries)
}

// waitForSettlements waits for the work of served calls in the background.
func (f *fixture) waitForSettlements() { f.forwarder.background.Wait() }

func (f *fixture) recordedVersion(stream string) cluster.StreamVersion {
	f.t.Helper()
	v, err := f.turns.LookupStream(f.t.Context(), cluster.StreamKey{Stream: stream})
	assert.NilError(f.t, err)
	return v
}

func resumableRoute() *route.Route {
	return &route.Route{Name: "s", Kind: route.Stream, MaxAttempts: 2, Resumable: true}
}

func streamFour(_ int, r *http.Request, w io.Writer) bool {
	streamEvents(w, r.Header.Get("Id"), 1, 4, true)
	return true
}

// Guards against a record that names the version of an earlier attempt, at which
// a caller would then resume the stream, also if the commands of that attempt are
// applied late.
func TestRecordedVersionIsThatOfFirstEvent(t *testing.T) {
	tests := []struct {
		name string
		turn *Turn
	}{
		{"stream", nil},
		{"turn", &Turn{Budget: 1000, MaxTokens: 100}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fixture{}
			var second *server
			first := startServer(t, func(n int, r *http.Request, w io.Writer) bool {
				f.setVersions([]string{"v1", "v2"}, f.servers[0], second)
				return rejectRequest(n, r, w)
			})
			second = startServer(t, streamFour)
			*f = *newFixture(t, first)
			f.servers = []*server{first}
			f.setVersions([]string{"v1"}, first)
			c := f.call("s", resumableRoute())
			c.Program, c.Turn = "p", tt.turn
			_, aborted, err := f.serve(c)
			assert.NilError(t, err)
			assert.Assert(t, !aborted)
			f.waitForSettlements()
			assert.Equal(t, first.requests(), 1)
			assert.Equal(t, f.recordedVersion("s"), cluster.StreamVersion{Service: "engine", Version: "v2", Known: true})
			f.turns.repeatRecords()
			assert.Equal(t, f.recordedVersion("s"), cluster.StreamVersion{Service: "engine", Version: "v2", Known: true})
		})
	}
}

// Guards against a record that costs a command although the reservation of the
// turn could carry it, and against a turn without a record.
func TestRecordOfTurnIsPartOfReservation(t *testing.T) {
	tests := []struct {
		name     string
		versions []string
		commands int32 // beside the reservation
	}{
		{"one version", []string{"v1", "v1"}, 0},
		{"two versions", []string{"v1", "v2"}, 1},
		{"no versions", []string{"", ""}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, second := startServer(t, streamFour), startServer(t, streamFour)
			f := newFixture(t, first, second)
			f.setVersions(tt.versions, first, second)
			c := f.call("s", resumableRoute())
			c.Program, c.Turn = "p", &Turn{Budget: 1000, MaxTokens: 100}
			_, _, err := f.serve(c)
			assert.NilError(t, err)
			f.waitForSettlements()
			assert.Equal(t, f.turns.records.Load(), tt.commands)
			want := cluster.StreamVersion{}
			if tt.versions[0] != "" {
				want = cluster.StreamVersion{Service: "engine", Version: tt.versions[second.requests()], Known: true}
			}
			assert.Equal(t, f.recordedVersion("s"), want)
		})
	}
}

// Guards against a stream that moves to another version while a record of the
// first one may still be committed, and against one that fails because it can't
// be recorded.
func TestStreamWithUnrecordedVersion(t *testing.T) {
	tests := []struct {
		name     string
		err      error
		rejected bool // the first server, of version v1, rejects the request
		second   int  // requests to the second server, of version v2
	}{
		{"outcome unknown", verdict.New(verdict.MayHaveRun, verdict.ControlUnavailable, "leader lost"), true, 0},
		{"not recorded", verdict.New(verdict.NotRun, verdict.ControlUnavailable, "no leader"), false, 0},
		{"outcome unknown, accepted", verdict.New(verdict.MayHaveRun, verdict.ControlUnavailable, "leader lost"), false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fixture{}
			second := startServer(t, streamFour)
			first := startServer(t, func(n int, r *http.Request, w io.Writer) bool {
				f.setVersions([]string{"v1", "v2"}, f.servers[0], second)
				if tt.rejected {
					return rejectRequest(n, r, w)
				}
				return streamFour(n, r, w)
			})
			*f = *newFixture(t, first)
			f.servers = []*server{first}
			f.turns.recordErr = tt.err
			f.setVersions([]string{"v1"}, first)
			_, aborted, err := f.serve(f.call("s", resumableRoute()))
			assert.Assert(t, !aborted)
			if tt.rejected {
				assert.Equal(t, verdict.Of(err), verdict.NotRun)
			} else {
				assert.NilError(t, err)
			}
			f.waitForSettlements()
			assert.Equal(t, second.requests(), tt.second)
			assert.Assert(t, !f.recordedVersion("s").Known)
		})
	}
}

// Guards against a stream that is resumed at a guessed version, and against
// refusals where all servers are interchangeable.
func TestResumeOfUnknownStream(t *testing.T) {
	tests := []struct {
		name     string
		versions []string
		resumes  string
		reason   verdict.Reason // empty if the stream is resumed
	}{
		{"no record", []string{"v1", "v2"}, "never", UnknownStream},
		{"no record, one version", []string{"v1", "v1"}, "never", UnknownStream},
		{"no id", []string{"v1", "v2"}, "", UnknownStream},
		{"servers without versions", []string{"", ""}, "never", ""},
		{"servers without versions, no id", []string{"", ""}, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			servers := []*server{startServer(t, streamFour), startServer(t, streamFour)}
			f := newFixture(t, servers...)
			f.setVersions(tt.versions, servers...)
			c := f.call("s", resumableRoute())
			c.LastEvent, c.Resumes = "0", tt.resumes
			_, _, err := f.serve(c)
			if tt.reason == "" {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, verdict.Of(err), verdict.NotRun)
			assert.Equal(t, verdict.From(err).Reason(), tt.reason)
			assert.Equal(t, servers[0].requests()+servers[1].requests(), 0)
		})
	}
}

// Guards against a stream that is refused for good while the ledger elects a
// leader.
func TestResumeWithoutLedger(t *testing.T) {
	s := startServer(t, streamFour)
	f := newFixture(t, s)
	f.setVersions([]string{"v1"}, s)
	f.turns.unavailable = true
	c := f.call("s", resumableRoute())
	c.LastEvent, c.Resumes = "1", "first"
	_, _, err := f.serve(c)
	assert.Equal(t, verdict.From(err).Reason(), verdict.ControlUnavailable)
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	assert.Assert(t, verdict.From(err).RetryAfter() > 0)
	assert.Equal(t, s.requests(), 0)
}

// Guards against a stream that is refused because the servers of its version have
// not announced themselves yet to a host that has just started, and against one
// that waits for a version that is gone.
func TestResumeAwaitsVersion(t *testing.T) {
	s := startServer(t, streamFour)
	f := newFixture(t)
	assert.NilError(t, f.turns.RecordStream(t.Context(), cluster.StreamKey{Stream: "first"}, "engine", "v1", 1, time.Minute))
	time.AfterFunc(registryWarmUp/4, func() { f.setVersions([]string{"v1"}, s) })
	resume := func(id string) error {
		c := f.call(id, resumableRoute())
		c.LastEvent, c.Resumes = "1", "first"
		_, _, err := f.serve(c)
		return err
	}
	assert.NilError(t, resume("a"))
	f.setVersions([]string{"v2"}, s)
	time.Sleep(registryWarmUp) // until the host knows all servers
	began := time.Now()
	err := resume("b")
	assert.Equal(t, verdict.From(err).Reason(), verdict.NoServer)
	assert.Assert(t, time.Since(began) < registryWarmUp/2)
	assert.Equal(t, s.requests(), 1)
}
