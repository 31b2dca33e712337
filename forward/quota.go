package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoreline/sycamoreline/cluster"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// acquirePermit acquires the permit for the first attempt if the workspace has a
// limit.
func (r *execution) acquirePermit(ctx context.Context) error {
	if r.quotas == nil || r.call.Workspace == nil {
		return nil
	}
	begins := r.beginsProgram()
	p, err := r.quotas.WorkspacePermit(ctx, r.call.Workspace, begins)
	if err != nil {
		r.metrics.quota(r.call.Workspace, "refused")
		if v := verdict.From(err); v.Reason() == verdict.QuotaExceeded {
			return v
		}
		return notCounted(err)
	}
	if p.Limited() {
		r.permit = p
		r.metrics.quota(r.call.Workspace, "granted")
		if r.call.Program != "" {
			r.programs.add(r.call.ledgerID(r.call.Program))
		}
	}
	return nil
}

// beginsProgram reports whether the call begins a program: it is a first turn of a
// program that this host has not seen lately.
func (r *execution) beginsProgram() bool {
	c := r.call
	return c.Turn != nil && c.Turn.Previous == "" && !c.resumes() && c.LastEvent == "" && !r.programs.has(c.ledgerID(c.Program))
}

// renewPermit acquires a permit for the next attempt if the last attempt may have
// used it, or if it is not valid any more. It waits for credit until the deadline:
// the call has begun.
func (r *execution) renewPermit(ctx context.Context) error {
	if !r.permit.Limited() || !r.permitUsed && r.permit.Valid() {
		return nil
	}
	r.refundPermit()
	for {
		p, err := r.quotas.WorkspacePermit(ctx, r.call.Workspace, false)
		if err == nil {
			r.permit, r.permitUsed = p, false
			r.metrics.quota(r.call.Workspace, "granted")
			return nil
		}
		v := verdict.From(err)
		mayWait := v.Reason() == verdict.QuotaExceeded && time.Now().Add(v.RetryAfter()).Before(r.call.Deadline)
		if mayWait {
			r.release(r.takeNext()) // a place must not be held meanwhile
		}
		if !mayWait || !pause.For(ctx, v.RetryAfter()) {
			r.metrics.quota(r.call.Workspace, "refused")
			if r.mayHaveRun {
				return verdict.New(verdict.MayHaveRun, verdict.ServerFailed, "an earlier attempt may have run", verdict.WithCause(errors.Join(r.lastErr, err)))
			}
			if v.Reason() != verdict.QuotaExceeded {
				return notCounted(err)
			}
			return err
		}
	}
}

// notCounted returns the error of a call that no control host has counted.
func notCounted(err error) error {
	return verdict.New(verdict.NotRun, verdict.ControlUnavailable, "the request could not be counted for its workspace",
		verdict.WithCause(err), verdict.WithRetryAfter(recoveryRetryAfter()))
}

// refundPermit returns the permit unless a server may have run the request.
func (r *execution) refundPermit() {
	if r.permit.Limited() && !r.permitUsed {
		r.quotas.RefundPermit(r.permit)
		r.metrics.quota(r.call.Workspace, "refunded")
	}
	// Also marks the call as one that needs a permit for each attempt.
	r.permitUsed = true
}

const (
	// maxRecentPrograms and recentProgramAge bound the programs that a host remembers.
	// A program takes up to a minute, with some seconds between its requests.
	maxRecentPrograms = 1 << 14
	recentProgramAge  = 2 * time.Minute
)

// programSet holds the hashes of the programs whose requests this host has
// forwarded lately. It is safe for concurrent use.
type programSet struct {
	clock func() time.Duration

	mu              sync.Mutex
	recent, earlier map[uint64]struct{}
	since           time.Duration // of recent
}

func newProgramSet(clock func() time.Duration) *programSet {
	return &programSet{clock: clock, recent: map[uint64]struct{}{}}
}

// add records a request of a program.
func (s *programSet) add(program string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate()
	s.recent[xxhash.Sum64String(program)] = struct{}{}
}

// has reports whether a request of a program has been recorded lately.
func (s *programSet) has(program string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate()
	h := xxhash.Sum64String(program)
	_, recent := s.recent[h]
	_, earlier := s.earlier[h]
	return recent || earlier
}

// rotate forgets the earlier half. The caller holds s.mu.
func (s *programSet) rotate() {
	now := s.clock()
	switch age := now - s.since; {
	case age >= 2*recentProgramAge:
		s.recent, s.earlier, s.since = map[uint64]struct{}{}, nil, now
	case age >= recentProgramAge || len(s.recent) >= maxRecentPrograms/2:
		s.recent, s.earlier, s.since = map[uint64]struct{}{}, s.recent, now
	}
}

var _ Quotas = (*cluster.Link)(nil)
