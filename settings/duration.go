package settings

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as a string such as "1500ms".
type Duration time.Duration

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Or returns the value, or def if it is zero.
func (d Duration) Or(def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return time.Duration(d)
}

// String returns the form that UnmarshalText reads.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText writes the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses durations such as "1500ms", "2s" and "1h30m". It rejects
// negative values.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return fmt.Errorf(`want a duration of 0 or more, such as "1500ms" or "2s"`)
	}
	*d = Duration(v)
	return nil
}
