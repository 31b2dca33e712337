package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/sycamoreline/sycamoreline/schedule"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// maxWakeInterval is the maximum time between two runs of the scheduler.
const maxWakeInterval = 250 * time.Millisecond

// Clock returns the time since the process started.
type Clock func() time.Duration

// Queue drives a scheduler: it runs the scheduler on each event and at the times
// that the scheduler requests, and delivers the decisions to the waiting calls.
// It is safe for concurrent use.
type Queue struct {
	clock Clock

	mu        sync.Mutex
	scheduler *schedule.Scheduler
	waiting   map[schedule.CallID]chan decision
	hedges    map[schedule.CallID]chan schedule.Assignment // hedge assignments of the calls that accept one

	wakeup chan struct{}
	stop   chan struct{}
	done   chan struct{}
}

// decision is the scheduler's decision on a queued call.
type decision struct {
	assignment schedule.Assignment
	refused    *schedule.Refused // nil if the call was assigned
}

// NewQueue returns a running queue. The caller must Close it.
func NewQueue(s *schedule.Scheduler, clock Clock) *Queue {
	q := &Queue{
		clock:     clock,
		scheduler: s,
		waiting:   make(map[schedule.CallID]chan decision),
		hedges:    make(map[schedule.CallID]chan schedule.Assignment),
		wakeup:    make(chan struct{}, 1),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
	}
	go q.run()
	return q
}

// Close stops the queue and waits for its goroutine. It delivers nothing to
// calls that still wait in Submit, which return when their contexts end.
func (q *Queue) Close() {
	close(q.stop)
	<-q.done
}

func (q *Queue) run() {
	defer close(q.done)
	timer := time.NewTimer(maxWakeInterval)
	defer timer.Stop()
	for {
		select {
		case <-q.stop:
			return
		case <-q.wakeup:
		case <-timer.C:
		}
		var wait time.Duration
		q.Do(func(now time.Duration, s *schedule.Scheduler) { wait = s.Wake(now) - now })
		timer.Reset(min(max(wait, time.Millisecond), maxWakeInterval))
	}
}

// Do calls f with the scheduler locked, and then delivers the scheduler's
// decisions.
func (q *Queue) Do(f func(now time.Duration, s *schedule.Scheduler)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	f(now, q.scheduler)
	for {
		a, ok := q.scheduler.Next(now)
		if !ok {
			break
		}
		q.deliver(a.ID, decision{assignment: a})
	}
	for _, r := range q.scheduler.Refused(now) {
		q.deliver(r.ID, decision{refused: &r})
	}
}

// hedgeAssignments returns the channel on which the assignment of a running
// call's hedge is delivered.
func (q *Queue) hedgeAssignments(id schedule.CallID) <-chan schedule.Assignment {
	q.mu.Lock()
	defer q.mu.Unlock()
	ch := make(chan schedule.Assignment, 1)
	q.hedges[id] = ch
	return ch
}

// closeHedges stops the delivery of hedge assignments to a call. An assignment
// that was delivered but not used is reported to the scheduler as cancelled.
func (q *Queue) closeHedges(id schedule.CallID) {
	q.Do(func(now time.Duration, s *schedule.Scheduler) {
		ch := q.hedges[id]
		delete(q.hedges, id)
		select {
		case a := <-ch:
			s.Finished(now, id, a.Server, schedule.Usage{}, schedule.CallerCancelled)
		default:
		}
	})
}

func (q *Queue) deliver(id schedule.CallID, d decision) {
	if d.assignment.Hedge {
		select {
		case q.hedges[id] <- d.assignment:
		default:
			q.scheduler.Finished(q.clock(), id, d.assignment.Server, schedule.Usage{}, schedule.CallerCancelled)
		}
		return
	}
	ch, ok := q.waiting[id]
	if !ok {
		if d.refused == nil {
			q.scheduler.Finished(q.clock(), id, d.assignment.Server, schedule.Usage{}, schedule.FailedUnsent)
		}
		return
	}
	delete(q.waiting, id)
	ch <- d
}

// Submit queues a call and waits for the assignment of a backend server. If it
// returns an assignment, the caller must report the end of the run with Finished.
func (q *Queue) Submit(ctx context.Context, r schedule.Request) (schedule.Assignment, error) {
	ch := make(chan decision, 1)
	q.Do(func(now time.Duration, s *schedule.Scheduler) {
		q.waiting[r.ID] = ch
		s.Enqueue(now, r)
	})
	select {
	case q.wakeup <- struct{}{}:
	default:
	}
	select {
	case d := <-ch:
		return unwrapDecision(d)
	case <-ctx.Done():
	}
	q.Do(func(now time.Duration, s *schedule.Scheduler) {
		if _, ok := q.waiting[r.ID]; ok {
			delete(q.waiting, r.ID)
			s.Cancel(now, r.ID)
			return
		}
		if d := <-ch; d.refused == nil {
			s.Finished(now, r.ID, d.assignment.Server, schedule.Usage{}, schedule.FailedUnsent)
		}
	})
	return schedule.Assignment{}, ctx.Err()
}

// unwrapDecision returns the assignment, or the error for a rejected call.
func unwrapDecision(d decision) (schedule.Assignment, error) {
	if r := d.refused; r != nil {
		return schedule.Assignment{}, verdict.New(verdict.NotRun, verdict.Reason(r.Reason),
			"the scheduler rejected the call", verdict.WithRetryAfter(r.RetryAfter))
	}
	return d.assignment, nil
}

// FirstToken reports the first token of a run.
func (q *Queue) FirstToken(id schedule.CallID, server string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.FirstToken(q.clock(), id, server)
}

// Tokens reports further tokens of a run.
func (q *Queue) Tokens(id schedule.CallID, server string, n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.Tokens(q.clock(), id, server, n)
}

// Finished reports the end of a run.
func (q *Queue) Finished(id schedule.CallID, server string, u schedule.Usage, o schedule.Outcome) {
	q.Do(func(now time.Duration, s *schedule.Scheduler) { s.Finished(now, id, server, u, o) })
}

// MayRetry takes one retry from the retry budgets of the team and of this host.
// It returns false if either is exhausted.
func (q *Queue) MayRetry(team string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.MayRetry(q.clock(), team)
}

// Admit asks the scheduler to admit a program. If the scheduler has not decided,
// the caller must call Admit again after Admission.Wait.
func (q *Queue) Admit(p schedule.Program) schedule.Admission {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.AdmitProgram(q.clock(), p)
}

// EndProgram removes a program from the scheduler.
func (q *Queue) EndProgram(program string) {
	q.Do(func(now time.Duration, s *schedule.Scheduler) { s.EndProgram(now, program) })
}

// Snapshot returns the scheduler's state, for status pages.
func (q *Queue) Snapshot() schedule.Snapshot {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.Snapshot()
}
