package engine

import (
	"container/heap"
	"context"
	"sync"
)

// slots limits the calls that run concurrently, as an engine with continuous
// batching does: when one ends, the waiting call with the smallest priority
// value starts.
type slots struct {
	mu          sync.Mutex
	size        int
	running     int
	nextArrival int
	queue       waitQueue
}

type waiter struct {
	priority int
	arrival  int
	index    int // position in the queue; -1 if removed
	ready    chan struct{}
}

func newSlots(size int) *slots { return &slots{size: size} }

// acquire waits for a slot or the end of ctx. Calls with smaller priority
// values are served first, and equal ones in order of arrival.
func (s *slots) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.running < s.size {
		s.running++
		s.mu.Unlock()
		return nil
	}
	w := &waiter{priority: priority, arrival: s.nextArrival, ready: make(chan struct{})}
	s.nextArrival++
	heap.Push(&s.queue, w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		s.abandon(w)
		return ctx.Err()
	}
}

// abandon removes a waiter from the queue. If it has received a slot in the
// meantime, abandon releases the slot.
func (s *slots) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&s.queue, w.index)
		return
	}
	s.releaseLocked()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

// releaseLocked passes a slot on to the first waiting call, or frees it. The
// caller holds s.mu.
func (s *slots) releaseLocked() {
	if s.queue.Len() == 0 {
		s.running--
		return
	}
	w := heap.Pop(&s.queue).(*waiter)
	close(w.ready)
}

func (s *slots) counts() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, s.queue.Len()
}

type waitQueue []*waiter

func (q waitQueue) Len() int { return len(q) }

func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}
