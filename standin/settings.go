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
	// Incarnation is random when empty.
	Incarnation string `json:"incarnation,omitempty"`
	DataCentre  string `json:"data-centre"`
	// Listen is the address (host:port) to listen on.
	Listen string `json:"listen"`
	// Address is the address to announce; the listen address when empty.
	Address string `json:"address,omitempty"`
	// EntryHosts are the addresses (host:port) that get announcements.
	EntryHosts []string `json:"entry-hosts"`
	// RenewalMilliseconds is the time between announcements.
	RenewalMilliseconds int64 `json:"renewal-milliseconds"`
	// FaultSwitches serves FaultsPath.
	FaultSwitches bool   `json:"fault-switches,omitempty"`
	Faults        Faults `json:"faults,omitzero"`
}

// Check returns an error that names the field, its value and what is allowed.
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

// Renewal is the time between announcements.
func (s Settings) Renewal() time.Duration {
	return time.Duration(s.RenewalMilliseconds) * time.Millisecond
}

// AnnouncedAddress is Address, or Listen when that is empty.
func (s Settings) AnnouncedAddress() string {
	if s.Address != "" {
		return s.Address
	}
	return s.Listen
}

// NewIncarnation returns a random incarnation.
func NewIncarnation() string { return rand.Text() }

// Range is a numeric field with its bounds, both allowed.
type Range struct {
	Field           string
	Value, Min, Max int64
}

// CheckRanges returns an error for the first field out of its bounds.
func CheckRanges(ranges []Range) error {
	for _, r := range ranges {
		if r.Value < r.Min || r.Value > r.Max {
			return fmt.Errorf("field %q: %d: want %d to %d", r.Field, r.Value, r.Min, r.Max)
		}
	}
	return nil
}
