package replica

import "sync"

// queue passes items between goroutines without ever blocking the sender.
type queue[T any] struct {
	mu    sync.Mutex
	items []T
	ready chan struct{}
}

func newQueue[T any]() *queue[T] { return &queue[T]{ready: make(chan struct{}, 1)} }

// put adds an item and returns how many are queued.
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

// takeAll returns all items. ready is signalled when there may be some.
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
