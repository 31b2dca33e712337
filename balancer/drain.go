package balancer

import "time"

// Action is what the driver is to do after an event.
type Action int8

// The actions.
const (
	// StartTimer asks for a Tick after the drain's delay.
	StartTimer Action = iota
	// CancelRequests ends running requests. Each is still answered with its
	// true verdict.
	CancelRequests
	// HandOver passes on what the host holds, then reports HandedOver.
	HandOver
	// Exit lets the process end.
	Exit
)

// Drain decides how a host stops. It has no clock and starts nothing itself:
// the time comes with each event, and what to do is returned. It is not safe
// for concurrent use.
type Drain struct {
	delay   time.Duration // for the load balancer to notice
	phase   Phase
	forced   bool
	refuseAt   time.Time // end of the phase Leaving
	running int
}

// NewDrain returns a drain in the phase Serving. The delay is the time that
// the load balancer takes to send no more requests to an unhealthy host.
func NewDrain(delay time.Duration) *Drain { return &Drain{delay: delay} }

// Phase returns the current phase.
func (d *Drain) Phase() Phase { return d.phase }

// Running returns the number of requests that have entered and not left.
func (d *Drain) Running() int { return d.running }

// BeginRequest counts a request in, or returns false if it must be refused.
func (d *Drain) BeginRequest(newProgram bool) bool {
	if d.phase >= HandingOver || d.forced || d.phase == Refusing && newProgram {
		return false
	}
	d.running++
	return true
}

// EndRequest counts a request out.
func (d *Drain) EndRequest() []Action {
	d.running--
	return d.proceed()
}

// Signal asks the host to stop. A second signal waits neither for the load
// balancer nor for running requests to finish.
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

// Tick tells the time.
func (d *Drain) Tick(now time.Time) []Action {
	if d.phase != Leaving || now.Before(d.refuseAt) {
		return nil
	}
	d.phase = Refusing
	return d.proceed()
}

// HandedOver reports that the action HandOver is done.
func (d *Drain) HandedOver() []Action {
	if d.phase != HandingOver {
		return nil
	}
	d.phase = Stopped
	return []Action{Exit}
}

func (d *Drain) proceed() []Action {
	if d.phase != Refusing || d.running > 0 {
		return nil
	}
	d.phase = HandingOver
	return []Action{HandOver}
}
