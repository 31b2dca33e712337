package standin

import (
	"crypto/rand"
	"fmt"
	"net"
	"time"
)

// Settings are the settings that all stand-ins share.
type Settings struct {
	// Server is the name of the backend server.
	Server string `json:"server"`
	// Incarnation is the incarnation id of the server; random if empty.
	Incarnation string `json:"incarnation,omitempty"`
	DataCentre  string `json:"data-centre"`
	// Listen is the address (host:port) to listen on.
	Listen string `json:"listen"`
	// Address is the address to announce. If it is empty, Start announces the
	// address of its listener, and AnnouncedAddress returns Listen.
	Address string `json:"address,omitempty"`
	// EntryHosts are the addresses (host:port) of the entry hosts that the
	// server announces itself to.
	EntryHosts []string `json:"entry-hosts"`
	// RenewalMilliseconds is the time between announcements.
	RenewalMilliseconds int64 `json:"renewal-milliseconds"`
	// FaultSwitches enables the endpoint at FaultsPath.
	FaultSwitches bool   `json:"fault-switches,omitempty"`
	Faults        Faults `json:"faults,omitzero"`
}

// Check returns an error with the name of the first invalid field, its value
// and the allowed values. The error for an invalid address names all address
// fields.
func (s Settings) Check() error {
	if s.Server == "" {
		return fmt.Errorf("field \"server\": empty: want a name")
	}
	if s.DataCentre == "" {
		return fmt.Errorf("field \"data-centre\": empty: want a name")
	}
	addresses := append([]string{s.Listen}, s.EntryHosts...)
	if s.Address != "" {
		addresses = append(addresses, s.Address)
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return fmt.Errorf("fields \"listen\", \"address\" and \"entry-hosts\": %q: want host:port", a)
		}
	}
	if err := s.Faults.Check(); err != nil {
		return fmt.Errorf("field \"faults\": %w", err)
	}
	return CheckRanges([]Range{{Field: "renewal-milliseconds", Value: s.RenewalMilliseconds, Min: 1, Max: 3_600_000}})
}

// Renewal returns the time between announcements.
func (s Settings) Renewal() time.Duration {
	return time.Duration(s.RenewalMilliseconds) * time.Millisecond
}

// AnnouncedAddress returns Address, or Listen if Address is empty.
func (s Settings) AnnouncedAddress() string {
	if s.Address != "" {
		return s.Address
	}
	return s.Listen
}

// NewIncarnation returns a random incarnation id.
func NewIncarnation() string { return rand.Text() }

// Range is the value of a numeric field with its inclusive bounds.
type Range struct {
	Field           string
	Value, Min, Max int64
}

// CheckRanges returns an error for the first field outside of its bounds.
func CheckRanges(ranges []Range) error {
	for _, r := range ranges {
		if r.Value < r.Min || r.Value > r.Max {
			return fmt.Errorf("field %q: %d: want %d to %d", r.Field, r.Value, r.Min, r.Max)
		}
	}
	return nil
}
