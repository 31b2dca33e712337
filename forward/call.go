// Package forward passes requests on to backend servers: it chooses a server,
// sends, retries and resumes as the request's route allows, and accounts for
// the turns of programs.
package forward

import (
	"net/http"
	"time"

	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/schedule"
)

// Call is a request of a caller, decoded.
type Call struct {
	ID     string // unique for each attempt of the caller
	Method string
	Target string // path and query as sent
	Host   string
	Header http.Header // to be passed on
	Body   []byte
	Route  *route.Route
	// Arrived and Deadline are on the clock of this process; a zero deadline
	// is that of the route.
	Arrived  time.Time
	Deadline time.Time
	// Affinity names the object that the request is about, or the first part of
	// its prompt; 0 for neither.
	Affinity     uint64
	Model        string
	PromptTokens int
	Turn         *Turn // nil for a request that is not a turn of a program
	// Program is the program that the request belongs to, and Session its line
	// of turns; both may be empty.
	Program string
	Session string
	// LastEvent is the last event of the stream that the caller has; empty for
	// a stream from its start.
	LastEvent string
}

// Turn is what a turn of a program may use.
type Turn struct {
	Budget   int64  // tokens that all turns of the program may generate
	MaxTokens     int64  // tokens that this turn may generate
	Previous string // id of the turn that this one continues, or empty
}

// Attempt is one sending of a call to a backend server.
type Attempt struct {
	Server    string
	Remaining time.Duration
	Priority  int // 0 is the most urgent
	// LastEvent is the last event that was passed on; empty for none.
	LastEvent string
}

// Reply is what a backend server says in the head of its response.
type Reply struct {
	// Matches is false for a response to another request.
	Matches bool
	// NotRun is true if the server states that it did not run the request.
	NotRun bool
	// WrongServer is true if another server has the address.
	WrongServer bool
	// Signed is true if the response bears the server's signature.
	Signed bool
	// KeepAlive is how long the server keeps the connection; 0 if it doesn't say.
	KeepAlive time.Duration
}

// Protocol is how calls and replies look to backend servers.
type Protocol interface {
	Header(c *Call, a Attempt) http.Header
	Reply(c *Call, r *http.Response) Reply
	// ForwardedHeader returns the headers of a response that the caller gets.
	ForwardedHeader(r *http.Response) http.Header
}

// Step says what is done after an attempt that did not bring an answer.
type Step uint8

// The steps.
const (
	// Fail ends the call.
	Fail Step = iota
	// Retry sends the call again, to another server if there is one.
	Retry
)

// Limits of attempts that did not run.
const (
	// maxNotRun bounds the sendings of one call that reached no server or were
	// turned away.
	maxNotRun = 12
	// firstBackoff and maxBackoff are the pauses before a call is sent again that
	// a full server has turned away. The servers of a plain service work for
	// some 20 ms on a call.
	firstBackoff = 8 * time.Millisecond
	maxBackoff   = 100 * time.Millisecond
	// minRetryTime is the least time that must be left for another sending.
	minRetryTime = 20 * time.Millisecond
)

// progress is what is known of a call between two attempts.
type progress struct {
	mayHaveRun     int // sendings after which a server may have run the call
	notRun   int // sendings that did not run it
	started bool
	remaining    time.Duration // until the deadline
}

// next decides what follows an attempt that failed. A call that may have run is
// sent again only if its route allows that, and to no more servers than it
// allows; ended says that the last server is known to have ended, which does
// not count.
func (p *progress) next(r *route.Route, notRun, ended bool) Step {
	if p.remaining < minRetryTime {
		return Fail
	}
	if notRun {
		p.notRun++
		if p.notRun >= maxNotRun {
			return Fail
		}
		return Retry
	}
	if !ended {
		p.mayHaveRun++
	}
	repeatable := r.Kind == route.Idempotent || r.Kind == route.Stream && r.Resumable
	if !repeatable || p.mayHaveRun >= max(1, r.MaxAttempts) {
		return Fail
	}
	return Retry
}

// backoff returns the pause before the next sending of a call that was turned
// away. It doubles each time; draw, in [0, 1), spreads the calls that were turned
// away together.
//
// It answers the load of a service that has lost servers: six sendings within
// 7 ms met the same full server, and the call was refused while slots fell free
// every few milliseconds.
func (p *progress) backoff(draw float64) time.Duration {
	d := min(maxBackoff, firstBackoff<<min(p.notRun-1, 8))
	return d/2 + time.Duration(draw*float64(d))
}

// class maps the priority of a route to a class of the scheduler.
func class(r *route.Route) schedule.Class {
	switch {
	case r.Priority <= 0:
		return schedule.Interactive
	case r.Priority == 1:
		return schedule.Standard
	default:
		return schedule.Batch
	}
}
