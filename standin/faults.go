package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// FaultsPath is the path of the endpoint that returns (GET) or replaces (PUT or
// POST) the Faults of a stand-in.
const FaultsPath = "/stand-in/faults"

// Faults are the faults that a stand-in simulates. The zero value has none.
type Faults struct {
	// Slow is the factor by which all processing times are multiplied; 0 means
	// 1.
	Slow float64 `json:"slow,omitempty"`
	// CrashText crashes the server if a request body contains it.
	CrashText string `json:"crash-text,omitempty"`
	// Hang accepts calls without ever responding.
	Hang bool `json:"hang,omitempty"`
	// HalfAnswer ends the response in the middle of the answer.
	HalfAnswer bool `json:"half-answer,omitempty"`
	// CrossedAnswers sends answers, or parts of them, that belong to other
	// calls.
	CrossedAnswers bool `json:"crossed-answers,omitempty"`
	// Freeze suspends the whole server, including its periodic announcements,
	// until it is set to false.
	Freeze bool `json:"freeze,omitempty"`
}

// Check returns an error with the name of the first invalid field, its value
// and the allowed values.
func (f Faults) Check() error {
	if f.Slow < 0 {
		return fmt.Errorf("field \"slow\": %v: want 0 or more", f.Slow)
	}
	return nil
}

var errCrashed = errors.New("server crashed")

// FaultInjector injects Faults into the requests of one stand-in.
type FaultInjector struct {
	mu       sync.Mutex
	faults   Faults
	unfrozen chan struct{} // closed while not frozen
	crashed  chan struct{} // closed by the next crash
	onCrash  []func()
}

// NewFaultInjector returns a fault injector with the given faults.
func NewFaultInjector(f Faults) *FaultInjector {
	s := &FaultInjector{crashed: make(chan struct{}), unfrozen: closedChannel()}
	s.Set(f)
	return s
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// OnCrash adds a function that runs at every crash, after the contexts of the
// requests in progress begin to be cancelled and before new requests are
// served. The function is called with the mutex of s held, so it must not call
// methods of s.
func (s *FaultInjector) OnCrash(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onCrash = append(s.onCrash, f)
}

// Set replaces the faults.
func (s *FaultInjector) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case f.Freeze && !s.faults.Freeze:
		s.unfrozen = make(chan struct{})
	case !f.Freeze && s.faults.Freeze:
		close(s.unfrozen)
	}
	s.faults = f
}

// Faults returns the current faults.
func (s *FaultInjector) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Frozen reports whether the server is frozen.
func (s *FaultInjector) Frozen() bool { return s.Faults().Freeze }

// Crash aborts all requests in progress, without waiting for them to end, and
// runs the functions of OnCrash.
func (s *FaultInjector) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.crashed)
	for _, f := range s.onCrash {
		f()
	}
	s.crashed = make(chan struct{})
}

// CrashOn crashes the server if text contains the crash text. It then panics
// with http.ErrAbortHandler, to abort the request whose handler called it.
func (s *FaultInjector) CrashOn(text string) {
	crashText := s.Faults().CrashText
	if crashText != "" && strings.Contains(text, crashText) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
}

// Wait sleeps for d, multiplied by the slow factor, and then until the server
// is not frozen. It returns an error if ctx ends first.
func (s *FaultInjector) Wait(ctx context.Context, d time.Duration) error {
	f := s.Faults()
	if f.Slow > 0 {
		d = time.Duration(float64(d) * f.Slow)
	}
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return s.waitUnfrozen(ctx)
}

func (s *FaultInjector) waitUnfrozen(ctx context.Context) error {
	s.mu.Lock()
	unfrozen := s.unfrozen
	s.mu.Unlock()
	select {
	case <-unfrozen:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// HangIfSet blocks until ctx ends if Hang is set.
func (s *FaultInjector) HangIfSet(ctx context.Context) {
	if s.Faults().Hang {
		<-ctx.Done()
	}
}

// Wrap returns a handler that delays the requests to next while the server is
// frozen and aborts them when it crashes. With admin, it also serves
// FaultsPath.
func (s *FaultInjector) Wrap(next http.Handler, admin bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if admin && r.URL.Path == FaultsPath {
			s.serveFaults(w, r)
			return
		}
		s.serve(next, w, r)
	})
}

// serve passes a request to next. If the server crashes before the request has
// ended, serve aborts its connection.
func (s *FaultInjector) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	crashed := s.crashed
	s.mu.Unlock()
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	watcherDone := make(chan struct{})
	go func() {
		defer close(watcherDone)
		select {
		case <-crashed:
			cancel(errCrashed)
		case <-ctx.Done():
		}
	}()
	if s.waitUnfrozen(ctx) == nil {
		next.ServeHTTP(w, r.WithContext(ctx))
	}
	cancel(nil)
	<-watcherDone
	if errors.Is(context.Cause(ctx), errCrashed) {
		panic(http.ErrAbortHandler)
	}
}

func (s *FaultInjector) serveFaults(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
	case http.MethodPut, http.MethodPost:
		f, err := readFaults(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Set(f)
	default:
		http.Error(w, "method "+r.Method+": want GET, PUT or POST", http.StatusMethodNotAllowed)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Faults())
}

func readFaults(r *http.Request) (Faults, error) {
	var f Faults
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return Faults{}, fmt.Errorf("faults: %w", err)
	}
	return f, f.Check()
}
