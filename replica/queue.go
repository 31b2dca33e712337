package replica

import "sync"

// queue is an unbounded queue between goroutines. Senders never block.
type queue[T any] struct {
	mu    sync.Mutex
	items []T
	ready chan struct{}
}

func newQueue[T any]() *queue[T] { return &queue[T]{ready: make(chan struct{}, 1)} }

// put adds an item and returns the length of the queue.
func (q *queue[T]) put(x T) int {
	q.mu.Lock()
	q.items = append(q.items, x)
	n := len(q.items)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return n
}

// takeAll removes and returns all items. The ready channel signals that there
// may be some.
func (q *queue[T]) takeAll() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items
}

func (q *queue[T]) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}
