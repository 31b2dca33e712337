package ledger

import (
	"errors"
	"fmt"
)

const (
	// MaxIDBytes is the maximum length of ids and versions.
	MaxIDBytes = 512
	// maxUnixMillis and maxAmount are low enough that sums of a few values do
	// not overflow.
	maxUnixMillis = int64(1) << 52
	maxAmount     = int64(1) << 52
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
	checkPart(c.OpenProgram != nil, func() error { return c.OpenProgram.check() })
	checkPart(c.OpenCall != nil, func() error { return c.OpenCall.check() })
	checkPart(c.MarkSent != nil, func() error { return c.MarkSent.check() })
	checkPart(c.SettleCall != nil, func() error { return c.SettleCall.check() })
	checkPart(c.TakeOver != nil, func() error { return c.TakeOver.check() })
	checkPart(c.EndProgram != nil, func() error { return c.EndProgram.check() })
	checkPart(c.ReleaseConfirmed != nil, func() error { return c.ReleaseConfirmed.check() })
	checkPart(c.ServerGone != nil, func() error { return c.ServerGone.check() })
	checkPart(c.Tick != nil, func() error { return nil })
	checkPart(c.ReserveTurn != nil, func() error { return c.ReserveTurn.check() })
	checkPart(c.SettleTurn != nil, func() error { return c.SettleTurn.check() })
	checkPart(c.ExtendTurn != nil, func() error { return c.ExtendTurn.check() })
	checkPart(c.RecordStream != nil, func() error { return c.RecordStream.check() })
	checkPart(c.RecordOutput != nil, func() error { return c.RecordOutput.check() })
	checkPart(c.LookupStream != nil, func() error { return c.LookupStream.check() })
	if set != 1 {
		return fmt.Errorf("command has %d parts: want exactly one", set)
	}
	return errors.Join(err, c.SteadyTime.check())
}

func (c *OpenProgram) check() error {
	if c.Class == "" {
		c.Class = Standard
	}
	return errors.Join(
		checkID("program", c.Program), checkID("team", c.Team), checkID("key", c.Key),
		checkAmount("budget.tokens", c.Budget.Tokens), checkAmount("budget.calls", c.Budget.Calls),
		checkAmount("deadline", c.Deadline),
		checkOneOf("class", c.Class, Interactive, Standard, Batch),
		checkParentID(c))
}

func checkParentID(c *OpenProgram) error {
	if c.Parent == c.Program {
		return fmt.Errorf("parent %q: want another program", c.Parent)
	}
	return checkLength("parent", c.Parent)
}

func (c *OpenCall) check() error {
	return errors.Join(
		checkID("program", c.Program), checkID("team", c.Team), checkID("key", c.Key),
		checkID("fingerprint", c.Fingerprint), checkID("name", c.Name),
		checkID("host", c.Host), checkID("host-incarnation", c.HostIncarnation),
		checkOneOf("kind", c.Kind, ModelCall, ToolCall),
		checkAmount("worst-tokens", c.WorstCaseTokens), checkAmount("timeout", c.Timeout))
}

func (c *ReserveTurn) check() error {
	return errors.Join(
		checkID("program", c.Program), checkID("turn", c.Turn),
		checkAmount("budget", c.Budget), checkAmount("most", c.MaxTokens),
		checkLength("stream-service", c.StreamService), checkLength("stream-version", c.StreamVersion), checkAmount("stream-retention", c.StreamRetention),
		checkLength("resumes", c.Resumes), checkContinues(c), checkLength("last-event", c.LastEvent), checkAmount("retention", c.Retention), checkAmount("tokens-per-event", c.TokensPerEvent))
}

func checkContinues(c *ReserveTurn) error {
	if c.Continues && c.Resumes == "" {
		return errors.New("turn continues a stream, but resumes none")
	}
	return nil
}

func (c *SettleTurn) check() error {
	err := errors.Join(checkID("program", c.Program), checkID("turn", c.Turn), checkAmount("tokens", c.Tokens))
	if c.Keep != nil {
		err = errors.Join(err, checkAmount("retention", c.Keep.Retention), c.Keep.check())
	}
	return err
}

func (c *ExtendTurn) check() error {
	return errors.Join(checkID("turn", c.Turn), checkAmount("retention", c.Retention))
}

func (c *MarkSent) check() error {
	return errors.Join(
		checkID("program", c.Program), checkCount("call", c.Call), checkCount("attempt", c.Attempt),
		checkID("server", c.Server), checkID("server-incarnation", c.ServerIncarnation))
}

func (c *SettleCall) check() error {
	return errors.Join(
		checkID("program", c.Program), checkCount("call", c.Call), checkCount("attempt", c.Attempt),
		checkOneOf("status", c.Status, CallOK, CallFailed, CallNotSent, CallUnknown),
		checkAmount("tokens", c.Tokens))
}

func (c *TakeOver) check() error {
	return errors.Join(
		checkID("program", c.Program), checkCount("call", c.Call), checkCount("attempt", c.Attempt),
		checkID("host", c.Host), checkID("host-incarnation", c.HostIncarnation))
}

func (c *EndProgram) check() error {
	return errors.Join(checkID("program", c.Program),
		checkOneOf("status", c.Status, ProgramDone, ProgramFailed, ProgramExpired))
}

func (c *ReleaseConfirmed) check() error {
	return errors.Join(checkID("server", c.Server),
		checkID("server-incarnation", c.ServerIncarnation), checkID("program", c.Program))
}

func (c *ServerGone) check() error {
	return errors.Join(checkID("server", c.Server),
		checkID("server-incarnation", c.ServerIncarnation))
}

func checkID(field, value string) error {
	if value == "" || len(value) > MaxIDBytes {
		return fmt.Errorf("%s: %d bytes, want 1 to %d", field, len(value), MaxIDBytes)
	}
	return nil
}

// checkLength checks an id or version that may be empty.
func checkLength(field, value string) error {
	if len(value) > MaxIDBytes {
		return fmt.Errorf("%s: %d bytes, want at most %d", field, len(value), MaxIDBytes)
	}
	return nil
}

func checkAmount(field string, value int64) error {
	if value < 0 || value > maxAmount {
		return fmt.Errorf("%s %d: want 0 to %d", field, value, maxAmount)
	}
	return nil
}

func checkCount(field string, value int) error {
	if value < 1 {
		return fmt.Errorf("%s %d: want 1 or more", field, value)
	}
	return nil
}

func checkOneOf[T ~string](field string, value T, allowed ...T) error {
	for _, a := range allowed {
		if value == a {
			return nil
		}
	}
	return fmt.Errorf("%s %q: want one of %q", field, value, allowed)
}
