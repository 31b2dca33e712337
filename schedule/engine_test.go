package schedule

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// engineCosts describe the fake engine: a batch step takes base, decode for
// each run that decodes, and prefill for each prompt token of the step.
type engineCosts struct {
	slots   int
	base    time.Duration
	decode  time.Duration
	prefill time.Duration
	chunk   int // prompt tokens per step at most
	cache   int // tokens
}

var languageEngine = engineCosts{
	slots: 8, base: 20 * time.Millisecond, decode: time.Millisecond,
	prefill: 100 * time.Microsecond, chunk: 256, cache: 400_000,
}

// tokenWork is the server time of one token in a full batch.
func (e engineCosts) tokenWork() time.Duration { return e.base/time.Duration(e.slots) + e.decode }

// fakeEngine batches continuously and caches whole programs, least recently
// used first out.
type fakeEngine struct {
	engineCosts
	id       string
	service  string
	sim      *simulation
	waiting  []*fakeRun
	active   []*fakeRun
	stepping bool
	cached   map[string]*fakeEntry
	used     int
	serial   int
}

type fakeEntry struct {
	program string
	tokens  int
	last    int // serial of the last use
	pins    int
}

type fakeRun struct {
	host     *fakeHost
	call     *programCall
	a        Assignment
	prompt   int
	cached   int
	prefill  int
	left     int // output tokens
	unreported   int // tokens not yet reported
	first    bool
	arrived  int
	canceled bool
}

func (e *fakeEngine) enqueue(r *fakeRun) {
	e.serial++
	r.arrived = e.serial
	i, _ := slices.BinarySearchFunc(e.waiting, r, func(a, b *fakeRun) int {
		if a.a.Priority != b.a.Priority {
			return a.a.Priority - b.a.Priority
		}
		return a.arrived - b.arrived
	})
	e.waiting = slices.Insert(e.waiting, i, r)
	e.start()
}

func (e *fakeEngine) cancel(r *fakeRun) {
	r.canceled = true
	e.waiting = slices.DeleteFunc(e.waiting, func(o *fakeRun) bool { return o == r })
	if i := slices.Index(e.active, r); i >= 0 {
		e.active = slices.Delete(e.active, i, i+1)
		e.store(r, r.call.prompt+r.call.produced)
	}
}

// start moves runs into the batch and begins the next step.
func (e *fakeEngine) start() {
	for len(e.active) < e.slots && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.active = append(e.active, r)
		if e.service != "" {
			e.sim.after(e.slowed(r.call.step.toolTime), func() { e.finishTool(r) })
			continue
		}
		entry := e.cached[r.call.program.id]
		if entry == nil {
			entry = &fakeEntry{program: r.call.program.id}
			e.cached[entry.program] = entry
		}
		entry.pins++
		e.serial++
		entry.last = e.serial
		r.cached = min(entry.tokens, r.prompt)
		r.prefill = r.prompt - r.cached
		e.sim.recomputed(r)
	}
	if e.service == "" && !e.stepping && len(e.active) > 0 {
		e.step()
	}
}

func (e *fakeEngine) slowed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.sim.slowdown(e.id))
}

func (e *fakeEngine) step() {
	e.stepping = true
	chunk, decoding := e.chunk, 0
	for _, r := range e.active {
		if r.prefill > 0 {
			n := min(chunk, r.prefill)
			r.prefill -= n
			chunk -= n
			if r.prefill > 0 {
				continue
			}
		}
		decoding++
		r.left--
		r.unreported++
	}
	took := e.base + time.Duration(decoding)*e.decode + time.Duration(e.chunk-chunk)*e.prefill
	e.sim.after(e.slowed(took), e.endStep)
}

// tokensPerReport is the number of tokens after which the driver is told, which
// keeps the simulation short.
const tokensPerReport = 4

func (e *fakeEngine) endStep() {
	e.stepping = false
	for _, r := range slices.Clone(e.active) {
		if r.canceled || r.unreported == 0 {
			continue
		}
		if !r.first || r.unreported >= tokensPerReport || r.left <= 0 {
			n := r.unreported
			r.unreported = 0
			r.host.tokens(r, n)
		}
		if r.left <= 0 && !r.canceled {
			e.active = slices.DeleteFunc(e.active, func(o *fakeRun) bool { return o == r })
			e.store(r, r.call.prompt+r.call.step.output)
			r.host.finished(r, Succeeded)
		}
	}
	e.start()
}

func (e *fakeEngine) finishTool(r *fakeRun) {
	if r.canceled {
		return
	}
	e.active = slices.DeleteFunc(e.active, func(o *fakeRun) bool { return o == r })
	r.host.finished(r, Succeeded)
	e.start()
}

// store keeps the prefix of a program and evicts what no longer fits.
func (e *fakeEngine) store(r *fakeRun, tokens int) {
	entry := e.cached[r.call.program.id]
	entry.pins--
	e.used += tokens - entry.tokens
	entry.tokens = tokens
	e.serial++
	entry.last = e.serial
	for e.used > e.cache {
		var oldest *fakeEntry
		for _, o := range e.cached {
			if o.pins == 0 && o.tokens > 0 && (oldest == nil || o.last < oldest.last) {
				oldest = o
			}
		}
		if oldest == nil {
			return
		}
		lost := min(oldest.tokens, e.used-e.cache)
		oldest.tokens -= lost
		e.used -= lost
		e.sim.evicted(e, oldest.program, lost)
		if oldest.tokens == 0 {
			delete(e.cached, oldest.program)
		}
	}
}

// release drops the prefix of an ended program.
func (e *fakeEngine) release(program string) {
	if o := e.cached[program]; o != nil && o.pins == 0 {
		e.used -= o.tokens
		delete(e.cached, program)
	}
}

// clock is the event queue of a simulation in virtual time.
type clock struct {
	now    time.Duration
	events eventHeap
	serial int
}

type event struct {
	at     time.Duration
	serial int
	f      func()
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].serial < h[j].serial)
}

func (h *eventHeap) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

func (c *clock) after(d time.Duration, f func()) {
	c.serial++
	heap.Push(&c.events, event{at: c.now + d, serial: c.serial, f: f})
}

func (c *clock) run(until func() bool) {
	for len(c.events) > 0 && !until() {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.f()
	}
}

// reporting describes what the entry hosts learn of the engines.
type reporting struct {
	hosts       int
	reportEvery time.Duration
	reportLag   time.Duration
	eventLag    time.Duration
	eventLoss   float64
	sticky      bool          // all calls of a program reach the same entry host
	grant       time.Duration // for a slot by the owner of the server
}

var delayedReporting = reporting{
	hosts: 4, reportEvery: 500 * time.Millisecond, reportLag: 500 * time.Millisecond,
	eventLag: time.Second, eventLoss: 0.1,
}

// simulation drives Schedulers against fake engines in virtual time.
type simulation struct {
	clock
	reporting
	random  *rand.Rand
	engines map[string]*fakeEngine
	order   []*fakeEngine
	hosts   []*fakeHost
	open    int
	slow    func(now time.Duration, id string) float64
	// deadlines tells the scheduler the deadlines of the programs.
	deadlines bool
	result
}

// result is what a simulation measures.
type result struct {
	programs   []*programRun
	accesses   []access
	recompute  int64
	hedges     int
	calls      int
	dispatches int
}

// access is one use of a program's prefix, in order of time.
type access struct {
	program string
	prefix  int // tokens that a cache could hold
	length  int // tokens afterwards
}

func (s *simulation) slowdown(id string) float64 {
	if s.slow == nil {
		return 1
	}
	return s.slow(s.now, id)
}

func (s *simulation) recomputed(r *fakeRun) {
	if r.a.ResumeFrom > 0 {
		return
	}
	s.accesses = append(s.accesses, access{
		program: r.call.program.id, prefix: r.call.prefix, length: r.call.prompt + r.call.step.output,
	})
	s.recompute += int64(max(0, r.call.prefix-r.cached))
}

func (s *simulation) evicted(e *fakeEngine, program string, tokens int) {
	if s.random.Float64() < s.eventLoss {
		return
	}
	s.after(s.eventLag, func() {
		for _, h := range s.hosts {
			h.s.CacheEvicted(s.now, e.id, program, tokens)
		}
	})
}

func (s *simulation) report(e *fakeEngine) {
	l := Load{Running: len(e.active), Queued: len(e.waiting), CacheTokens: int64(e.used)}
	sent := s.now
	s.after(s.reportLag, func() {
		for _, h := range s.hosts {
			l.Age = s.now - sent
			h.s.Report(s.now, e.id, l)
			h.dispatchReady()
		}
	})
	s.after(s.reportEvery, func() { s.report(e) })
}

// fakeHost is the driver of one Scheduler.
type fakeHost struct {
	sim    *simulation
	s      *Scheduler
	calls  map[CallID]*programCall
	wakeAt time.Duration
}

// programRun is a program in progress.
type programRun struct {
	programSpec
	host     *fakeHost
	next     int
	history  int
	attained int64
	last     string
	ended    time.Duration
	admitted bool
	refused  bool
}

// programCall is one call in progress.
type programCall struct {
	program  *programRun
	step     callSpec
	id       CallID
	prompt   int
	prefix   int
	produced int
	runs     []*fakeRun
}

func (h *fakeHost) requestAdmission(p *programRun) {
	a := h.s.AdmitProgram(h.sim.now, Program{ID: p.id, Team: p.team, Class: p.class, Deadline: p.arrival + p.deadline})
	switch {
	case a.Admitted:
		p.admitted = true
		h.call(p)
	case a.Wait > 0:
		h.sim.after(a.Wait, func() { h.requestAdmission(p) })
	default:
		p.refused = true
		h.sim.open--
	}
}

func (h *fakeHost) call(p *programRun) {
	step := p.steps[p.next]
	c := &programCall{program: p, step: step, id: CallID{Program: p.id, Call: p.next, Attempt: 1}}
	r := Request{
		ID: c.id, Team: p.team, Class: p.class, Service: step.service,
		LastServer: p.last, AttainedTokens: p.attained, Idempotent: step.service == "",
	}
	if step.service == "" {
		c.prefix, c.prompt = p.history, p.history+step.prompt
		r.Model, r.PromptTokens, r.PrefixTokens, r.MaxTokens = "m", c.prompt, p.history, 2048
	}
	if h.sim.deadlines {
		r.Deadline = p.arrival + p.deadline
	}
	h.calls[c.id] = c
	h.sim.calls++
	h.s.Enqueue(h.sim.now, r)
	h.dispatchReady()
}

func (h *fakeHost) dispatchReady() {
	for {
		a, ok := h.s.Next(h.sim.now)
		if !ok {
			break
		}
		h.send(a)
	}
	for _, f := range h.s.Refused(h.sim.now) {
		p := h.calls[f.ID].program
		delete(h.calls, f.ID)
		p.refused = true
		h.s.EndProgram(h.sim.now, p.id)
		h.sim.open--
	}
	if at := h.s.Wake(h.sim.now); h.wakeAt <= h.sim.now || at < h.wakeAt {
		h.wakeAt = at
		h.sim.after(at-h.sim.now, func() {
			if h.wakeAt == at && h.sim.now >= at {
				h.dispatchReady()
			}
		})
	}
}

func (h *fakeHost) send(a Assignment) {
	c := h.calls[a.ID]
	h.sim.dispatches++
	if a.Hedge {
		h.sim.hedges++
	}
	r := &fakeRun{host: h, call: c, a: a, prompt: c.prompt + a.ResumeFrom, left: c.step.output - a.ResumeFrom}
	c.runs = append(c.runs, r)
	h.sim.after(h.sim.grant, func() {
		if !r.canceled {
			h.sim.engines[a.Server].enqueue(r)
		}
	})
}

func (h *fakeHost) tokens(r *fakeRun, n int) {
	now, c := h.sim.now, r.call
	if !r.first {
		r.first = true
		h.s.FirstToken(now, c.id, r.a.Server)
		if r.a.Hedge {
			h.supersede(c, r)
		}
		n--
	}
	c.produced = max(c.produced, c.step.output-r.left)
	h.s.Tokens(now, c.id, r.a.Server, n)
}

// supersede cancels all runs of a call but one.
func (h *fakeHost) supersede(c *programCall, keep *fakeRun) {
	for _, r := range c.runs {
		if r != keep && !r.canceled {
			h.sim.engines[r.a.Server].cancel(r)
			h.s.Finished(h.sim.now, c.id, r.a.Server, Usage{}, Superseded)
		}
	}
	c.runs = []*fakeRun{keep}
	h.sim.after(0, h.dispatchReady)
}

func (h *fakeHost) finished(r *fakeRun, e Outcome) {
	c, p := r.call, r.call.program
	h.supersede(c, r)
	r.canceled = true
	h.s.Finished(h.sim.now, c.id, r.a.Server, Usage{
		PromptTokens: c.prompt, CachedTokens: r.cached, OutputTokens: c.step.output,
	}, e)
	delete(h.calls, c.id)
	if c.step.service == "" {
		p.history = c.prompt + c.step.output
		p.last = r.a.Server
		p.attained += int64(c.prompt - r.cached + c.step.output)
	}
	p.next++
	h.sim.after(0, h.dispatchReady)
	if p.next == len(p.steps) {
		h.end(p)
		return
	}
	h.sim.after(c.step.pause, func() { h.sim.pickHost(p).call(p) })
}

// pickHost chooses the entry host of the next call of a program.
func (s *simulation) pickHost(p *programRun) *fakeHost {
	if s.sticky {
		return p.host
	}
	return s.hosts[s.random.IntN(len(s.hosts))]
}

func (h *fakeHost) end(p *programRun) {
	p.ended = h.sim.now
	h.sim.open--
	h.s.EndProgram(h.sim.now, p.id)
	for _, o := range h.s.CacheReleases(h.sim.now) {
		h.sim.engines[o.Server].release(o.Program)
	}
}
