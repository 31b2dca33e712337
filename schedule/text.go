package schedule

import "fmt"

var (
	classNames           = []string{"interactive", "standard", "batch"}
	placementStateNames  = []string{"serving", "loading", "draining"}
	placementActionNames = []string{"load-model", "drain-model", "unload-model", "load-adapter", "unload-adapter"}
	outcomeNames         = []string{
		"succeeded", "crashed", "failed-unsent", "rejected", "timed-out", "caller-cancelled", "superseded", "unreachable",
	}
)

func name(names []string, i uint8) string {
	if int(i) >= len(names) {
		return fmt.Sprint("unknown-", i)
	}
	return names[i]
}

// String implements fmt.Stringer.
func (c Class) String() string { return name(classNames, uint8(c)) }

// MarshalText implements encoding.TextMarshaler.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// String implements fmt.Stringer.
func (o Outcome) String() string { return name(outcomeNames, uint8(o)) }

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// String implements fmt.Stringer.
func (p PlacementState) String() string { return name(placementStateNames, uint8(p)) }

// MarshalText implements encoding.TextMarshaler.
func (p PlacementState) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// String implements fmt.Stringer.
func (a PlacementAction) String() string { return name(placementActionNames, uint8(a)) }

// MarshalText implements encoding.TextMarshaler.
func (a PlacementAction) MarshalText() ([]byte, error) { return []byte(a.String()), nil }
