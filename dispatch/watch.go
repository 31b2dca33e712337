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
	// minPollInterval is the minimum time between two polls of one engine.
	minPollInterval = 500 * time.Millisecond
	// maxPollsPerSecond limits the polls of all engines together, to keep an entry
	// host within its share of control traffic.
	maxPollsPerSecond = 40
)

// StartWatcher starts a watcher of the engine at an address, which polls its
// load reports and cache events at the given interval.
type StartWatcher func(address string, interval time.Duration, r engine.WatcherCallbacks) Watcher

// Watcher is a running watcher of one engine. Close stops it and waits for it.
type Watcher interface{ Close() }

// Watchers runs a watcher for each engine on the board and passes the engines'
// reports to the scheduler.
type Watchers struct {
	board *board.Board
	queue *Queue
	watch StartWatcher

	wakeup chan struct{}
	stop   chan struct{}
	wg     sync.WaitGroup
}

// runningWatcher is the watcher of one engine incarnation.
type runningWatcher struct {
	incarnation string
	watcher     Watcher
}

// NewWatchers returns running watchers. It must be called before the first write
// to the board.
func NewWatchers(b *board.Board, q *Queue, watch StartWatcher) *Watchers {
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

// Close stops all watchers and waits for them.
func (w *Watchers) Close() {
	close(w.stop)
	w.wg.Wait()
}

// run starts and stops watchers as the board's engines change.
func (w *Watchers) run() {
	running := make(map[string]runningWatcher)
	defer func() {
		for _, r := range running {
			r.watcher.Close()
		}
	}()
	for {
		select {
		case <-w.stop:
			return
		case <-w.wakeup:
			w.sync(running)
		}
	}
}

// sync stops the watchers of engines that have left or restarted, and starts one
// for each engine without a watcher. A running watcher keeps its interval when
// engines join, so all polls together may exceed maxPollsPerSecond.
func (w *Watchers) sync(running map[string]runningWatcher) {
	engines := make(map[string]membership.Server)
	for _, v := range w.board.Servers() {
		if v.Kind == membership.Engine {
			engines[v.Server] = v
		}
	}
	for id, r := range running {
		if engines[id].Incarnation != r.incarnation {
			r.watcher.Close()
			delete(running, id)
		}
	}
	interval := max(minPollInterval, time.Duration(len(engines))*time.Second/maxPollsPerSecond)
	for id, v := range engines {
		if _, ok := running[id]; !ok {
			running[id] = runningWatcher{v.Incarnation, w.watch(v.Address, interval, w.reports(id))}
		}
	}
}

// reports returns the callbacks that pass a server's reports to the scheduler.
func (w *Watchers) reports(server string) engine.WatcherCallbacks {
	return engine.WatcherCallbacks{
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
