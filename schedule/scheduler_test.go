package schedule

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoreline/sycamoreline/faults"
)

func TestMain(m *testing.M) { os.Exit(faults.Main(m)) }

// schedulerModel drives one Scheduler with random events and keeps the expected
// state.
type schedulerModel struct {
	s         *Scheduler
	random    *rand.Rand
	now       time.Duration
	servers   map[string]Server
	removed   map[string]Server
	inFlight  map[string][]CallID // runs on the current incarnations
	orphaned  map[string][]CallID // runs on earlier incarnations
	started   map[CallID][]string // servers that run the call
	queued    map[CallID]Request
	admitted  map[string]bool
	refused   map[CallID]string
	crashes   map[uint64]int
	exclusive map[string]bool // servers that run a suspect alone
	calls     int

	incarnations int
}

func newModel(t *rapid.T) *schedulerModel {
	seed := rapid.Uint64().Draw(t, "seed")
	m := &schedulerModel{
		s: New(rand.NewPCG(seed, 1)), random: rand.New(rand.NewPCG(seed, 2)),
		servers: map[string]Server{}, removed: map[string]Server{},
		inFlight: map[string][]CallID{}, orphaned: map[string][]CallID{}, started: map[CallID][]string{},
		queued: map[CallID]Request{}, admitted: map[string]bool{}, refused: map[CallID]string{},
		crashes: map[uint64]int{}, exclusive: map[string]bool{},
	}
	for i := range 3 {
		m.setServer(Server{ID: fmt.Sprint("s", i), Slots: 2, Models: []ServerModel{{Name: "m"}}})
	}
	return m
}

func (m *schedulerModel) setServer(v Server) {
	m.servers[v.ID] = v
	m.s.SetServer(m.now, v)
}

// toggleServer removes a server, or adds it again.
func (m *schedulerModel) toggleServer(id string) {
	if v, ok := m.removed[id]; ok {
		delete(m.removed, id)
		m.setServer(v)
		return
	}
	m.removed[id] = m.servers[id]
	delete(m.servers, id)
	m.s.RemoveServer(m.now, id)
}

// restartServer sets a new incarnation of a server, which may have been removed.
func (m *schedulerModel) restartServer(id string) {
	v, ok := m.removed[id]
	if !ok {
		v = m.servers[id]
	}
	delete(m.removed, id)
	m.incarnations++
	v.Incarnation = fmt.Sprint(m.incarnations)
	m.orphaned[id] = append(m.orphaned[id], m.inFlight[id]...)
	m.inFlight[id] = nil
	m.exclusive[id] = false
	m.setServer(v)
}

func (m *schedulerModel) enqueue(t *rapid.T) {
	m.calls++
	r := Request{
		ID: CallID{Program: fmt.Sprint("p", m.calls), Call: 1, Attempt: 1}, Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"),
		Class: Class(rapid.IntRange(0, 2).Draw(t, "class")), Model: "m",
		PromptTokens: rapid.IntRange(1, 4000).Draw(t, "prompt"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
		AttainedTokens: rapid.Int64Range(0, 100_000).Draw(t, "attained"),
		LastServer:     rapid.SampledFrom([]string{"", "s0", "s1"}).Draw(t, "last"),
		Fingerprint:    rapid.Uint64Range(1, 5).Draw(t, "fingerprint"),
	}
	r.PrefixTokens = r.PromptTokens / 2
	if rapid.Bool().Draw(t, "deadline") {
		r.Deadline = m.now + time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds"))*time.Second
	}
	m.queued[r.ID] = r
	m.s.Enqueue(m.now, r)
}

// takeAssignments takes and checks all assignments and refusals that are due.
func (m *schedulerModel) takeAssignments(t *rapid.T) {
	for {
		a, ok := m.s.Next(m.now)
		if !ok {
			break
		}
		m.checkAssignment(t, a)
	}
	for _, f := range m.s.Refused(m.now) {
		_, queued := m.queued[f.ID]
		assert.Assert(t, queued, "refused a call that was not queued: %v", f)
		assert.Assert(t, f.Reason != "overloaded", "refused a call because of load")
		delete(m.queued, f.ID)
		m.refused[f.ID] = f.Reason
	}
}

func (m *schedulerModel) checkAssignment(t *rapid.T, a Assignment) {
	v, known := m.servers[a.Server]
	assert.Assert(t, known && !v.Leaving, "call assigned to a leaving or unknown server")
	if a.Hedge {
		assert.Equal(t, len(m.started[a.ID]), 1, "hedge without exactly one first run")
	} else {
		_, queued := m.queued[a.ID]
		assert.Assert(t, queued, "call assigned twice or after its refusal")
	}
	assert.Assert(t, !slices.Contains(m.started[a.ID], a.Server), "two runs of the same call on one server")
	assert.Assert(t, !m.exclusive[a.Server], "call assigned to a server that runs a suspect alone")
	if a.Reason == "suspect-alone" {
		assert.Equal(t, len(m.inFlight[a.Server]), 0, "suspect assigned to a server with running calls")
		m.exclusive[a.Server] = true
	}
	// The server with the cached prefix may be overcommitted by half its slots.
	assert.Assert(t, len(m.inFlight[a.Server]) < v.Slots+v.Slots/2, "more runs than slots on %s", a.Server)
	assert.Assert(t, a.Reason == "cached-prefix-wait" || len(m.inFlight[a.Server]) < v.Slots)
	delete(m.queued, a.ID)
	m.started[a.ID] = append(m.started[a.ID], a.Server)
	m.inFlight[a.Server] = append(m.inFlight[a.Server], a.ID)
}

func (m *schedulerModel) finish(id CallID, server string, outcome Outcome) {
	for _, runs := range []map[string][]CallID{m.inFlight, m.orphaned} {
		runs[server] = slices.DeleteFunc(runs[server], func(o CallID) bool { return o == id })
	}
	m.started[id] = slices.DeleteFunc(m.started[id], func(o string) bool { return o == server })
	m.exclusive[server] = m.exclusive[server] && len(m.inFlight[server]) > 0
	m.s.Finished(m.now, id, server, Usage{PromptTokens: 10, OutputTokens: 5}, outcome)
}

// randomRun returns the call and the server of a random run in progress.
func (m *schedulerModel) randomRun() (CallID, string, bool) {
	for _, i := range m.random.Perm(3) {
		v := fmt.Sprint("s", i)
		if l := slices.Concat(m.inFlight[v], m.orphaned[v]); len(l) > 0 {
			return l[m.random.IntN(len(l))], v, true
		}
	}
	return CallID{}, "", false
}

func (m *schedulerModel) step(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
	id, server, ok := m.randomRun()
	switch rapid.IntRange(0, 10).Draw(t, "event") {
	case 0, 1, 2:
		m.enqueue(t)
	case 3:
		if ok {
			m.s.FirstToken(m.now, id, server)
			m.s.Tokens(m.now, id, server, 3)
		}
	case 4, 5:
		if ok {
			m.finish(id, server, rapid.SampledFrom([]Outcome{Succeeded, Rejected, TimedOut, Superseded}).Draw(t, "end"))
		}
	case 6:
		if ok {
			for _, c := range slices.Clone(m.inFlight[server]) {
				m.finish(c, server, Crashed)
			}
		}
	case 7:
		if v, ok := m.servers[fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "leaving"))]; ok {
			v.Leaving = !v.Leaving
			m.setServer(v)
		}
	case 8:
		m.s.Report(m.now, server, Load{Age: time.Second, Running: rapid.IntRange(0, 4).Draw(t, "load")})
	case 9:
		m.toggleServer(fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "removed")))
	case 10:
		m.restartServer(fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "restarted")))
	}
	m.takeAssignments(t)
}

// TestCallsAreNeitherLostNorDoubled guards against calls that are assigned
// twice, assigned to full or leaving servers, refused because of load, or lost.
func TestCallsAreNeitherLostNorDoubled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.step(t)
		}
		for _, id := range []string{"s0", "s1", "s2"} {
			if _, ok := m.removed[id]; ok {
				m.toggleServer(id)
			}
			v := m.servers[id]
			v.Leaving = false
			m.setServer(v)
		}
		for i := 0; i < 20*m.calls+100; i++ {
			m.now += time.Second
			m.takeAssignments(t)
			if id, server, ok := m.randomRun(); ok {
				m.finish(id, server, Succeeded)
			}
		}
		assert.Equal(t, len(m.queued), 0, "lost calls: %v", m.queued)
		n := m.s.Snapshot()
		for _, v := range n.Servers {
			assert.Equal(t, v.InFlight, 0, "runs remain on %s", v.ID)
		}
		assert.Equal(t, len(m.s.calls), 0)
		assert.Equal(t, len(m.s.removedServers), 0)
	})
}

// TestSuspectIsRefusedAfterTwoCrashes guards against a poison request that
// crashes one server after another, and against refusing the calls that ran
// beside it.
func TestSuspectIsRefusedAfterTwoCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const poison, resends = 99, 6
		m := newModel(t)
		crashes := 0
		for i := range resends {
			for j := range rapid.IntRange(0, 4).Draw(t, "innocent") {
				m.s.Enqueue(m.now, request(fmt.Sprintf("innocent-%d-%d", i, j), uint64(1000+10*i+j)))
			}
			r := request(fmt.Sprint("poison-", i), poison)
			m.s.Enqueue(m.now, r)
			crashes += m.runUntilIdle(t, poison)
		}
		assert.Assert(t, crashes <= 2, "the poison request crashed %d servers", crashes)
		refused := 0
		for id, reason := range m.refused {
			assert.Equal(t, reason, "crashed-servers")
			assert.Assert(t, id.Program[0] == 'p', "refused a call that caused no crash")
			refused++
		}
		assert.Equal(t, refused, resends-2)
	})
}

func request(program string, fingerprint uint64) Request {
	return Request{
		ID: CallID{Program: program, Call: 1, Attempt: 1}, Team: "a", Model: "m",
		PromptTokens: 100, Fingerprint: fingerprint,
	}
}

// runUntilIdle finishes all calls. A poison run crashes its server and with it
// the other runs there, which are retried. It returns the number of crashes.
func (m *schedulerModel) runUntilIdle(t *rapid.T, poison uint64) int {
	crashes := 0
	for range 200 {
		m.now += 100 * time.Millisecond
		var running []Assignment
		for a, ok := m.s.Next(m.now); ok; a, ok = m.s.Next(m.now) {
			running = append(running, a)
		}
		for _, f := range m.s.Refused(m.now) {
			m.refused[f.ID] = f.Reason
		}
		crashed := map[string]bool{}
		for _, a := range running {
			if m.s.calls[a.ID].Fingerprint == poison {
				crashed[a.Server] = true
				crashes++
			}
		}
		for _, a := range running {
			retry := m.s.calls[a.ID].Request
			if a.Reason == "suspect-alone" {
				assert.Equal(t, m.s.servers[a.Server].inFlight, 1, "a suspect shares its server with other runs")
			}
			if !crashed[a.Server] {
				m.s.Finished(m.now, a.ID, a.Server, Usage{}, Succeeded)
				continue
			}
			m.s.Finished(m.now, a.ID, a.Server, Usage{}, Crashed)
			if retry.Fingerprint != poison {
				retry.ID.Attempt++
				m.s.Enqueue(m.now, retry)
			}
		}
	}
	return crashes
}

// TestRetryBudgetsHold guards against retry storms: retries beyond the budget of
// a team or of the host.
func TestRetryBudgetsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(rand.NewPCG(1, 1))
		firstAttempts, allowed, now := 0, map[string]int{}, time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
			team := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "team")
			if rapid.IntRange(0, 3).Draw(t, "first") == 0 {
				firstAttempts++
				r := request(fmt.Sprint("p", firstAttempts), 0)
				r.Team = team
				s.Enqueue(now, r)
			} else if s.MayRetry(now, team) {
				allowed[team]++
			}
		}
		total := 0
		for _, n := range allowed {
			total += n
			assert.Assert(t, float64(n) <= teamRetryBurst+teamRetryRatio*float64(firstAttempts)+teamRetryRate*now.Seconds())
		}
		assert.Assert(t, float64(total) <= hostRetryBurst+hostRetryRatio*float64(firstAttempts)+hostRetryRate*now.Seconds())
	})
}

// TestAdmittedProgramsKeepRunning guards against refusing the calls of admitted
// programs under overload, and against unlimited admission.
func TestAdmittedProgramsKeepRunning(t *testing.T) {
	s := New(rand.NewPCG(1, 1))
	s.SetServer(0, Server{ID: "s", Slots: 4, Models: []ServerModel{{Name: "m"}}})
	admitted := 0
	for i := range 100 {
		id := fmt.Sprint("p", i)
		if s.AdmitProgram(0, Program{ID: id, Team: "a"}).Admitted {
			admitted++
			s.Enqueue(0, request(id, 0))
		}
	}
	assert.Assert(t, admitted >= 4 && admitted <= 6, "admitted %d programs with 4 slots", admitted)
	for now := time.Duration(0); now < time.Hour; now += time.Minute {
		s.Next(now)
		assert.Equal(t, len(s.Refused(now)), 0)
	}
}

// TestMeasuresStayWithinBounds guards against changes that worsen the main
// measures of the benchmarks. It checks them with one seed.
func TestMeasuresStayWithinBounds(t *testing.T) {
	const seed = 1
	v := crest(seed)
	assert.Assert(t, v[0] >= 0.9, "crest-goodput %.3f", v[0])
	assert.Assert(t, v[2] <= 0.01, "crest-broken-programs %.3f", v[2])
	for _, m := range []struct {
		name  string
		run   func(uint64, ...Option) []float64
		bound float64
	}{
		{"program-latency-ratio", latencyRatios, 0.6},
		{"kiosk-p95-ratio", kioskRatio, 1.3},
		{"slowed-p99-ratio", slowedRatios, 1.5},
		{"fairness", fairness, 0.05},
	} {
		v := m.run(seed)[0]
		assert.Assert(t, v <= m.bound, "%s %.3f", m.name, v)
	}
}

// TestProgramsThatEndElsewhereDoNotCount guards against an admission limit that
// is used up by programs whose end was reported to another entry host.
func TestProgramsThatEndElsewhereDoNotCount(t *testing.T) {
	s := New(rand.NewPCG(1, 1))
	s.SetServer(0, Server{ID: "s", Slots: 4, Models: []ServerModel{{Name: "m"}}})
	var now time.Duration
	for i := range 100 {
		now += programIdleTimeout
		a := s.AdmitProgram(now, Program{ID: fmt.Sprint("p", i), Team: "a"})
		assert.Assert(t, a.Admitted, "program %d not admitted: %v", i, a)
	}
	assert.Assert(t, s.Snapshot().Programs <= 2)
}

// TestUnknownModelsAreForgotten guards against memory that grows with the
// number of requested models that no server has.
func TestUnknownModelsAreForgotten(t *testing.T) {
	s := New(rand.NewPCG(1, 1))
	for i := range 100 {
		r := request(fmt.Sprint("p", i), 0)
		r.Model = fmt.Sprint("unknown-", i)
		s.Enqueue(0, r)
	}
	refused := s.Refused(noServerTimeout)
	assert.Equal(t, len(refused), 100)
	assert.Equal(t, refused[0].Reason, "no-server")
	assert.Equal(t, len(s.pools), 0)
}
