package membership

import (
	"errors"
	"fmt"
)

const (
	maxIDBytes    = 512
	maxListLength = 4_096 // elements of one list in a command
	// maxUnixMillis is low enough that adding durations does not overflow.
	maxUnixMillis = int64(1) << 52
)

// check validates a command independently of the state.
func (c *Command) check() error {
	set := 0
	var err error
	checkPart := func(present bool, check func() error) {
		if present {
			set++
			err = errors.Join(err, check())
		}
	}
	checkPart(c.Join != nil, func() error { return c.Join.check() })
	checkPart(c.Announce != nil, func() error { return c.Announce.check() })
	checkPart(c.Expire != nil, func() error { return checkCount("members", len(c.Expire.Members)) })
	checkPart(c.Acquire != nil, func() error { return c.Acquire.check() })
	checkPart(c.Yield != nil, func() error { return checkID("resource", c.Yield.Resource) })
	checkPart(c.ReportCrash != nil, func() error { return c.ReportCrash.check() })
	if set != 1 {
		return fmt.Errorf("command has %d parts: want exactly one", set)
	}
	return err
}

func (c *Join) check() error {
	return errors.Join(checkID("host", c.Host), checkID("incarnation", c.Incarnation),
		checkID("address", c.Address), checkID("data-centre", c.DataCentre))
}

// check also sets empty lists to nil, so that an announcement equals its copy
// that was restored from a snapshot.
func (a *Announcement) check() error {
	if len(a.Models) == 0 {
		a.Models = nil
	}
	if len(a.Operations) == 0 {
		a.Operations = nil
	}
	for i := range a.Models {
		if len(a.Models[i].Adapters) == 0 {
			a.Models[i].Adapters = nil
		}
	}
	err := errors.Join(checkID("server", a.Server), checkID("incarnation", a.Incarnation),
		checkID("address", a.Address), checkID("data-centre", a.DataCentre),
		checkCount("models", len(a.Models)), checkCount("operations", len(a.Operations)))
	if a.Kind != Engine && a.Kind != Service {
		err = errors.Join(err, fmt.Errorf("kind %q: want %q or %q", a.Kind, Engine, Service))
	}
	if a.Slots < 0 {
		err = errors.Join(err, fmt.Errorf("slots %d: want 0 or more", a.Slots))
	}
	if a.CacheTokens < 0 {
		err = errors.Join(err, fmt.Errorf("cache-tokens %d: want 0 or more", a.CacheTokens))
	}
	return err
}

func (c *Acquire) check() error {
	return errors.Join(checkID("resource", c.Resource), checkID("host", c.Host),
		checkID("host-incarnation", c.HostIncarnation))
}

func (c *ReportCrash) check() error {
	err := errors.Join(checkID("server", c.Server), checkID("server-incarnation", c.ServerIncarnation),
		checkCount("fingerprints", len(c.Fingerprints)))
	for _, f := range c.Fingerprints {
		err = errors.Join(err, checkID("fingerprint", f))
	}
	return err
}

func checkID(field, value string) error {
	if value == "" || len(value) > maxIDBytes {
		return fmt.Errorf("%s: %d bytes, want 1 to %d", field, len(value), maxIDBytes)
	}
	return nil
}

func checkCount(field string, count int) error {
	if count > maxListLength {
		return fmt.Errorf("%s: %d, want at most %d", field, count, maxListLength)
	}
	return nil
}
