package forward

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/schedule"
)

const (
	// minMoveTime is the minimum time before the deadline at which a stream moves
	// from a silent server to another one, which has to read the prompt first.
	minMoveTime = 500 * time.Millisecond
	// moveWait bounds the wait for a place on another server. The silent one may go
	// on at any time.
	moveWait = 50 * time.Millisecond
)

// streamMover finds places for the next attempt of a stream, on servers that accept
// a connection. It implements mover.
type streamMover struct {
	execution *execution
	request   schedule.Request
	current   target
	deadline  time.Time
}

// mover returns the mover of an attempt, or nil if the route does not allow
// another one. A stream moves only between servers of one service and software
// version: another version would have to be recorded first.
func (r *execution) mover(t target) mover {
	after := r.progress
	after.mayHaveRun++
	if !after.mayRepeat(r.call.Route) {
		return nil
	}
	request := r.scheduleRequest(t.service, append(slices.Clone(r.avoid), t.server), t.softwareVersion)
	request.ID.Attempt++
	return &streamMover{execution: r, request: request, current: t, deadline: r.call.Deadline}
}

func (m *streamMover) acquire(ctx context.Context) *placement {
	r := m.execution
	found := false
	if time.Until(m.deadline) >= minMoveTime {
		r.queue.Do(func(now time.Duration, s *schedule.Scheduler) {
			found = s.HasAlternative(now, m.current.id, m.request.SoftwareVersion)
		})
	}
	if !found {
		return nil
	}
	submitCtx, cancel := context.WithTimeout(ctx, moveWait)
	defer cancel()
	request := m.request
	request.ID.Call = int(r.requestSerial.Add(1))
	a, e, err := r.submit(submitCtx, &request)
	if err != nil {
		return nil // no place in time; the timer asks again
	}
	p := &placement{a, e, m.current.service}
	if err := r.pool.Open(ctx, e.Address, trialDialTimeout); err != nil {
		// The server does not take over, and the silent one may go on.
		r.logger.Info("stream not moved", zap.String("request", r.call.ID), zap.String("server", a.Server), zap.Error(err))
		r.queue.Finished(a.ID, a.Server, schedule.Usage{}, schedule.Unreachable)
		return nil
	}
	return p
}

func (m *streamMover) release(p *placement) { m.execution.release(p) }
