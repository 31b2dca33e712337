package ledger

// SteadyTime is the time at which a leader proposes a command, read from a clock
// that is never set. With it, the clock of a StateMachine advances by no more than
// the time that passes between two commands, so that a leader whose time of day
// steps ahead doesn't shorten the retention of turns. The clock stands still
// between the last command of a leader and the first one of the next leader.
type SteadyTime struct {
	// Source identifies the clock, whose readings can only be compared with each
	// other.
	Source uint64 `json:"source"`
	Millis int64  `json:"millis"`
}

func (t *SteadyTime) check() error {
	if t == nil {
		return nil
	}
	return checkAmount("steady-time", t.Millis)
}

// steadyOrigin relates the readings of the last command's clock to the clock of
// the state machine.
type steadyOrigin struct {
	Source uint64 `json:"source"`
	Offset int64  `json:"offset"` // milliseconds to add to a reading
}

// clock returns the clock of the state machine for a reading, which may be before
// the current one. A clock that has not passed the previous command begins at the
// current one.
func (o *steadyOrigin) clock(current int64, t *SteadyTime) int64 {
	if o.Source != t.Source {
		*o = steadyOrigin{Source: t.Source, Offset: current - t.Millis}
	}
	return o.Offset + t.Millis
}
