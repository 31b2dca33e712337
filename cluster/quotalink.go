package cluster

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/bootclock"
	"github.com/sycamoreline/sycamoreline/control"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	// leaderWait is how long a request waits for a leader that grants permits. An
	// election takes 0.4 to 0.6 s, and it may fail once.
	leaderWait = 1500 * time.Millisecond
	// creditWait is how long a request that continues a program waits for credit when
	// its workspace exceeds its limit.
	creditWait = 400 * time.Millisecond
	// withinLimitWait is how long a request waits for credit when its workspace is
	// within its limit, as after a change of the leader.
	withinLimitWait = 1500 * time.Millisecond
	// permitValidity is how long a permit may be used after it was requested. A call
	// that waits longer for a server renews it.
	permitValidity = 3 * time.Second
)

// WorkspacePermit permits one request of a workspace. The zero value is that of a
// workspace without a limit.
type WorkspacePermit struct {
	request  workspaceRequest // of the workspace
	term     uint64
	at       time.Duration // by the clock of the leader
	validity time.Duration // end, by bootclock
}

// NewWorkspacePermit returns a permit that is valid for some time, for sources of
// permits other than a Link.
func NewWorkspacePermit(validFor time.Duration) WorkspacePermit {
	return WorkspacePermit{term: 1, validity: bootclock.Now() + validFor}
}

// Limited reports whether the workspace has a limit.
func (p *WorkspacePermit) Limited() bool { return p.term != 0 }

// Valid reports whether the permit may be used now.
func (p *WorkspacePermit) Valid() bool { return p.validAt(bootclock.Now()) }

func (p *WorkspacePermit) validAt(now time.Duration) bool { return !p.Limited() || now < p.validity }

// permitCall is a request that waits for a permit.
type permitCall struct {
	workspace  workspaceRequest // without counts
	begins     bool
	repeated   bool
	startedAt  time.Duration
	permit     WorkspacePermit
	grant      workspaceGrant // if there is no permit
	controller string         // id of the control host that has answered
	err        error
	done       chan struct{}
	claimed    atomic.Bool // by the answer, or by the end of the request
}

// permitQueue holds the requests that wait for the next message to the leader, and
// the permits to return with it.
type permitQueue struct {
	mu      sync.Mutex
	calls   []*permitCall
	refunds []WorkspacePermit
	ready   chan struct{}
}

func (q *permitQueue) add(calls []*permitCall, refunds []WorkspacePermit) {
	q.mu.Lock()
	q.calls, q.refunds = append(q.calls, calls...), append(q.refunds, refunds...)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// take returns what the next message is to contain.
func (q *permitQueue) take() ([]*permitCall, []WorkspacePermit) {
	q.mu.Lock()
	defer q.mu.Unlock()
	calls, refunds := q.calls, q.refunds
	q.calls, q.refunds = nil, nil
	ended := func(c *permitCall) bool { return c.claimed.Load() }
	return slices.DeleteFunc(calls, ended), refunds
}

// WorkspacePermit returns a permit for a request of a workspace. begins is set for
// a request that begins a program. The error is a *verdict.Error with the reason
// QuotaExceeded, or ControlUnavailable if no leader has answered.
func (l *Link) WorkspacePermit(ctx context.Context, w *route.Workspace, begins bool) (WorkspacePermit, error) {
	r := l.workspaceRequest(w)
	if r.PerSecond <= 0 {
		return WorkspacePermit{}, nil
	}
	started := bootclock.Now()
	for n := 0; ; n++ {
		c := &permitCall{workspace: r, begins: begins, repeated: n > 0, startedAt: bootclock.Now(), done: make(chan struct{})}
		l.permits.add([]*permitCall{c}, nil)
		select {
		case <-c.done:
		case <-ctx.Done():
			if !c.claimed.CompareAndSwap(false, true) {
				<-c.done
				l.RefundPermit(c.permit)
			}
			return WorkspacePermit{}, unavailable(ctx.Err())
		case <-l.ctx.Done():
			return WorkspacePermit{}, unavailable(l.ctx.Err())
		}
		waited := bootclock.Now() - started
		switch {
		case c.err != nil:
			if waited+permitRetryDelay > leaderWait || !pause.For(ctx, permitRetryDelay/4+rand.N(permitRetryDelay/4)) {
				return WorkspacePermit{}, unavailable(c.err)
			}
		case c.permit.Limited():
			return c.permit, nil
		default:
			wait := c.wait()
			if waited+wait > c.patience() || !pause.For(ctx, wait) {
				return WorkspacePermit{}, l.refused(c, wait)
			}
		}
	}
}

func unavailable(cause error) error {
	return verdict.New(verdict.NotRun, verdict.ControlUnavailable, "no control host counts the requests of the workspace", verdict.WithCause(cause))
}

// wait returns the time after which a refused call may get a permit.
func (c *permitCall) wait() time.Duration {
	wait, spread := c.grant.Wait, c.grant.Spread
	if c.begins {
		wait, spread = c.grant.BeginWait, c.grant.BeginSpread
	}
	return wait + time.Duration(rand.Float64()*float64(spread))
}

// patience returns how long a refused call waits for a permit altogether.
func (c *permitCall) patience() time.Duration {
	switch {
	case !c.grant.Exceeded:
		return withinLimitWait
	case c.begins:
		return 0
	default:
		return creditWait
	}
}

// refused logs a refused call and returns its error.
func (l *Link) refused(c *permitCall, wait time.Duration) error {
	l.logger.Info("quota of workspace exceeded", zap.String("workspace", c.workspace.Workspace), zap.Bool("begins", c.begins),
		zap.Float64("per-second", c.grant.PerSecond), zap.Float64("burst", c.grant.Burst), zap.Bool("exceeded", c.grant.Exceeded),
		zap.String("control-host", c.controller), zap.Duration("retry-after", wait))
	return verdict.New(verdict.NotRun, verdict.QuotaExceeded, "the requests of workspace "+c.workspace.Workspace+" exceed its limit", verdict.WithRetryAfter(wait))
}

// RefundPermit returns a permit for a request that no server has run.
func (l *Link) RefundPermit(p WorkspacePermit) {
	if p.Limited() {
		l.permits.add(nil, []WorkspacePermit{p})
	}
}

func quotaLimit(w *route.Workspace) QuotaLimit {
	return QuotaLimit{PerSecond: w.PerSecond, Burst: w.Burst}
}

// workspaceRequest returns a request for a workspace with the limit of the table in
// force, or else with the one given.
func (l *Link) workspaceRequest(w *route.Workspace) workspaceRequest {
	r := workspaceRequest{Workspace: w.Name, QuotaLimit: quotaLimit(w)}
	if x := l.index.Load(); x != nil {
		list := x.Workspaces()
		for i := range list {
			if list[i].Name == w.Name {
				r.Table, r.QuotaLimit = x.Version(), quotaLimit(&list[i])
			}
		}
	}
	return r
}

// requestPermits sends one request at a time. Calls that come meanwhile share the
// next one.
func (l *Link) requestPermits() {
	for {
		select {
		case <-l.permits.ready:
		case <-l.ctx.Done():
			return
		}
		if calls, refunds := l.permits.take(); len(calls)+len(refunds) > 0 {
			l.requestPermitsFor(calls, refunds)
		}
	}
}

// permitBatch is the content of a request for permits.
type permitBatch struct {
	request permitRequest
	calls   [][]*permitCall // by workspace, in the order of the request
	index   map[string]int  // of a workspace
}

func newPermitBatch(host string, calls []*permitCall, refunds []WorkspacePermit) *permitBatch {
	b := &permitBatch{request: permitRequest{Host: host}, index: map[string]int{}}
	for _, c := range calls {
		i := b.workspace(&c.workspace)
		b.calls[i] = append(b.calls[i], c)
		r := &b.request.Workspaces[i]
		if c.begins {
			r.Beginnings++
		} else {
			r.Continuations++
		}
		if c.repeated {
			r.Repeated++
		}
	}
	for _, p := range refunds {
		r := &b.request.Workspaces[b.workspace(&p.request)]
		r.Refunds = append(r.Refunds, permitRefund{Term: p.term, At: p.at, Count: 1})
	}
	return b
}

// workspace returns the index of a workspace in the request, which has the limit of
// the newest table of all calls.
func (b *permitBatch) workspace(r *workspaceRequest) int {
	i, ok := b.index[r.Workspace]
	if !ok {
		i = len(b.request.Workspaces)
		b.index[r.Workspace] = i
		b.request.Workspaces = append(b.request.Workspaces, *r)
		b.calls = append(b.calls, nil)
	}
	if x := &b.request.Workspaces[i]; r.Table > x.Table {
		x.Table, x.QuotaLimit = r.Table, r.QuotaLimit
	}
	return i
}

// distribute passes the permits of a response on to the calls, in their order. It
// returns those of calls that have ended: a later call must not use them.
func (b *permitBatch) distribute(host string, out permitResponse, err error) (unused []WorkspacePermit) {
	for i, calls := range b.calls {
		var g workspaceGrant
		if err == nil {
			g = out.Workspaces[i]
		}
		left := g
		for _, c := range calls {
			n := &left.Continuations
			if c.begins {
				n = &left.Beginnings
			}
			var p WorkspacePermit
			if *n > 0 {
				*n--
				p = WorkspacePermit{request: c.workspace, term: out.Term, at: out.At, validity: c.startedAt + permitValidity}
			}
			if c.claimed.CompareAndSwap(false, true) {
				c.err, c.grant, c.controller, c.permit = err, g, host, p
				close(c.done)
			} else if p.Limited() {
				unused = append(unused, p)
			}
		}
	}
	return unused
}

// requestPermitsFor sends one request and distributes the response. After an error,
// the calls ask again.
func (l *Link) requestPermitsFor(calls []*permitCall, refunds []WorkspacePermit) {
	b := newPermitBatch(l.config.ID, calls, refunds)
	var out permitResponse
	h, err := l.callControlLeader(&b.request, &out)
	if err == nil && (out.Term == 0 || len(out.Workspaces) != len(b.calls)) {
		err = errors.New("the control host does not count requests of workspaces")
	}
	if err != nil && l.ctx.Err() == nil {
		l.logger.Warn("permit request failed", zap.Int("workspaces", len(b.calls)), zap.Int("requests", len(calls)), zap.String("control-host", h), zap.Error(err))
	}
	if unused := b.distribute(h, out, err); len(unused) > 0 {
		l.permits.add(nil, unused)
	}
}

var errNoControlHost = errors.New("no control host is reachable")

// callControlLeader requests permits from the leader of the control hosts. It
// follows one redirect.
func (l *Link) callControlLeader(r *permitRequest, out *permitResponse) (id string, err error) {
	for range 2 {
		h := l.permitHost()
		if h == nil {
			return "", errNoControlHost
		}
		attempt, cancel := context.WithTimeout(l.ctx, permitTimeout)
		err = h.Call(attempt, methodPermit, r, out)
		cancel()
		if err == nil {
			return h.id, nil
		}
		id = h.id
		if !l.followRedirect(h.id, err) {
			return id, err
		}
	}
	return id, err
}

// permitHost returns the leader of the control hosts, or else any control host that
// has answered the last poll, or nil.
func (l *Link) permitHost() *controlHost {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.hosts[l.controlLeader.id]; h != nil && h.responsive {
		return h
	}
	for _, h := range l.hosts {
		if h.responsive {
			return h
		}
	}
	return nil
}

// redirect returns the leader that an error names, or "".
func redirect(err error) string {
	if e := (*control.NotLeaderError)(nil); errors.As(err, &e) {
		return e.Leader()
	}
	return ""
}

// followRedirect records the leader that an error names, or that the host which was
// asked is none. It reports whether there is another one to ask.
func (l *Link) followRedirect(asked string, err error) bool {
	leader := redirect(err)
	l.mu.Lock()
	defer l.mu.Unlock()
	if leader != "" || l.controlLeader.id == asked {
		l.controlLeader.id = leader
	}
	return leader != "" && leader != asked
}
