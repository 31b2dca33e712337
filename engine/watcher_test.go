package engine

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against lost cache events without a reported gap, and against events
// reported twice or out of order, for any sequence of pages.
func TestWatcherReportsEveryEventOrGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reported int64 // last sequence number reported as event or gap
		w := &Watcher{next: 1, callbacks: WatcherCallbacks{
			Event: func(e CacheEvent) {
				assert.Equal(t, e.Sequence, reported+1)
				reported = e.Sequence
			},
			Gap: func(first, last int64) {
				assert.Equal(t, first, reported+1)
				assert.Assert(t, last >= first)
				reported = last
			},
			Restarted: func(string) { reported = 0 },
		}.withDefaults()}
		for range rapid.IntRange(1, 20).Draw(t, "pages") {
			from := rapid.Int64Range(max(1, w.next-3), w.next+3).Draw(t, "from")
			page := CacheEvents{Incarnation: rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "incarnation")}
			for range rapid.IntRange(0, 5).Draw(t, "events") {
				page.Events = append(page.Events, CacheEvent{Sequence: from})
				from += rapid.Int64Range(1, 3).Draw(t, "step")
			}
			w.handlePage(page)
			assert.Equal(t, w.next, reported+1)
		}
	})
}

// Guards against a watcher that stops after a failed poll or a restart of the
// engine.
func TestWatcherFollowsAnEngine(t *testing.T) {
	e := newStandIn(t, testSettings())
	address, c := serve(t, e)
	loads, events, restarts, failures := make(chan Load), make(chan CacheEvent, 10), make(chan string, 1), make(chan error)
	done := make(chan struct{})
	w := NewWatcher(c, address, time.Millisecond, WatcherCallbacks{
		Load: func(l Load) {
			select {
			case loads <- l:
			case <-done:
			}
		},
		Event:     func(e CacheEvent) { events <- e },
		Restarted: func(id string) { restarts <- id },
		Failed: func(err error) {
			select {
			case failures <- err:
			case <-done:
			}
		},
	})
	assert.Equal(t, (<-loads).Slots, 4)
	_, err := c.Stream(t.Context(), address, testCall(), ignoreToken)
	assert.NilError(t, err)
	for len(events) == 0 {
		<-loads
	}
	assert.Equal(t, (<-events).Program, "p-1")
	e.Faults().Crash()
	for len(restarts) == 0 {
		select {
		case <-loads:
		case err := <-failures:
			assert.ErrorContains(t, err, "server "+address)
		}
	}
	assert.Equal(t, <-restarts, e.Announcement().Incarnation)
	close(done)
	w.Close()
}

// Guards against failed polls that are not reported.
func TestWatcherReportsFailures(t *testing.T) {
	address, c := serve(t, http.NotFoundHandler())
	failures := make(chan error, 1)
	w := NewWatcher(c, address, time.Hour, WatcherCallbacks{Failed: func(err error) { failures <- err }})
	assert.ErrorContains(t, <-failures, "status 404")
	w.Close()
}
