// Package balancer is what an entry host shows the platform's load balancer:
// a health endpoint, and a shutdown that interrupts no request.
package balancer

// Phase is how far a host is on its way out. A host passes through all phases
// in order.
type Phase int8

// The phases.
const (
	// Serving takes all requests.
	Serving Phase = iota
	// Leaving reports itself unhealthy but takes all requests, since the load
	// balancer has not noticed yet.
	Leaving
	// Refusing takes requests of open programs only, until none is running.
	Refusing
	// HandingOver takes nothing and passes on what it holds.
	HandingOver
	// Stopped is done.
	Stopped
)

var phaseTexts = []string{"serving", "leaving", "refusing", "handing-over", "stopped"}

// String returns the text form.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseTexts) {
		return "unknown"
	}
	return phaseTexts[p]
}

// MarshalText writes the text form.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }
