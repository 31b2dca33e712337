package schedule

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// engineCosts are the costs of the fake engine. A batch step takes base, plus
// decode for each decoding run, plus prefill for each prompt token of the step.
type engineCosts struct {
	slots   int
	base    time.Duration
	decode  time.Duration
	prefill time.Duration
	chunk   int // maximum prompt tokens per step
	cache   int // capacity in tokens
}

var languageEngine = engineCosts{
	slots: 8, base: 20 * time.Millisecond, decode: time.Millisecond,
	prefill: 100 * time.Microsecond, chunk: 256, cache: 400_000,
}

// tokenWork returns the server time per output token in a full batch.
func (e engineCosts) tokenWork() time.Duration { return e.base/time.Duration(e.slots) + e.decode }

// fakeEngine is an engine with continuous batching and an LRU prefix cache of
// whole programs.
type fakeEngine struct {
	engineCosts
	id       string
	service  string
	sim      *simulation
	waiting  []*fakeRun
	active   []*fakeRun
	stepping bool
	cached   map[string]*fakeCacheEntry
	used     int
	serial   int
}

type fakeCacheEntry struct {
	program string
	tokens  int
	last    int // serial of the last use
	pins    int
}

type fakeRun struct {
	host          *fakeHost
	call          *programCall
	assignment    Assignment
	prompt        int
	cached        int
	prefillLeft   int
	outputLeft    int
	unreported    int // tokens that have not been reported to the driver
	firstReported bool
	arrivalSerial int
	cancelled     bool
}

func (e *fakeEngine) enqueue(r *fakeRun) {
	e.serial++
	r.arrivalSerial = e.serial
	i, _ := slices.BinarySearchFunc(e.waiting, r, func(a, b *fakeRun) int {
		if a.assignment.Priority != b.assignment.Priority {
			return a.assignment.Priority - b.assignment.Priority
		}
		return a.arrivalSerial - b.arrivalSerial
	})
	e.waiting = slices.Insert(e.waiting, i, r)
	e.start()
}

func (e *fakeEngine) cancel(r *fakeRun) {
	r.cancelled = true
	e.waiting = slices.DeleteFunc(e.waiting, func(o *fakeRun) bool { return o == r })
	if i := slices.Index(e.active, r); i >= 0 {
		e.active = slices.Delete(e.active, i, i+1)
		e.store(r, r.call.prompt+r.call.produced)
	}
}

// start moves waiting runs into the batch and starts the next step.
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
			entry = &fakeCacheEntry{program: r.call.program.id}
			e.cached[entry.program] = entry
		}
		entry.pins++
		e.serial++
		entry.last = e.serial
		r.cached = min(entry.tokens, r.prompt)
		r.prefillLeft = r.prompt - r.cached
		e.sim.recordAccess(r)
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
		if r.prefillLeft > 0 {
			n := min(chunk, r.prefillLeft)
			r.prefillLeft -= n
			chunk -= n
			if r.prefillLeft > 0 {
				continue
			}
		}
		decoding++
		r.outputLeft--
		r.unreported++
	}
	took := e.base + time.Duration(decoding)*e.decode + time.Duration(e.chunk-chunk)*e.prefill
	e.sim.after(e.slowed(took), e.endStep)
}

// tokensPerReport is the number of tokens per report to the driver. Fewer
// reports shorten the simulation.
const tokensPerReport = 4

func (e *fakeEngine) endStep() {
	e.stepping = false
	for _, r := range slices.Clone(e.active) {
		if r.cancelled || r.unreported == 0 {
			continue
		}
		if !r.firstReported || r.unreported >= tokensPerReport || r.outputLeft <= 0 {
			n := r.unreported
			r.unreported = 0
			r.host.tokens(r, n)
		}
		if r.outputLeft <= 0 && !r.cancelled {
			e.active = slices.DeleteFunc(e.active, func(o *fakeRun) bool { return o == r })
			e.store(r, r.call.prompt+r.call.step.output)
			r.host.finished(r, Succeeded)
		}
	}
	e.start()
}

func (e *fakeEngine) finishTool(r *fakeRun) {
	if r.cancelled {
		return
	}
	e.active = slices.DeleteFunc(e.active, func(o *fakeRun) bool { return o == r })
	r.host.finished(r, Succeeded)
	e.start()
}

// store caches the prefix of a program and evicts the least recently used
// prefixes that no longer fit.
func (e *fakeEngine) store(r *fakeRun, tokens int) {
	entry := e.cached[r.call.program.id]
	entry.pins--
	e.used += tokens - entry.tokens
	entry.tokens = tokens
	e.serial++
	entry.last = e.serial
	for e.used > e.cache {
		var oldest *fakeCacheEntry
		for _, o := range e.cached {
			if o.pins == 0 && o.tokens > 0 && (oldest == nil || o.last < oldest.last) {
				oldest = o
			}
		}
		if oldest == nil {
			return
		}
		evicted := min(oldest.tokens, e.used-e.cache)
		oldest.tokens -= evicted
		e.used -= evicted
		e.sim.reportEviction(e, oldest.program, evicted)
		if oldest.tokens == 0 {
			delete(e.cached, oldest.program)
		}
	}
}

// release removes the prefix of an ended program from the cache.
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

// reporting describes the entry hosts of a simulation, and when and how reliably
// they receive information on the engines.
type reporting struct {
	hosts        int
	reportEvery  time.Duration
	reportLag    time.Duration
	eventLag     time.Duration
	eventLoss    float64
	sticky       bool          // all calls of a program reach the same entry host
	grantLatency time.Duration // for a slot granted by the owner of the server
}

var delayedReporting = reporting{
	hosts: 4, reportEvery: 500 * time.Millisecond, reportLag: 500 * time.Millisecond,
	eventLag: time.Second, eventLoss: 0.1,
}

// simulation drives Schedulers against fake engines in virtual time.
type simulation struct {
	clock
	reporting
	random       *rand.Rand
	engines      map[string]*fakeEngine
	engineOrder  []*fakeEngine
	hosts        []*fakeHost
	openPrograms int
	slowFactor   func(now time.Duration, id string) float64
	// deadlines is true if each call has the deadline of its program.
	deadlines bool
	result
}

// result is the outcome of a simulation.
type result struct {
	programs         []*programRun
	accesses         []access
	recomputedTokens int64
	hedges           int
	calls            int
	dispatches       int
}

// access is one use of the prefix of a program.
type access struct {
	program string
	prefix  int // tokens of the prefix before the call
	length  int // tokens of the prefix after the call
}

func (s *simulation) slowdown(id string) float64 {
	if s.slowFactor == nil {
		return 1
	}
	return s.slowFactor(s.now, id)
}

func (s *simulation) recordAccess(r *fakeRun) {
	if r.assignment.ResumeFrom > 0 {
		return
	}
	s.accesses = append(s.accesses, access{
		program: r.call.program.id, prefix: r.call.prefix, length: r.call.prompt + r.call.step.output,
	})
	s.recomputedTokens += int64(max(0, r.call.prefix-r.cached))
}

func (s *simulation) reportEviction(e *fakeEngine, program string, tokens int) {
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
	host          *fakeHost
	nextStep      int
	historyTokens int
	attained      int64
	lastServer    string
	ended         time.Duration
	admitted      bool
	refused       bool
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
		h.sim.openPrograms--
	}
}

func (h *fakeHost) call(p *programRun) {
	step := p.steps[p.nextStep]
	c := &programCall{program: p, step: step, id: CallID{Program: p.id, Call: p.nextStep, Attempt: 1}}
	r := Request{
		ID: c.id, Team: p.team, Class: p.class, Service: step.service,
		LastServer: p.lastServer, AttainedTokens: p.attained, Idempotent: step.service == "",
	}
	if step.service == "" {
		c.prefix, c.prompt = p.historyTokens, p.historyTokens+step.prompt
		r.Model, r.PromptTokens, r.PrefixTokens, r.MaxTokens = "m", c.prompt, p.historyTokens, 2048
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
		h.sim.openPrograms--
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
	r := &fakeRun{host: h, call: c, assignment: a, prompt: c.prompt + a.ResumeFrom, outputLeft: c.step.output - a.ResumeFrom}
	c.runs = append(c.runs, r)
	h.sim.after(h.sim.grantLatency, func() {
		if !r.cancelled {
			h.sim.engines[a.Server].enqueue(r)
		}
	})
}

func (h *fakeHost) tokens(r *fakeRun, n int) {
	now, c := h.sim.now, r.call
	if !r.firstReported {
		r.firstReported = true
		h.s.FirstToken(now, c.id, r.assignment.Server)
		if r.assignment.Hedge {
			h.supersede(c, r)
		}
		n--
	}
	c.produced = max(c.produced, c.step.output-r.outputLeft)
	h.s.Tokens(now, c.id, r.assignment.Server, n)
}

// supersede cancels all runs of a call but one.
func (h *fakeHost) supersede(c *programCall, keep *fakeRun) {
	for _, r := range c.runs {
		if r != keep && !r.cancelled {
			h.sim.engines[r.assignment.Server].cancel(r)
			h.s.Finished(h.sim.now, c.id, r.assignment.Server, Usage{}, Superseded)
		}
	}
	c.runs = []*fakeRun{keep}
	h.sim.after(0, h.dispatchReady)
}

func (h *fakeHost) finished(r *fakeRun, o Outcome) {
	c, p := r.call, r.call.program
	h.supersede(c, r)
	r.cancelled = true
	h.s.Finished(h.sim.now, c.id, r.assignment.Server, Usage{
		PromptTokens: c.prompt, CachedTokens: r.cached, OutputTokens: c.step.output,
	}, o)
	delete(h.calls, c.id)
	if c.step.service == "" {
		p.historyTokens = c.prompt + c.step.output
		p.lastServer = r.assignment.Server
		p.attained += int64(c.prompt - r.cached + c.step.output)
	}
	p.nextStep++
	h.sim.after(0, h.dispatchReady)
	if p.nextStep == len(p.steps) {
		h.end(p)
		return
	}
	h.sim.after(c.step.pause, func() { h.sim.pickHost(p).call(p) })
}

// pickHost returns the entry host of the next call of a program.
func (s *simulation) pickHost(p *programRun) *fakeHost {
	if s.sticky {
		return p.host
	}
	return s.hosts[s.random.IntN(len(s.hosts))]
}

func (h *fakeHost) end(p *programRun) {
	p.ended = h.sim.now
	h.sim.openPrograms--
	h.s.EndProgram(h.sim.now, p.id)
	for _, o := range h.s.CacheReleases(h.sim.now) {
		h.sim.engines[o.Server].release(o.Program)
	}
}
