package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// versionServer returns a server of a software version that runs the model m
// or, if tools is true, the service m.
func versionServer(id, version string, tools bool) Server {
	v := Server{ID: id, Slots: 4, CacheTokens: 1 << 20, SoftwareVersion: version}
	if tools {
		v.Service = "m"
	} else {
		v.Models = []ServerModel{{Name: "m"}}
	}
	return v
}

// versionRequest returns the n-th call for a software version.
func versionRequest(n int, version string, tools bool) Request {
	r := Request{ID: CallID{Program: fmt.Sprint("p", n), Call: 1, Attempt: 1}, SoftwareVersion: version, PromptTokens: 100}
	if tools {
		r.Service = "m"
	} else {
		r.Model = "m"
	}
	return r
}

// versionScheduler returns a scheduler with three servers of v1, a0 to a2, and
// three of v2, b0 to b2.
func versionScheduler(tools bool, opts ...Option) *Scheduler {
	s := New(rand.NewPCG(1, 1), opts...)
	for i := range 3 {
		s.SetServer(0, versionServer(fmt.Sprint("a", i), "v1", tools))
		s.SetServer(0, versionServer(fmt.Sprint("b", i), "v2", tools))
	}
	return s
}

// limitedRouters are the routers that choose a server with a free slot.
var limitedRouters = []struct {
	name   string
	option Option
}{
	{"earliest-finish", func(*Scheduler) {}},
	{"prefix-affinity", WithPrefixAffinity("")},
}

// Guards against a call of one software version that runs on a server of another
// one: on that of the last turn, by the affinity of its prompt, or because all
// servers of its version have failed an earlier attempt.
func TestCallsRunOnTheirSoftwareVersion(t *testing.T) {
	for _, router := range slices.Concat(limitedRouters, baselines) {
		for _, tools := range []bool{false, true} {
			s := versionScheduler(tools, router.option)
			for n := range 5 {
				r := versionRequest(n, "v2", tools)
				r.LastServer, r.PrefixTokens = "a0", r.PromptTokens
				r.Affinity, r.Session = uint64(n%3), uint64(n)
				r.Avoid = []string{"b0", "b1", "b2"}
				s.Enqueue(0, r)
				a, ok := s.Next(0)
				assert.Assert(t, ok, router.name)
				assert.Equal(t, s.servers[a.Server].SoftwareVersion, "v2", router.name)
			}
			used := map[string]bool{}
			for n := range 19 {
				r := versionRequest(10+n, "", tools)
				r.Affinity, r.Session = uint64(n), uint64(n)
				s.Enqueue(0, r)
				a, ok := s.Next(0)
				assert.Assert(t, ok, router.name)
				used[s.servers[a.Server].SoftwareVersion] = true
			}
			assert.Equal(t, len(used), 2, "%s: calls without a version did not use all servers", router.name)
		}
	}
}

// Guards against a call that leaves its software version because the servers of
// that version are full, and against one that waits beyond its deadline.
func TestCallsWaitForTheirSoftwareVersion(t *testing.T) {
	for _, router := range limitedRouters {
		for _, tools := range []bool{false, true} {
			s := versionScheduler(tools, router.option)
			var last Assignment
			for n := range 12 {
				s.Enqueue(0, versionRequest(n, "v2", tools))
				a, ok := s.Next(0)
				assert.Assert(t, ok, router.name)
				last = a
			}
			for n := range 2 {
				r := versionRequest(20+n, "v2", tools)
				r.LastServer, r.Deadline = "a0", 2*time.Second
				s.Enqueue(0, r)
			}
			_, ok := s.Next(0)
			assert.Assert(t, !ok, router.name)
			s.Enqueue(0, versionRequest(30, "", tools))
			a, ok := s.Next(0)
			assert.Assert(t, ok, router.name)
			assert.Equal(t, s.servers[a.Server].SoftwareVersion, "v1", router.name)
			s.Finished(time.Second, last.ID, last.Server, Usage{}, Succeeded)
			a, ok = s.Next(time.Second)
			assert.Assert(t, ok, router.name)
			assert.Equal(t, a.ID.Program, "p20", router.name)
			assert.Equal(t, a.Server, last.Server, router.name)
			assert.DeepEqual(t, s.Refused(2*time.Second), []Refused{{ID: CallID{"p21", 1, 1}, Reason: string(verdict.DeadlineExceeded)}})
		}
	}
}

// Guards against a hedge on a server of another software version, which would
// join the output of two versions.
func TestHedgesKeepTheSoftwareVersion(t *testing.T) {
	for _, router := range limitedRouters {
		s := New(rand.NewPCG(1, 1), router.option)
		s.SetServer(0, versionServer("b0", "v2", false))
		r := versionRequest(1, "v2", false)
		r.Idempotent, r.Affinity = true, 7
		s.Enqueue(0, r)
		_, ok := s.Next(0)
		assert.Assert(t, ok, router.name)
		s.setSlow(s.servers["b0"])
		s.SetServer(0, versionServer("a0", "v1", false))
		s.SetServer(0, versionServer("a1", "", false))
		_, ok = s.Next(time.Second)
		assert.Assert(t, !ok, router.name)
		s.SetServer(time.Second, versionServer("b1", "v2", false))
		a, ok := s.Next(time.Second)
		assert.Assert(t, ok && a.Hedge, router.name)
		assert.Equal(t, a.Server, "b1", router.name)
	}
}

// setSlow marks a server as slow.
func (s *Scheduler) setSlow(v *server) {
	v.speed.slow, v.speed.relative, v.speed.slotLimit = true, 0.02, 1
	s.updateEligibility(v)
	s.updateMonitored(v)
}

// Guards against a server that gets calls of a software version that it has
// left, and against waiting calls that miss a server of their version.
func TestServerChangesSoftwareVersion(t *testing.T) {
	for _, router := range limitedRouters {
		for _, tools := range []bool{false, true} {
			s := New(rand.NewPCG(1, 1), router.option)
			s.SetServer(0, versionServer("a0", "v1", tools))
			s.Enqueue(0, versionRequest(1, "v2", tools))
			_, ok := s.Next(0)
			assert.Assert(t, !ok, router.name)
			stays := versionRequest(2, "v1", tools)
			stays.LastServer, stays.Affinity = "a0", 7
			s.Enqueue(0, stays)
			s.SetServer(0, versionServer("a0", "v2", tools))
			a, ok := s.Next(0)
			assert.Assert(t, ok, router.name)
			assert.Equal(t, a.ID.Program, "p1", router.name)
			_, ok = s.Next(0)
			assert.Assert(t, !ok, router.name)
			assert.DeepEqual(t, s.Refused(noServerTimeout), []Refused{{ID: stays.ID, Reason: string(verdict.NoServer), RetryAfter: noServerTimeout}})
		}
	}
}

// Guards against a session that treats a server of another software version as
// its last server.
func TestLastServerOfAnotherSoftwareVersion(t *testing.T) {
	s := versionScheduler(false, WithPrefixAffinity(""))
	for _, tt := range []struct{ last, version, reason string }{
		{"a0", "v2", "prefix-home-new-here"},
		{"a0", "v1", "cached-prefix"},
		{"a0", "", "cached-prefix"},
	} {
		r := versionRequest(1, tt.version, false)
		r.Affinity, r.LastServer = 7, tt.last
		s.Enqueue(0, r)
		a, ok := s.Next(0)
		assert.Assert(t, ok)
		assert.Equal(t, a.Reason, tt.reason)
		s.Finished(0, a.ID, a.Server, Usage{}, Succeeded)
	}
}

// Guards against calls that wait for a software version that no server runs, and
// against the rejection of those that a server can run.
func TestHasVersion(t *testing.T) {
	s := New(rand.NewPCG(1, 1))
	s.SetServer(0, versionServer("a", "v1", false))
	leaving := versionServer("b", "v2", false)
	leaving.Leaving = true
	s.SetServer(0, leaving)
	s.SetServer(0, versionServer("c", "v3", true))
	s.SetServer(0, versionServer("d", "v4", false))
	s.RemoveServer(0, "d")
	tests := []struct {
		model, service, version string
		want                    bool
	}{
		{"m", "", "v1", true},
		{"m", "", "", true},
		{"m", "", "v2", false}, // leaving
		{"m", "", "v3", false}, // runs the service only
		{"m", "", "v4", false}, // removed
		{"", "m", "v3", true},
		{"", "m", "v1", false},
		{"", "m", "", true},
		{"other", "", "v1", false},
		{"", "other", "", false},
	}
	for _, tt := range tests {
		assert.Equal(t, s.HasVersion(tt.model, tt.service, tt.version), tt.want, "%+v", tt)
	}
}

// Guards against a server that looks slow because the only call of its software
// version is compared with initial estimates, and against a median that is set
// to that of one slow server because it is the only one of its version.
func TestSoftwareVersionsShareEstimates(t *testing.T) {
	const secondsPerToken = 100 * time.Millisecond // the initial estimate is 30 ms
	for _, tt := range []struct {
		name   string
		factor time.Duration // by which the server of v2 takes longer
		slow   bool
	}{
		{"equally fast", 1, false},
		{"slow", 10, true},
	} {
		s := New(rand.NewPCG(1, 1))
		for i := range 3 {
			s.SetServer(0, versionServer(fmt.Sprint("a", i), "v1", false))
		}
		now := time.Duration(0)
		var runs []Assignment
		run := func(r Request) {
			s.Enqueue(now, r)
			a, ok := s.Next(now)
			assert.Assert(t, ok)
			s.FirstToken(now, a.ID, a.Server)
			runs = append(runs, a)
		}
		for n := range 12 {
			run(versionRequest(n, "", false))
		}
		for range 100 {
			now += secondsPerToken
			for _, a := range runs {
				s.Tokens(now, a.ID, a.Server, 1)
			}
		}
		s.SetServer(now, versionServer("b0", "v2", false))
		run(versionRequest(20, "v2", false))
		started := now
		for i := range time.Duration(30) {
			now = started + (i+1)*secondsPerToken
			for _, a := range runs {
				if a.Server != "b0" || (i+1)%tt.factor == 0 {
					s.Tokens(now, a.ID, a.Server, 1)
				}
			}
			s.Next(now)
		}
		for _, v := range s.servers {
			assert.Equal(t, v.speed.slow, v.ID == "b0" && tt.slow, "%s: server %s has speed %.2f", tt.name, v.ID, v.speed.relative)
		}
	}
}

// Guards against memory that grows with the number of software versions that
// servers have had, and against estimates that are lost with their servers.
func TestFormerSoftwareVersionsAreForgotten(t *testing.T) {
	s := New(rand.NewPCG(1, 1))
	for n := range 20 {
		version := fmt.Sprint("v", n)
		s.SetServer(0, versionServer("a", version, false))
		s.Enqueue(0, versionRequest(n, version, false))
		a, ok := s.Next(0)
		assert.Assert(t, ok)
		s.Finished(0, a.ID, a.Server, Usage{OutputTokens: 5}, Succeeded)
		assert.Equal(t, len(s.pools), 2)
	}
	estimates := s.servers["a"].pools[0].pool.costs
	s.RemoveServer(0, "a")
	assert.Equal(t, len(s.pools), 1)
	s.Enqueue(0, versionRequest(30, "v", false))
	assert.Assert(t, s.poolOrder[1].costs == estimates)
	assert.Equal(t, len(s.Refused(noServerTimeout)), 1)
	assert.Equal(t, len(s.pools), 0)
}

// versionModel drives one Scheduler whose servers have random software versions.
type versionModel struct {
	s        *Scheduler
	now      time.Duration
	servers  map[string]Server
	queued   map[CallID]Request
	running  []Assignment
	requests map[CallID]Request
	hedges   int
	calls    int
	// faulty is false if no server fails or becomes slow, so that a call only
	// waits while the servers of its version are full.
	faulty bool
}

var softwareVersions = []string{"", "v1", "v1.1", "v2"}

func (m *versionModel) setServer(t *rapid.T) {
	id := fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "server"))
	if rapid.IntRange(0, 5).Draw(t, "removed") == 0 {
		delete(m.servers, id)
		m.s.RemoveServer(m.now, id)
		return
	}
	v := versionServer(id, rapid.SampledFrom(softwareVersions).Draw(t, "version"), rapid.IntRange(0, 2).Draw(t, "tools") == 0)
	v.Slots = rapid.IntRange(1, 4).Draw(t, "slots")
	v.Leaving = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
	v.Incarnation = fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "incarnation"))
	m.servers[id] = v
	m.s.SetServer(m.now, v)
}

func (m *versionModel) enqueue(t *rapid.T) {
	m.calls++
	r := versionRequest(m.calls, rapid.SampledFrom(softwareVersions).Draw(t, "call version"), rapid.IntRange(0, 2).Draw(t, "call tools") == 0)
	r.LastServer = fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "last"))
	r.PrefixTokens = rapid.IntRange(0, r.PromptTokens).Draw(t, "prefix")
	r.Affinity = rapid.Uint64Range(0, 3).Draw(t, "affinity")
	r.Session = rapid.Uint64Range(0, 3).Draw(t, "session")
	r.Idempotent = rapid.Bool().Draw(t, "idempotent")
	if rapid.Bool().Draw(t, "avoids") {
		r.Avoid = []string{r.LastServer}
	}
	if m.faulty {
		r.Fingerprint = rapid.Uint64Range(0, 3).Draw(t, "fingerprint")
	}
	if rapid.Bool().Draw(t, "deadline") {
		r.Deadline = m.now + time.Second
	}
	m.queued[r.ID], m.requests[r.ID] = r, r
	m.s.Enqueue(m.now, r)
}

func (m *versionModel) takeAssignments(t *rapid.T) {
	for a, ok := m.s.Next(m.now); ok; a, ok = m.s.Next(m.now) {
		r, v := m.requests[a.ID], m.servers[a.Server]
		assert.Assert(t, r.SoftwareVersion == "" || v.SoftwareVersion == r.SoftwareVersion, "call of %q assigned to %+v: %+v", r.SoftwareVersion, v, a)
		assert.Assert(t, (v.Service != "") == (r.Service != ""))
		assert.Assert(t, !v.Leaving)
		if a.Hedge {
			m.hedges++
		}
		delete(m.queued, a.ID)
		m.running = append(m.running, a)
	}
	for _, f := range m.s.Refused(m.now) {
		assert.Assert(t, m.queued[f.ID].Deadline > 0 || f.Reason != string(verdict.DeadlineExceeded))
		delete(m.queued, f.ID)
	}
	if m.faulty {
		return
	}
	for _, r := range m.queued {
		for _, v := range m.servers {
			if !v.Leaving && (v.Service != "") == (r.Service != "") && (r.SoftwareVersion == "" || v.SoftwareVersion == r.SoftwareVersion) {
				assert.Assert(t, m.s.servers[v.ID].inFlight >= v.Slots, "call of %q waits although %+v is free", r.SoftwareVersion, v)
			}
		}
	}
}

func (m *versionModel) finish(i int, o Outcome) {
	a := m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
	m.s.Finished(m.now, a.ID, a.Server, Usage{PromptTokens: 10, OutputTokens: 5}, o)
}

func (m *versionModel) step(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
	events := 8
	if m.faulty {
		events = 10
	}
	switch rapid.IntRange(0, events).Draw(t, "event") {
	case 0:
		m.setServer(t)
	case 1, 2, 3, 4, 5:
		m.enqueue(t)
	case 6, 7, 8:
		if n := len(m.running); n > 0 {
			m.finish(rapid.IntRange(0, n-1).Draw(t, "run"), Succeeded)
		}
	case 9:
		if n := len(m.running); n > 0 {
			m.finish(rapid.IntRange(0, n-1).Draw(t, "crash"), Crashed)
		}
	case 10:
		for _, a := range m.running {
			if v := m.s.servers[a.Server]; v != nil {
				m.s.setSlow(v)
			}
		}
	}
	m.takeAssignments(t)
}

// Guards against calls, hedges and suspects that run on a server of another
// software version than their own, against calls that wait while a server of
// their version is free, and against calls that are lost.
func TestRandomSoftwareVersions(t *testing.T) {
	for _, router := range limitedRouters {
		hedges := 0
		rapid.Check(t, func(t *rapid.T) {
			m := &versionModel{
				s:       New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1), router.option),
				servers: map[string]Server{}, queued: map[CallID]Request{}, requests: map[CallID]Request{},
				faulty: rapid.Bool().Draw(t, "faulty"),
			}
			for range 8 {
				m.setServer(t)
			}
			for range rapid.IntRange(1, 100).Draw(t, "steps") {
				m.step(t)
			}
			hedges += m.hedges
			for range 1000 {
				if len(m.s.calls) == 0 {
					break
				}
				m.now += time.Second
				for len(m.running) > 0 {
					m.finish(0, Succeeded)
				}
				for id, v := range m.servers {
					if v.Leaving {
						delete(m.servers, id)
						m.s.RemoveServer(m.now, id)
					}
				}
				m.takeAssignments(t)
			}
			assert.Equal(t, len(m.queued), 0, "lost calls: %v", m.queued)
			assert.Equal(t, len(m.s.calls), 0)
		})
		assert.Assert(t, hedges > 0, "%s: no hedge was sent", router.name)
	}
}
