package engine

import (
	"container/heap"
	"context"
	"sync"
)

// slots is the batch of a stand-in engine: calls enter it by priority, at any
// time, and leave it when they end.
type slots struct {
	mu        sync.Mutex
	size      int
	running   int
	nextOrder int
	queue     waitQueue
}

type waiter struct {
	priority int
	order    int
	index    int // position in the queue, or -1
	ready    chan struct{}
}

func newSlots(size int) *slots { return &slots{size: size} }

// acquire waits for a slot. Smaller priorities are served first, and equal
// ones in order of arrival.
func (s *slots) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.running < s.size {
		s.running++
		s.mu.Unlock()
		return nil
	}
	w := &waiter{priority: priority, order: s.nextOrder, ready: make(chan struct{})}
	s.nextOrder++
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

// releaseLocked gives the slot of a call to the next one, or frees it.
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
	return q[i].order < q[j].order
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
