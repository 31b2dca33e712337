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
	// heartbeatsPerTTL leaves room for one lost heartbeat.
	heartbeatsPerTTL = 3
	// driftMargin is the part of a lease that a host gives up, so that its
	// clock may run 1% slow while the leader's runs 1% fast.
	driftMargin = 0.02
)

// heartbeatRequest renews the lease of an entry host.
type heartbeatRequest struct {
	Host            membership.Host `json:"host"`
	AppliedRevision int64           `json:"applied-revision"`
	MemberRevision  int64           `json:"member-revision"`
	Leaving         bool            `json:"leaving,omitempty"`
}

// heartbeatResponse grants a lease and brings the host up to date.
type heartbeatResponse struct {
	TTL     int64                 `json:"ttl"` // milliseconds
	Config  tree.Difference       `json:"config"`
	Members membership.Difference `json:"members"`
}

// presenceMessage tells every control host that an entry host is alive, so
// that its calls are not taken over.
type presenceMessage struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
}

// LocalState is what the lease keeper writes.
type LocalState interface {
	ApplyMembers(d membership.Difference)
	ApplyConfig(d tree.Difference)
	ExtendLease(until time.Duration)
	Revisions() (applied, members int64)
}

// LeaseRenewer renews the lease of an entry host and writes what the control
// hosts answer to the board.
type LeaseRenewer struct {
	client *Client
	host   membership.Host
	state  LocalState
	clock  func() time.Duration
	logger *zap.Logger

	cancel context.CancelFunc
	wait   sync.WaitGroup
	granted  chan struct{}
	grantedOnce   sync.Once
}

// NewLeaseRenewer starts renewing. interval is the time between heartbeats
// before the control hosts have told the TTL.
func NewLeaseRenewer(client *Client, host membership.Host, board LocalState, clock func() time.Duration, interval time.Duration, logger *zap.Logger) *LeaseRenewer {
	ctx, cancel := context.WithCancel(context.Background())
	k := &LeaseRenewer{
		client: client, host: host, state: board, clock: clock, logger: logger,
		cancel: cancel, granted: make(chan struct{}),
	}
	k.wait.Add(1 + len(client.peers))
	go k.renew(ctx, interval)
	for _, p := range client.peers {
		go k.sendPresence(ctx, p, interval)
	}
	return k
}

// Granted is closed when the host has had its first lease.
func (k *LeaseRenewer) Granted() <-chan struct{} { return k.granted }

// Close stops renewing, gives the lease up and waits.
func (k *LeaseRenewer) Close() {
	k.cancel()
	k.wait.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := k.heartbeat(ctx, true); err != nil {
		k.logger.Info("lease not given up; it will run out", zap.Error(err))
	}
}

func (k *LeaseRenewer) renew(ctx context.Context, interval time.Duration) {
	defer k.wait.Done()
	healthy := true
	for ctx.Err() == nil {
		sent := k.clock()
		attempt, cancel := context.WithTimeout(ctx, max(interval*heartbeatsPerTTL, attemptTimeout))
		r, err := k.heartbeat(attempt, false)
		cancel()
		if err == nil {
			interval = k.apply(sent, r)
		}
		if ok := err == nil; ok != healthy && ctx.Err() == nil {
			healthy = ok
			k.logger.Info("control hosts", zap.Bool("reachable", ok), zap.Error(err))
		}
		pause.For(ctx, max(interval-(k.clock()-sent), 0))
	}
}

// apply takes in a response. The lease counts from the time the heartbeat was
// sent, since the response may have been on its way for long.
func (k *LeaseRenewer) apply(sent time.Duration, r heartbeatResponse) time.Duration {
	ttl := time.Duration(r.TTL) * time.Millisecond
	// Members and configuration come before the lease: a lease vouches that
	// what was in force when it was granted is in force here.
	k.state.ApplyMembers(r.Members)
	k.state.ApplyConfig(r.Config)
	k.state.ExtendLease(sent + time.Duration(float64(ttl)*(1-driftMargin)))
	k.grantedOnce.Do(func() { close(k.granted) })
	return ttl / heartbeatsPerTTL
}

func (k *LeaseRenewer) heartbeat(ctx context.Context, leaving bool) (heartbeatResponse, error) {
	applied, members := k.state.Revisions()
	request := heartbeatRequest{Host: k.host, AppliedRevision: applied, MemberRevision: members, Leaving: leaving}
	var r heartbeatResponse
	err := k.client.callLeader(ctx, methodHeartbeat, ConfigGroup, request, &r)
	return r, err
}

func (k *LeaseRenewer) sendPresence(ctx context.Context, p *Peer, interval time.Duration) {
	defer k.wait.Done()
	request := presenceMessage{Host: k.host.Host, Incarnation: k.host.Incarnation}
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, interval)
		// A control host that is down learns of this host when it is back.
		_ = p.Notify(attempt, methodPresence, request)
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
