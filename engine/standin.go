package engine

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/standin"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// StandIn simulates a model engine: it implements the engine protocol with
// generated text and with the processing times of its settings. It is an
// http.Handler.
type StandIn struct {
	settings StandInSettings
	faults   *standin.FaultInjector
	handler  http.Handler
	current  atomic.Pointer[incarnation]
}

// incarnation is the state of one incarnation of the engine. A crash replaces
// it.
type incarnation struct {
	id     string
	slots  *slots
	cache  *prefixCache
	events *cacheLog
	load   *loadHistory

	mu          sync.Mutex
	activeCalls map[string]*activeCall // running and queued calls, by call id
	models      []membership.Model
	fencing     int64 // highest fencing number of the executed orders
	role        string
}

type activeCall struct {
	program string
	cancel  context.CancelFunc
}

// NewStandIn returns a stand-in engine, or an error if the settings are not
// valid.
func NewStandIn(s StandInSettings) (*StandIn, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	e := &StandIn{settings: s}
	first := s.Incarnation
	if first == "" {
		first = standin.NewIncarnation()
	}
	e.current.Store(newIncarnation(first, s))
	e.faults = standin.NewFaultInjector(s.Faults)
	e.faults.OnCrash(func() { e.current.Store(newIncarnation(standin.NewIncarnation(), s)) })
	e.handler = e.faults.Wrap(e.routes(), s.FaultSwitches)
	return e, nil
}

func newIncarnation(id string, s StandInSettings) *incarnation {
	events := newCacheLog(time.Duration(s.EventDelayMilliseconds)*time.Millisecond, s.EventLossPerThousand)
	i := &incarnation{
		id:          id,
		slots:       newSlots(s.Slots),
		cache:       newPrefixCache(s.CacheTokens, events),
		events:      events,
		activeCalls: map[string]*activeCall{},
		models:      slices.Clone(s.Models),
	}
	idle := Load{Incarnation: id, Slots: s.Slots, CacheCapacity: s.CacheTokens}
	i.load = newLoadHistory(time.Duration(s.LoadLagMilliseconds)*time.Millisecond, idle)
	return i
}

func (e *StandIn) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", e.serveCompletion).Methods(http.MethodPost)
	r.HandleFunc("/v1/cancel", e.serveCancel).Methods(http.MethodPost)
	r.HandleFunc("/load", e.serveLoad).Methods(http.MethodGet)
	r.HandleFunc("/cache-events", e.serveCacheEvents).Methods(http.MethodGet)
	r.HandleFunc("/cache/pin", e.servePin).Methods(http.MethodPost)
	r.HandleFunc("/cache/release", e.serveRelease).Methods(http.MethodPost)
	r.HandleFunc("/cache/export", e.serveExport).Methods(http.MethodPost)
	r.HandleFunc("/cache/import", e.serveImport).Methods(http.MethodPost)
	r.HandleFunc("/orders", e.serveOrder).Methods(http.MethodPost)
	return r
}

// ServeHTTP handles a request of the engine protocol.
func (e *StandIn) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.handler.ServeHTTP(w, r) }

// Faults returns the fault injector of the engine.
func (e *StandIn) Faults() *standin.FaultInjector { return e.faults }

// Programs returns the sorted ids of the programs with a cached or pinned
// prefix.
func (e *StandIn) Programs() []string { return e.current.Load().cache.programs() }

// Announcement returns the current announcement of the engine.
func (e *StandIn) Announcement() membership.Announcement {
	i, s := e.current.Load(), e.settings
	i.mu.Lock()
	defer i.mu.Unlock()
	return membership.Announcement{
		Server:      s.Server,
		Incarnation: i.id,
		Address:     s.AnnouncedAddress(),
		DataCentre:  s.DataCentre,
		Kind:        membership.Engine,
		Models:      slices.Clone(i.models),
		Slots:       s.Slots,
		CacheTokens: s.CacheTokens,
		Fencing:     s.Fencing,
	}
}

func (e *StandIn) serveCancel(w http.ResponseWriter, r *http.Request) {
	var body cancelBody
	if !standin.ReadJSON(w, r, &body) {
		return
	}
	i := e.current.Load()
	i.mu.Lock()
	c, ok := i.activeCalls[body.Call]
	i.mu.Unlock()
	if ok {
		c.cancel()
	}
	standin.WriteJSON(w, cancelResult{Cancelled: ok})
}

func (e *StandIn) serveLoad(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, e.current.Load().load.report())
}

func (e *StandIn) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		verdict.Newf(verdict.NotRun, verdict.BadRequest, "parameter \"from\": %q: want a number", r.URL.Query().Get("from")).Write(w)
		return
	}
	i := e.current.Load()
	events, next := i.events.page(from)
	standin.WriteJSON(w, CacheEvents{Incarnation: i.id, Events: events, Next: next})
}

// register adds a call before it is queued. It cancels an earlier call with the
// same id, whose client has disconnected.
func (i *incarnation) register(id backend.CallID, cancel context.CancelFunc) *activeCall {
	c := &activeCall{program: id.Program, cancel: cancel}
	i.mu.Lock()
	defer i.mu.Unlock()
	if old, ok := i.activeCalls[id.String()]; ok {
		old.cancel()
	}
	i.activeCalls[id.String()] = c
	return c
}

func (i *incarnation) unregister(id backend.CallID, c *activeCall) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.activeCalls[id.String()] == c {
		delete(i.activeCalls, id.String())
	}
}

// cancelProgram cancels the running and queued calls of a program.
func (i *incarnation) cancelProgram(program string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, c := range i.activeCalls {
		if c.program == program {
			c.cancel()
		}
	}
}

func (i *incarnation) recordLoad(s StandInSettings) {
	running, queued := i.slots.counts()
	i.load.record(Load{
		Incarnation:   i.id,
		Slots:         s.Slots,
		Running:       running,
		Queued:        queued,
		CacheTokens:   i.cache.tokens(),
		CacheCapacity: s.CacheTokens,
	})
}

func (i *incarnation) hasModel(r request) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.ContainsFunc(i.models, func(m membership.Model) bool {
		return m.Name == r.Model &&
			(r.ModelVersion == "" || r.ModelVersion == m.Version) &&
			(r.Adapter == "" || slices.Contains(m.Adapters, r.Adapter))
	})
}

// readCallID reads the call id of a request. If that fails, it writes an error
// response and returns false.
func readCallID(w http.ResponseWriter, r *http.Request) (backend.CallID, bool) {
	id, err := backend.ParseCallID(r.Header.Get(backend.HeaderCall))
	if err != nil {
		verdict.New(verdict.NotRun, verdict.BadRequest, "header "+backend.HeaderCall, verdict.WithCause(err)).Write(w)
	}
	return id, err == nil
}
