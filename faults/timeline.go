package faults

import (
	"container/heap"
	"time"
)

// Timeline runs events in the order of their times, for replays in virtual time.
// Events of the same time run in the order of their addition. It is not safe for
// concurrent use.
type Timeline struct {
	events timelineEvents
	serial int
}

type timelineEvent struct {
	at     time.Duration
	serial int
	do     func(now time.Duration)
}

// At adds an event.
func (t *Timeline) At(at time.Duration, do func(now time.Duration)) {
	t.serial++
	heap.Push(&t.events, timelineEvent{at, t.serial, do})
}

// Run runs the events before a time, including those that they add.
func (t *Timeline) Run(until time.Duration) {
	for len(t.events) > 0 && t.events[0].at < until {
		e := heap.Pop(&t.events).(timelineEvent)
		e.do(e.at)
	}
}

type timelineEvents []timelineEvent

func (e timelineEvents) Len() int { return len(e) }

func (e timelineEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].serial < e[j].serial
}

func (e timelineEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *timelineEvents) Push(x any) { *e = append(*e, x.(timelineEvent)) }

// Pop implements heap.Interface.
func (e *timelineEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
