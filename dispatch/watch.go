package dispatch

import (
	"math"
	"sync"
	"time"

	"github.com/sycamoreline/sycamoreline/board"
	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/schedule"
)

const (
	// minPollInterval is the time between two reads of one engine's reports.
	minPollInterval = 500 * time.Millisecond
	// maxPollsPerSecond keeps the reports of many engines inside an entry
	// host's share of control traffic.
	maxPollsPerSecond = 40
)

// Watch starts a reader of an engine's load reports and cache events.
type Watch func(address string, every time.Duration, r engine.Reports) Watcher

// Watcher is a running reader; Close waits for it.
type Watcher interface{ Close() }

// Watchers read the reports of all engines on the board and pass them to the
// scheduler.
type Watchers struct {
	board *board.Board
	queue *Queue
	watch Watch

	wakeup chan struct{}
	stop chan struct{}
	wg sync.WaitGroup
}

type runningWatcher struct {
	incarnation string
	watcher     Watcher
}

// NewWatchers starts reading. It must be called before the first write to the
// board.
func NewWatchers(b *board.Board, q *Queue, watch Watch) *Watchers {
	w := &Watchers{board: b, queue: q, watch: watch, wakeup: make(chan struct{}, 1), stop: make(chan struct{})}
	b.Subscribe(func(e board.Event) {
		if e != board.ServersChanged {
			return
		}
		select {
		case w.wakeup <- struct{}{}:
		default:
		}
	})
	w.wg.Go(w.run)
	return w
}

// Close stops all readers and waits.
func (w *Watchers) Close() {
	close(w.stop)
	w.wg.Wait()
}

// run owns the readers.
func (w *Watchers) run() {
	readers := make(map[string]runningWatcher)
	defer func() {
		for _, r := range readers {
			r.watcher.Close()
		}
	}()
	for {
		select {
		case <-w.stop:
			return
		case <-w.wakeup:
			w.sync(readers)
		}
	}
}

func (w *Watchers) sync(readers map[string]runningWatcher) {
	engines := make(map[string]membership.Server)
	for _, v := range w.board.Servers() {
		if v.Kind == membership.Engine {
			engines[v.Server] = v
		}
	}
	for id, r := range readers {
		if engines[id].Incarnation != r.incarnation {
			r.watcher.Close()
			delete(readers, id)
		}
	}
	every := max(minPollInterval, time.Duration(len(engines))*time.Second/maxPollsPerSecond)
	for id, v := range engines {
		if _, ok := readers[id]; !ok {
			readers[id] = runningWatcher{v.Incarnation, w.watch(v.Address, every, w.reports(id))}
		}
	}
}

// reports passes what an engine says to the scheduler.
func (w *Watchers) reports(server string) engine.Reports {
	return engine.Reports{
		Load: func(l engine.Load) {
			w.queue.Do(func(now time.Duration, s *schedule.Scheduler) {
				s.Report(now, server, schedule.Load{Running: l.Running, Queued: l.Queued, CacheTokens: l.CacheTokens})
			})
		},
		Event: func(e engine.CacheEvent) {
			w.queue.Do(func(now time.Duration, s *schedule.Scheduler) {
				if e.Tokens > 0 {
					s.CacheStored(now, server, e.Program, int(e.Tokens))
					return
				}
				s.CacheEvicted(now, server, e.Program, math.MaxInt)
			})
		},
	}
}
