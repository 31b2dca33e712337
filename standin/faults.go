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

// FaultsPath reads (GET) and replaces (PUT or POST) the Faults of a stand-in.
const FaultsPath = "/stand-in/faults"

// Faults are the switches of a stand-in. The zero value is a sound server.
type Faults struct {
	// Slow multiplies all times; 0 means 1.
	Slow float64 `json:"slow,omitempty"`
	// CrashText crashes the server when a request body contains it.
	CrashText string `json:"crash-text,omitempty"`
	// Hang accepts calls and never answers them.
	Hang bool `json:"hang,omitempty"`
	// HalfAnswer ends the response in the middle of an answer.
	HalfAnswer bool `json:"half-answer,omitempty"`
	// CrossedAnswers sends parts of other calls' answers.
	CrossedAnswers bool `json:"crossed-answers,omitempty"`
	// Freeze stops the whole server, with its announcements, until it is
	// switched off.
	Freeze bool `json:"freeze,omitempty"`
}

// Check returns an error that names the field, its value and what is allowed.
func (f Faults) Check() error {
	if f.Slow < 0 {
		return fmt.Errorf("field \"slow\": %v: want 0 or more", f.Slow)
	}
	return nil
}

var errCrashed = errors.New("server crashed")

// Switchboard applies Faults to the requests of one stand-in.
type Switchboard struct {
	mu       sync.Mutex
	faults   Faults
	unfrozen chan struct{} // closed while not frozen
	crashed  chan struct{} // closed by the next crash
	onCrash  []func()
}

// NewSwitchboard returns a switchboard with the given faults switched on.
func NewSwitchboard(f Faults) *Switchboard {
	s := &Switchboard{crashed: make(chan struct{}), unfrozen: closedChannel()}
	s.Set(f)
	return s
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// OnCrash adds a function that runs in every crash, after the requests in
// progress are lost and before new ones are served. It must not use the
// switchboard.
func (s *Switchboard) OnCrash(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onCrash = append(s.onCrash, f)
}

// Set replaces the faults.
func (s *Switchboard) Set(f Faults) {
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

// Faults returns the faults that are switched on.
func (s *Switchboard) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Frozen says whether the server is frozen.
func (s *Switchboard) Frozen() bool { return s.Faults().Freeze }

// Crash breaks the connections of all requests in progress.
func (s *Switchboard) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.crashed)
	for _, f := range s.onCrash {
		f()
	}
	s.crashed = make(chan struct{})
}

// CrashOn crashes the server when text contains the crash text, and then does
// not return.
func (s *Switchboard) CrashOn(text string) {
	crashText := s.Faults().CrashText
	if crashText != "" && strings.Contains(text, crashText) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
}

// Wait takes d, multiplied by the slow factor, and any time for which the
// server is frozen.
func (s *Switchboard) Wait(ctx context.Context, d time.Duration) error {
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

func (s *Switchboard) waitUnfrozen(ctx context.Context) error {
	s.mu.Lock()
	thawed := s.unfrozen
	s.mu.Unlock()
	select {
	case <-thawed:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// HangIfSet does not return before ctx ends when calls are to hang.
func (s *Switchboard) HangIfSet(ctx context.Context) {
	if s.Faults().Hang {
		<-ctx.Done()
	}
}

// Wrap returns a handler whose requests freeze and crash with the server. With
// admin, the faults can be read and set at FaultsPath.
func (s *Switchboard) Wrap(next http.Handler, admin bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if admin && r.URL.Path == FaultsPath {
			s.serveFaults(w, r)
			return
		}
		s.serve(next, w, r)
	})
}

// serve ends a request by breaking its connection when the server crashes
// before the request has ended.
func (s *Switchboard) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	crashed := s.crashed
	s.mu.Unlock()
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
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
	<-watched
	if errors.Is(context.Cause(ctx), errCrashed) {
		panic(http.ErrAbortHandler)
	}
}

func (s *Switchboard) serveFaults(w http.ResponseWriter, r *http.Request) {
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
