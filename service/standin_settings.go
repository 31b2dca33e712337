package service

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/standin"
)

// StandInSettings are the settings of a stand-in service.
type StandInSettings struct {
	standin.Settings
	// Service is the name that callers use for the service.
	Service string `json:"service"`
	// Operations are the names of the offered operations, out of
	// StandInOperations; empty means all of them.
	Operations []string `json:"operations,omitempty"`
	// Slots is the number of calls that run concurrently; further calls are
	// rejected.
	Slots int `json:"slots"`
	// OperationMicroseconds is the processing time of a call.
	OperationMicroseconds int64 `json:"operation-microseconds"`
}

// StandInOperations returns the operations that a stand-in service can offer.
func StandInOperations() []membership.Operation {
	return []membership.Operation{
		{Name: "measure", Idempotent: true},
		{Name: "scale-pattern", Idempotent: true},
		{Name: "find-stylus", Idempotent: true},
		{Name: "cut-order"},
		{Name: "charge"},
		{Name: "hold-reservation"},
		{Name: "credit-refund"},
	}
}

// Check returns an error with the name of the first invalid field, its value
// and the allowed values.
func (s StandInSettings) Check() error {
	if err := s.Settings.Check(); err != nil {
		return err
	}
	if s.Service == "" {
		return fmt.Errorf("field \"service\": empty: want a name")
	}
	for _, name := range s.Operations {
		if !slices.ContainsFunc(StandInOperations(), func(o membership.Operation) bool { return o.Name == name }) {
			return fmt.Errorf("field \"operations\": %q: want one of %s", name, operationNames())
		}
	}
	return standin.CheckRanges([]standin.Range{
		{Field: "slots", Value: int64(s.Slots), Min: 1, Max: 100_000},
		{Field: "operation-microseconds", Value: s.OperationMicroseconds, Min: 0, Max: 3_600_000_000},
	})
}

func operationNames() string {
	var names []string
	for _, o := range StandInOperations() {
		names = append(names, o.Name)
	}
	return strings.Join(names, ", ")
}

func (s StandInSettings) operations() []membership.Operation {
	all := StandInOperations()
	if len(s.Operations) == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(o membership.Operation) bool { return !slices.Contains(s.Operations, o.Name) })
}

func (s StandInSettings) operationTime() time.Duration {
	return time.Duration(s.OperationMicroseconds) * time.Microsecond
}
