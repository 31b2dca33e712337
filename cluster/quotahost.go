package cluster

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/bootclock"
	"github.com/sycamoreline/sycamoreline/control"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// confirmTimeout bounds the read that confirms leadership. Entry hosts wait for
// permitTimeout.
const confirmTimeout = 200 * time.Millisecond

// quotaOwner is the state of a control host that grants permits for workspaces
// while it leads.
type quotaOwner struct {
	mu       sync.Mutex
	lease    leadershipLease
	renewing bool    // a read is in progress
	quotas   *quotas // of the last term in which permits were requested, or nil
}

// workspacePermits handles the request of an entry host for permits for requests of
// workspaces.
func (h *Host) workspacePermits(ctx context.Context, r permitRequest) (permitResponse, error) {
	for i := range r.Workspaces {
		if err := r.Workspaces[i].check(); err != nil {
			return permitResponse{}, err
		}
	}
	term, err := h.confirmLeadership(ctx)
	if err != nil {
		return permitResponse{}, err
	}
	t := h.state.updates.table()
	o := &h.quota
	o.mu.Lock()
	defer o.mu.Unlock()
	now := bootclock.Now()
	if !o.lease.valid(now, term) {
		return permitResponse{}, control.NewNotLeaderError("")
	}
	if o.quotas == nil || o.quotas.term != term {
		since := now - time.Since(h.group.LeadingSince())
		o.quotas = newQuotas(h.config.Quota, term, since, rand.NewPCG(rand.Uint64(), rand.Uint64()))
		h.logger.Info("counting quotas of workspaces", zap.Uint64("term", term), zap.Duration("leading", now-since))
	}
	if t != nil && t.Version > o.quotas.table {
		o.quotas.table, o.quotas.limits = t.Version, make(map[string]QuotaLimit, len(t.Workspaces))
		for i := range t.Workspaces {
			o.quotas.limits[t.Workspaces[i].Name] = quotaLimit(&t.Workspaces[i])
		}
	}
	out := permitResponse{Term: term, At: now, Workspaces: make([]workspaceGrant, len(r.Workspaces))}
	for i := range r.Workspaces {
		out.Workspaces[i] = o.quotas.grant(now, &r.Workspaces[i])
	}
	return out, nil
}

// confirmLeadership returns the term in which this host leads. It confirms that by
// a read if the lease ends soon.
func (h *Host) confirmLeadership(ctx context.Context) (uint64, error) {
	if err := h.requireLeader(); err != nil {
		return 0, err
	}
	term, _ := h.group.Leading()
	o := &h.quota
	o.mu.Lock()
	startedAt := bootclock.Now()
	if o.lease.valid(startedAt+leaseDuration/2, term) || o.renewing && o.lease.valid(startedAt, term) {
		o.mu.Unlock()
		return term, nil
	}
	o.renewing = true
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	err := h.group.Read(ctx)
	after, _ := h.group.Leading()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.renewing = false
	if err == nil && after == term {
		o.lease.confirm(startedAt, term)
	}
	if !o.lease.valid(bootclock.Now(), term) {
		if err == nil {
			err = control.NewNotLeaderError("")
		}
		return 0, err
	}
	return term, nil
}

// expire removes the buckets that are not needed.
func (o *quotaOwner) expire() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.quotas != nil {
		o.quotas.expire(bootclock.Now())
	}
}

// check returns an error if a number is not valid: it would spoil the bucket.
func (r *workspaceRequest) check() error {
	for _, n := range []float64{r.PerSecond, r.Burst, float64(r.Continuations), float64(r.Beginnings), float64(r.Repeated)} {
		if n < 0 || math.IsNaN(n) || math.IsInf(n, 0) {
			return verdict.Newf(verdict.NotRun, verdict.BadRequest, "permits for workspace %q: %v: want 0 or more", r.Workspace, n)
		}
	}
	return nil
}
