// Package forward forwards callers' requests to backend servers. It waits for
// the scheduler to assign a server, sends the request, retries or resumes it as
// its route allows, and reserves and settles the tokens of programs' turns.
//
// It neither parses callers' requests nor defines the headers exchanged with
// backend servers: its caller decodes each request into a Call and implements
// Protocol. Start reading at Forwarder.Serve; progress.next decides on retries.
package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/schedule"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// Call is a decoded request of a caller.
type Call struct {
	ID     string // unique for each request, resends included
	Method string
	Target string // path and query as sent
	Host   string
	Header http.Header // header fields to forward
	Body   []byte
	// HeldBody is the part of Body, in bytes, that is held with HoldBody.
	HeldBody int64
	Route    *route.Route
	// Arrived and Deadline are times of this process's clock. A zero Deadline
	// means the end of the route's timeout, to which Serve also limits a later one.
	Arrived  time.Time
	Deadline time.Time
	// Affinity is the affinity key: a hash of the object that the request refers
	// to or of its prompt's prefix, or 0 for neither.
	Affinity     uint64
	Model        string
	PromptTokens int
	Turn         *Turn // nil for a request that is not a turn of a program
	// Program and Session are the ids of the program and of the session that the
	// request belongs to, or empty.
	Program string
	Session string
	// LastEvent is the id of the last event that the caller has received of a
	// stream to resume, or empty.
	LastEvent string
	// Resumes is the id of the request whose answer began the stream that this
	// call takes up, or empty.
	Resumes string
	// Workspace is the workspace of the caller, or nil if requests need no key.
	Workspace *route.Workspace

	callerTime time.Duration // from Arrived to the caller's own deadline
}

// ledgerID returns the id under which the ledger and this host remember a program,
// a session or a request of the caller: callers of different workspaces may use the
// same ids. Sessions in the ledger belong to a program and need no prefix. Names of workspaces contain no line feed.
func (c *Call) ledgerID(id string) string {
	if c.Workspace == nil || id == "" {
		return id
	}
	return c.Workspace.Name + "\n" + id
}

// inOwnIDs returns a refusal of the ledger with the caller's ids in its message.
func (c *Call) inOwnIDs(e *verdict.Error) *verdict.Error {
	if c.Workspace == nil {
		return e
	}
	quoted := strconv.Quote(c.ledgerID("x"))
	prefix := strings.TrimSuffix(quoted, `x"`)
	return verdict.New(e.Verdict(), e.Reason(), strings.ReplaceAll(e.Message(), prefix, `"`), verdict.WithRetryAfter(e.RetryAfter()))
}

// limitDeadline limits the deadline to the end of the route's timeout.
func (c *Call) limitDeadline() {
	limit := c.Arrived.Add(c.Route.Timeout)
	if c.Deadline.IsZero() {
		c.Deadline = limit
	}
	c.callerTime = c.Deadline.Sub(c.Arrived)
	if limit.Before(c.Deadline) {
		c.Deadline = limit
	}
}

// Turn describes a request that is a turn of a program.
type Turn struct {
	Budget    int64  // maximum number of tokens that all turns of the program may generate together
	MaxTokens int64  // maximum number of tokens that this turn may generate
	Previous  string // id of the turn that this one continues, or empty
}

// Attempt is one attempt to send a call to a backend server.
type Attempt struct {
	Server    string
	Remaining time.Duration // time until the call's deadline
	Priority  int           // 0 is the highest
	// LastEvent is the id of the last event forwarded to the caller, or empty.
	LastEvent string
}

// Reply is the information in a backend server's response header.
type Reply struct {
	// Matches is false for a response to another request.
	Matches bool
	// Unnamed is true for a response that names no request. It may be a late one to
	// an earlier request on its connection.
	Unnamed bool
	// NotRun is true if the server reports that it did not run the request.
	NotRun bool
	// WrongServer is true if the address now belongs to another server.
	WrongServer bool
	// Signed is true if the response has the server's signature.
	Signed bool
	// Limit is the number of requests per second that the server takes from all
	// hosts together, or 0 if the response names none.
	Limit float64
	// Leaving is true if the server reports that it is leaving. It then gets no
	// new requests until it restarts, unless WrongServer is also true.
	Leaving bool
	// KeepAlive is the idle timeout that the server announces for the connection,
	// or 0 if it announces none.
	KeepAlive time.Duration
}

// Protocol encodes the header of requests to backend servers and decodes that of
// their responses.
type Protocol interface {
	// Header returns the header of the request for an attempt.
	Header(c *Call, a Attempt) http.Header
	// Reply decodes the header of a response.
	Reply(c *Call, r *http.Response) Reply
	// ForwardedHeader returns the header fields of a response to forward to the
	// caller.
	ForwardedHeader(r *http.Response) http.Header
}

// Step is what follows a failed attempt.
type Step uint8

// The steps.
const (
	// Fail ends the call.
	Fail Step = iota
	// Retry sends the call again, if possible to another server.
	Retry
)

// Limits of retries.
const (
	// maxNotRun is the maximum number of attempts of one call that did not run,
	// because they reached no server or were rejected. It does not limit a stream
	// whose response has begun: its caller can't be told that it was rejected.
	maxNotRun = 12
	// initialBackoff and maxBackoff are the initial and the maximum backoff, before
	// jitter, after a full server has rejected a call. The servers of a plain
	// service take about 20 ms for a call.
	initialBackoff = 8 * time.Millisecond
	maxBackoff     = 100 * time.Millisecond
	// minRetryTime is the minimum time before the deadline for another attempt.
	minRetryTime = 20 * time.Millisecond
)

// progress is the state of a call between two attempts.
type progress struct {
	mayHaveRun int           // attempts that a server may have run
	notRun     int           // attempts that did not run
	started    bool          // the response to the caller has been started
	remaining  time.Duration // time until the deadline
}

// next decides what follows a failed attempt. A call that may have run is sent
// again only if its route allows it, in at most MaxAttempts attempts. An attempt
// doesn't count towards that limit if its server no longer accepts connections
// (serverDown).
func (p *progress) next(r *route.Route, notRun, serverDown bool) Step {
	if p.remaining < minRetryTime {
		return Fail
	}
	if notRun {
		p.notRun++
		if p.notRun >= maxNotRun && !p.started {
			return Fail
		}
		return Retry
	}
	if !serverDown {
		p.mayHaveRun++
	}
	if !p.mayRepeat(r) {
		return Fail
	}
	return Retry
}

// mayRepeat reports whether the route allows another attempt of a call that may
// have run.
func (p *progress) mayRepeat(r *route.Route) bool {
	repeatable := r.Kind == route.Idempotent || r.Kind == route.Stream && r.Resumable
	return repeatable && p.mayHaveRun < max(1, r.MaxAttempts)
}

// backoff returns the wait before the next attempt of a call that was rejected.
// It grows exponentially; jitter, in [0, 1), varies it by up to half, so that
// calls which were rejected together are retried at different times.
//
// Without a backoff, after a service had lost servers, six attempts of a call
// within 7 ms reached the same full server, and the call was rejected although a
// slot became free every few milliseconds.
func (p *progress) backoff(jitter float64) time.Duration {
	d := min(maxBackoff, initialBackoff<<min(p.notRun-1, 8))
	return d/2 + time.Duration(jitter*float64(d))
}

// class returns the scheduler class for the priority of a route.
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
