// Package balancer implements an entry host's health endpoint for the load
// balancer in front of it, and a graceful shutdown that interrupts requests
// only after a second signal. It doesn't balance load itself. Start reading at
// Gate, which performs the actions of Drain, the state machine of the shutdown.
package balancer

// Phase is the phase of a host's shutdown. A host passes through all phases in
// order.
type Phase int8

// The phases.
const (
	// Serving accepts all requests.
	Serving Phase = iota
	// Leaving fails health checks but accepts all requests, since the load balancer
	// sends them until it treats the host as unhealthy.
	Leaving
	// Refusing rejects requests for new programs and accepts those of open ones,
	// until no request is running. After a second signal, it rejects all requests.
	Refusing
	// HandingOver accepts no requests and hands over the host's state.
	HandingOver
	// Stopped means that the hand-over is complete and the process may exit.
	Stopped
)

var phaseTexts = []string{"serving", "leaving", "refusing", "handing-over", "stopped"}

// String returns the name of the phase.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseTexts) {
		return "unknown"
	}
	return phaseTexts[p]
}

// MarshalText encodes the phase as its name.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }
