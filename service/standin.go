package service

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/gorilla/mux"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/standin"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// RunsPath is the path of the endpoint (GET) that lists the Runs of a stand-in
// service.
const RunsPath = "/stand-in/runs"

// StandIn simulates a plain service: it generates results and counts how often
// each attempt of a call ran. It is an http.Handler.
type StandIn struct {
	settings    StandInSettings
	operations  []membership.Operation
	faults      *standin.FaultInjector
	handler     http.Handler
	slots       chan struct{}
	incarnation atomic.Pointer[string]
	runs        runs

	mu       sync.Mutex
	previous *result // result of the previous call, for Faults.CrossedAnswers
}

type result struct {
	id   backend.CallID
	body []byte
}

// NewStandIn returns a stand-in service, or an error if the settings are not
// valid.
func NewStandIn(s StandInSettings) (*StandIn, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	t := &StandIn{
		settings:   s,
		operations: s.operations(),
		slots:      make(chan struct{}, s.Slots),
		runs:       runs{counts: map[runKey]int{}},
	}
	first := s.Incarnation
	if first == "" {
		first = standin.NewIncarnation()
	}
	t.incarnation.Store(&first)
	t.faults = standin.NewFaultInjector(s.Faults)
	t.faults.OnCrash(func() {
		next := standin.NewIncarnation()
		t.incarnation.Store(&next)
	})
	t.handler = t.faults.Wrap(t.routes(), s.FaultSwitches)
	return t, nil
}

func (t *StandIn) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(RunsPath, t.serveRuns).Methods(http.MethodGet)
	r.HandleFunc("/{operation}", t.serveOperation).Methods(http.MethodPost)
	return r
}

// ServeHTTP handles a request of the service protocol.
func (t *StandIn) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.handler.ServeHTTP(w, r) }

// Faults returns the fault injector of the service.
func (t *StandIn) Faults() *standin.FaultInjector { return t.faults }

// Runs returns how often each attempt of a call ran, sorted by operation and
// call id.
func (t *StandIn) Runs() []Run { return t.runs.list() }

// Announcement returns the current announcement of the service.
func (t *StandIn) Announcement() membership.Announcement {
	s := t.settings
	return membership.Announcement{
		Server:      s.Server,
		Incarnation: *t.incarnation.Load(),
		Address:     s.AnnouncedAddress(),
		DataCentre:  s.DataCentre,
		Kind:        membership.Service,
		ServiceName: s.Service,
		Operations:  slices.Clone(t.operations),
		Slots:       s.Slots,
	}
}

func (t *StandIn) serveOperation(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(backend.HeaderCall, r.Header.Get(backend.HeaderCall))
	name := mux.Vars(r)["operation"]
	id, err := backend.ParseCallID(r.Header.Get(backend.HeaderCall))
	if err != nil {
		verdict.New(verdict.NotRun, verdict.BadRequest, "header "+backend.HeaderCall, verdict.WithCause(err)).Write(w)
		return
	}
	i := slices.IndexFunc(t.operations, func(o membership.Operation) bool { return o.Name == name })
	if i < 0 {
		verdict.Newf(verdict.NotRun, verdict.UnknownService, "operation %q: want one of %s", name, operationNames()).Write(w)
		return
	}
	body, ok := standin.ReadBody(w, r)
	if !ok {
		return
	}
	if !json.Valid(body) {
		verdict.New(verdict.NotRun, verdict.BadRequest, "request body is not valid JSON").Write(w)
		return
	}
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
		t.run(w, r, t.operations[i], id, body)
	default:
		verdict.Newf(verdict.NotRun, verdict.Overloaded, "all %d slots are in use", t.settings.Slots).Write(w)
	}
}

// run executes an operation. It counts the run first, so that a run is counted
// even if the service crashes or the response is lost.
func (t *StandIn) run(w http.ResponseWriter, r *http.Request, o membership.Operation, id backend.CallID, body []byte) {
	serial := t.runs.add(o.Name, id)
	t.faults.CrashOn(string(body))
	t.faults.HangIfSet(r.Context())
	if t.faults.Wait(r.Context(), t.settings.operationTime()) != nil {
		return
	}
	response := result{id: id, body: operationResult(o, body, serial)}
	t.mu.Lock()
	previous := t.previous
	t.previous = &response
	t.mu.Unlock()
	f := t.faults.Faults()
	if f.CrossedAnswers && previous != nil {
		response = *previous
	}
	t.write(w, response, f.HalfAnswer)
}

func (t *StandIn) write(w http.ResponseWriter, response result, truncate bool) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	w.Header().Set(backend.HeaderCall, response.id.String())
	body := response.body
	if truncate {
		body = body[:len(body)/2]
	}
	_, _ = w.Write(body)
}

func (t *StandIn) serveRuns(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, struct {
		Runs []Run `json:"runs"`
	}{t.Runs()})
}
