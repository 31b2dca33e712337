package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// BenchmarkDecision measures the scheduling of one call, from Enqueue through
// Next to Finished, while other calls run and wait.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{12, 120, 1400} {
		for _, programs := range []int{1000, 10_000, 140_000} {
			b.Run(fmt.Sprintf("servers=%d/programs=%d", servers, programs), func(b *testing.B) {
				l := newDecisionLoop(servers, programs)
				for range 2 * programs {
					l.step()
				}
				b.ReportAllocs()
				for b.Loop() {
					l.step()
				}
			})
		}
	}
}

// TestDecisionDoesNotAllocate guards against allocations in the steady state.
func TestDecisionDoesNotAllocate(t *testing.T) {
	l := newDecisionLoop(120, 1000)
	for range 20_000 {
		l.step()
	}
	if n := testing.AllocsPerRun(2000, l.step); n > 0 {
		t.Fatalf("%.0f allocations per decision", n)
	}
}

// decisionLoop keeps all slots busy and about as many calls waiting.
type decisionLoop struct {
	s         *Scheduler
	now       time.Duration
	programs  []Request
	index     map[string]int // index in programs by ID
	next      int
	running   []Assignment
	oldestRun int // index in running
}

func newDecisionLoop(servers, programs int) *decisionLoop {
	l := &decisionLoop{
		s:     New(rand.NewPCG(1, 1), func(s *Scheduler) { s.admitter = admitAll{} }),
		index: map[string]int{},
	}
	for i := range servers {
		l.s.SetServer(0, Server{
			ID: fmt.Sprint("server-", i), Slots: 8, CacheTokens: 400_000, Models: []ServerModel{{Name: "m"}},
		})
	}
	l.s.SetHosts(0, 4)
	for i := range programs {
		r := request(fmt.Sprint("program-", i), uint64(i+1))
		r.Team = fmt.Sprint("team-", i%20)
		r.PromptTokens = 500 + i%4000
		l.s.AdmitProgram(0, Program{ID: r.ID.Program, Team: r.Team})
		l.index[r.ID.Program] = i
		l.programs = append(l.programs, r)
	}
	l.running = make([]Assignment, 0, 16*servers)
	for range min(programs/2, 16*servers) {
		l.enqueue()
	}
	for a, ok := l.s.Next(0); ok; a, ok = l.s.Next(0) {
		l.running = append(l.running, a)
	}
	return l
}

func (l *decisionLoop) enqueue() {
	r := &l.programs[l.next]
	l.next = (l.next + 1) % len(l.programs)
	r.ID.Call++
	r.AttainedTokens += 100
	l.s.Enqueue(l.now, *r)
}

func (l *decisionLoop) step() {
	l.now += 100 * time.Microsecond
	a := l.running[l.oldestRun]
	l.s.FirstToken(l.now, a.ID, a.Server)
	l.s.Tokens(l.now, a.ID, a.Server, 1)
	l.s.Finished(l.now, a.ID, a.Server, Usage{PromptTokens: 500, CachedTokens: 400, OutputTokens: 2}, Succeeded)
	l.enqueue()
	n, ok := l.s.Next(l.now)
	if !ok {
		panic("no assignment although a slot is free and calls wait")
	}
	p := &l.programs[l.index[n.ID.Program]]
	p.LastServer, p.PrefixTokens = n.Server, p.PromptTokens
	l.running[l.oldestRun] = n
	l.oldestRun = (l.oldestRun + 1) % len(l.running)
}

// BenchmarkShares measures what 600 teams that share the servers cost: a decision
// (compare BenchmarkDecision), the report of a host, the sum of 330 reports and its
// use.
func BenchmarkShares(b *testing.B) {
	shares := Shares{Weights: map[string]float64{}, Urgencies: 2}
	for i := range 600 {
		shares.Weights[fmt.Sprint("team-", i)] = 1
	}
	l := newDecisionLoop(1400, 10_000)
	l.s.SetShares(l.now, shares)
	for range 20_000 {
		l.step()
	}
	report := l.s.Service(l.now)
	reports := slices.Repeat([]*Service{report}, 330)
	sum := SumService(reports)
	for _, m := range []struct {
		name    string
		measure func()
	}{
		{"decision", l.step},
		{"report", func() { l.s.Service(l.now); l.s.Levels() }},
		{"sum", func() { SumService(reports) }},
		{"use", func() { l.s.SetService(l.now, sum) }},
	} {
		b.Run(m.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				m.measure()
			}
		})
	}
}

// BenchmarkSetServers measures an update of the list of servers in which one
// server has changed.
func BenchmarkSetServers(b *testing.B) {
	for _, servers := range []int{140, 1400, 3000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			s := New(rand.NewPCG(1, 1))
			list := make([]Server, servers)
			for i := range list {
				list[i] = Server{ID: fmt.Sprint("server-", i), Slots: 8, Models: []ServerModel{{Name: "m"}}}
			}
			for b.Loop() {
				list[0].Slots++
				s.SetServers(0, list)
			}
		})
	}
}
