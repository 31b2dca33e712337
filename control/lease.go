package control

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/tree"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	// heartbeatsPerTTL allows for one lost heartbeat.
	heartbeatsPerTTL = 3
	// driftMargin is the fraction of a lease that a host does not use, so that
	// its clock may run 1% slow while the leader's runs 1% fast.
	driftMargin = 0.02
)

// heartbeatRequest renews the lease of an entry host, or releases it if Leaving
// is set.
type heartbeatRequest struct {
	Host            membership.Host `json:"host"`
	AppliedRevision int64           `json:"applied-revision"`
	MemberRevision  int64           `json:"member-revision"`
	Leaving         bool            `json:"leaving,omitempty"`
}

// heartbeatResponse grants a lease and carries the changes since the revisions
// of the request.
type heartbeatResponse struct {
	TTL     int64                 `json:"ttl"` // milliseconds
	Config  tree.Difference       `json:"config"`
	Members membership.Difference `json:"members"`
}

// presenceMessage reports to every control host that an entry host is alive, so
// that its calls are not taken over.
type presenceMessage struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
}

// LocalState stores the lease of an entry host, and the members and
// configuration that it has applied.
type LocalState interface {
	ApplyMembers(d membership.Difference)
	ApplyConfig(d tree.Difference)
	ExtendLease(until time.Duration)
	Revisions() (applied, members int64)
}

// LeaseRenewer renews the lease of an entry host and applies the responses of
// the control hosts to its local state.
type LeaseRenewer struct {
	client *Client
	host   membership.Host
	state  LocalState
	clock  func() time.Duration
	logger *zap.Logger

	cancel      context.CancelFunc
	wait        sync.WaitGroup
	granted     chan struct{}
	grantedOnce sync.Once
}

// NewLeaseRenewer returns a renewer that has started. interval is the time
// between presence messages. It is also the time between heartbeats until the
// first response, which contains the TTL.
func NewLeaseRenewer(client *Client, host membership.Host, state LocalState, clock func() time.Duration, interval time.Duration, logger *zap.Logger) *LeaseRenewer {
	ctx, cancel := context.WithCancel(context.Background())
	l := &LeaseRenewer{
		client: client, host: host, state: state, clock: clock, logger: logger,
		cancel: cancel, granted: make(chan struct{}),
	}
	l.wait.Add(1 + len(client.peers))
	go l.renew(ctx, interval)
	for _, p := range client.peers {
		go l.sendPresence(ctx, p, interval)
	}
	return l
}

// Granted returns a channel that is closed when the host is granted a lease for
// the first time.
func (l *LeaseRenewer) Granted() <-chan struct{} { return l.granted }

// Close stops renewing, releases the lease and waits for all goroutines.
func (l *LeaseRenewer) Close() {
	l.cancel()
	l.wait.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := l.heartbeat(ctx, true); err != nil {
		l.logger.Info("lease not released; it will expire", zap.Error(err))
	}
}

func (l *LeaseRenewer) renew(ctx context.Context, interval time.Duration) {
	defer l.wait.Done()
	reachable := true
	for ctx.Err() == nil {
		sent := l.clock()
		attempt, cancel := context.WithTimeout(ctx, max(interval*heartbeatsPerTTL, attemptTimeout))
		r, err := l.heartbeat(attempt, false)
		cancel()
		if err == nil {
			interval = l.apply(sent, r)
		}
		if ok := err == nil; ok != reachable && ctx.Err() == nil {
			reachable = ok
			l.logger.Info("reachability of control hosts changed", zap.Bool("reachable", ok), zap.Error(err))
		}
		pause.For(ctx, max(interval-(l.clock()-sent), 0))
	}
}

// apply applies a response and returns the interval to the next heartbeat. The
// lease starts when the heartbeat was sent, since the response may have been
// delayed.
func (l *LeaseRenewer) apply(sent time.Duration, r heartbeatResponse) time.Duration {
	ttl := time.Duration(r.TTL) * time.Millisecond
	// Members and configuration are applied before the lease is extended: a
	// live lease guarantees that what was in force when it was granted is in
	// force on this host.
	l.state.ApplyMembers(r.Members)
	l.state.ApplyConfig(r.Config)
	l.state.ExtendLease(sent + time.Duration(float64(ttl)*(1-driftMargin)))
	l.grantedOnce.Do(func() { close(l.granted) })
	return ttl / heartbeatsPerTTL
}

func (l *LeaseRenewer) heartbeat(ctx context.Context, leaving bool) (heartbeatResponse, error) {
	applied, members := l.state.Revisions()
	request := heartbeatRequest{Host: l.host, AppliedRevision: applied, MemberRevision: members, Leaving: leaving}
	var r heartbeatResponse
	err := l.client.callLeader(ctx, methodHeartbeat, ConfigGroup, request, &r)
	return r, err
}

func (l *LeaseRenewer) sendPresence(ctx context.Context, p *Peer, interval time.Duration) {
	defer l.wait.Done()
	message := presenceMessage{Host: l.host.Host, Incarnation: l.host.Incarnation}
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, interval)
		// Errors are ignored: the message is sent again after the interval.
		_ = p.Notify(attempt, methodPresence, message)
		cancel()
		pause.For(ctx, interval)
	}
}

// Announce registers or renews a backend server. It returns the time within
// which the server must renew.
func (c *Client) Announce(ctx context.Context, a membership.Announcement) (time.Duration, error) {
	var r struct {
		TTL int64 `json:"ttl"` // milliseconds
	}
	if err := c.callLeader(ctx, methodAnnounce, ConfigGroup, a, &r); err != nil {
		return 0, err
	}
	if r.TTL <= 0 {
		return 0, verdict.New(verdict.MayHaveRun, verdict.Internal, "control host granted no lease")
	}
	return time.Duration(r.TTL) * time.Millisecond, nil
}
