package balancer

import "time"

// Action is an action that the driver of a Drain must perform after an event.
type Action int8

// The actions.
const (
	// StartTimer calls Tick after the drain's delay.
	StartTimer Action = iota
	// CancelRequests cancels the running requests. Each still returns an answer
	// with the correct verdict.
	CancelRequests
	// HandOver hands over the host's state and then calls HandedOver.
	HandOver
	// Exit allows the process to exit.
	Exit
)

// Drain is the deterministic state machine of a host's shutdown. It has no
// clock and performs no actions: its caller passes in the time and performs the
// actions that each event returns. It is not safe for concurrent use.
type Drain struct {
	delay    time.Duration // duration of the phase Leaving
	phase    Phase
	forced   bool      // a second signal was received
	refuseAt time.Time // end of the phase Leaving
	running  int       // requests in progress
}

// NewDrain returns a drain in the phase Serving. The delay is the time until the
// load balancer no longer sends requests to an unhealthy host.
func NewDrain(delay time.Duration) *Drain { return &Drain{delay: delay} }

// Phase returns the current phase.
func (d *Drain) Phase() Phase { return d.phase }

// Running returns the number of requests in progress.
func (d *Drain) Running() int { return d.running }

// BeginRequest registers a request. It returns false if the request must be
// rejected.
func (d *Drain) BeginRequest(newProgram bool) bool {
	if d.phase >= HandingOver || d.forced || d.phase == Refusing && newProgram {
		return false
	}
	d.running++
	return true
}

// EndRequest removes a request that BeginRequest has registered.
func (d *Drain) EndRequest() []Action {
	d.running--
	return d.proceed()
}

// Signal starts the shutdown. A second signal skips the delay, cancels the
// running requests and makes BeginRequest reject all new ones.
func (d *Drain) Signal(now time.Time) []Action {
	switch {
	case d.phase == Serving:
		d.phase, d.refuseAt = Leaving, now.Add(d.delay)
		return []Action{StartTimer}
	case d.forced || d.phase >= HandingOver:
		return nil
	}
	d.forced, d.phase = true, Refusing
	return append([]Action{CancelRequests}, d.proceed()...)
}

// Tick ends the phase Leaving if its delay has passed.
func (d *Drain) Tick(now time.Time) []Action {
	if d.phase != Leaving || now.Before(d.refuseAt) {
		return nil
	}
	d.phase = Refusing
	return d.proceed()
}

// HandedOver handles the completion of the action HandOver.
func (d *Drain) HandedOver() []Action {
	if d.phase != HandingOver {
		return nil
	}
	d.phase = Stopped
	return []Action{Exit}
}

// proceed starts the hand-over once the last request has ended.
func (d *Drain) proceed() []Action {
	if d.phase != Refusing || d.running > 0 {
		return nil
	}
	d.phase = HandingOver
	return []Action{HandOver}
}
