package ledger

import (
	"bytes"
	"maps"
	"slices"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// UnknownTurn is the reason for refusing a turn whose previous turn does not
// exist or has expired.
const UnknownTurn verdict.Reason = "unknown-turn"

const (
	// sweepInterval is the interval, in milliseconds of the machine's clock, at
	// which expired accounts and records of streams are removed.
	sweepInterval = 10_000
	// turnSweepInterval is the interval, in milliseconds of the machine's clock, at
	// which turns are removed that have expired for as long. They take most of the
	// disk.
	turnSweepInterval = 2_000
	// accountRetention is the minimum time, in milliseconds, for which the account
	// of a program is kept after its last turn. A stopped program may be continued
	// within the retention of its route.
	accountRetention = 600_000
	// maxSessions is the maximum number of sessions per program for which the
	// last server is recorded.
	maxSessions = 64
	// maxChain is the maximum number of turns in a conversation.
	maxChain = 4_096
)

// ReserveTurn reserves the maximum number of tokens that a turn can generate.
// The turns of a program may run concurrently. A reservation is refused if the
// sum of their reserved and spent tokens would exceed the budget. A turn that
// continues a stream shares the reservation of the stream (see openStream).
type ReserveTurn struct {
	Program   string `json:"program"`
	Turn      string `json:"turn"`
	Budget    int64  `json:"budget"` // tokens that all turns of the program may generate
	MaxTokens int64  `json:"most"`   // tokens that this turn may generate
	// Previous is the turn that this one continues, or empty.
	Previous string `json:"previous,omitempty"`
	// Session is the session id of the request. The turns of a session extend the
	// same prompt.
	Session string `json:"line,omitempty"`
	// StreamVersion is the software version of the backend server that begins the
	// stream of this turn, and StreamService its service. If StreamVersion is set
	// and the turn is reserved, they are recorded as by RecordStream with attempt 0,
	// for StreamRetention milliseconds.
	StreamService   string `json:"stream-service,omitempty"`
	StreamVersion   string `json:"stream-version,omitempty"`
	StreamRetention int64  `json:"stream-retention,omitempty"`
	// Resumes is the id of the request whose answer began the stream that this
	// turn takes up, or empty.
	Resumes string `json:"resumes,omitempty"`
	// Continues is set if the caller names the last event that it has received of
	// the stream that this turn takes up, so that the turn generates only the rest.
	Continues bool `json:"continues,omitempty"`
	// LastEvent is the id of the last event that the caller has received of the
	// stream, if the output of the turn is recorded as it is passed on. The turn then
	// takes up the output before it (see RecordOutput).
	LastEvent string `json:"last-event,omitempty"`
	// Retention is how long, in milliseconds, the conversation before the turn is
	// kept from now on, and at least how long the account of the program is.
	Retention int64 `json:"retention,omitempty"`
	// TokensPerEvent is the number of tokens in each event of the stream, or 0 if it
	// is not known. A stream with events of different sizes may have more than
	// MaxTokens tokens, since it goes on after the last event and not after the last
	// token.
	TokensPerEvent int64 `json:"tokens-per-event,omitempty"`
}

// SettleTurn releases the reservation of a turn and charges the tokens that its
// caller received.
type SettleTurn struct {
	Program string `json:"program"`
	Turn    string `json:"turn"`
	Tokens  int64  `json:"tokens"`
	// Session is the session id of the turn, and Server the backend server that
	// now has the session's prompt in its prefix cache. If Server is empty, the
	// recorded server stays.
	Session string `json:"line,omitempty"`
	Server  string `json:"server,omitempty"`
	// Keep is set for a complete turn that later turns may continue.
	Keep *KeptTurn `json:"keep,omitempty"`
}

// ExtendTurn extends the retention of a turn and its chain. It is used when a
// program of another program group continues the turn.
type ExtendTurn struct {
	Turn      string `json:"turn"`
	Retention int64  `json:"retention"` // milliseconds from now
}

// KeptTurn is the stored content of a turn, from which the prompt of a later
// turn is built.
type KeptTurn struct {
	Previous string `json:"previous,omitempty"`
	Input    []byte `json:"input"`
	Output   []byte `json:"output"`
	// Retention is in milliseconds from now. It covers the time until the caller
	// has received the whole answer, from which on callers count.
	Retention int64 `json:"retention"`
	// Packed has the input and output, compressed, instead of Input and Output if Size,
	// their length, is not 0. OutputSize and OutputSum are the length and xxHash of the
	// output.
	Packed     []byte `json:"packed,omitempty"`
	Size       int    `json:"size,omitempty"`
	OutputSize int    `json:"output-size,omitempty"`
	OutputSum  uint64 `json:"output-sum,omitempty"`
}

// TurnState is the result of a turn command. Spent and Reserved are totals of
// the program; ExtendTurn does not return them.
type TurnState struct {
	Turn     string `json:"turn"`
	Spent    int64  `json:"spent"`
	Reserved int64  `json:"reserved"`
	// LastServer is the server that ran the last turn of the session or, if none
	// is recorded for the session, the last turn of its program. Only ReserveTurn
	// returns it.
	LastServer string `json:"last-server,omitempty"`
	// Resumed is the record of the stream that a reserved turn takes up.
	Resumed *StreamState `json:"resumed,omitempty"`
	// Output is the output that a reserved turn takes up, and OutputEvents the
	// number of its events.
	Output       []byte `json:"output,omitempty"`
	OutputEvents int    `json:"output-events,omitempty"`
}

// account is the budget account of a program's turns.
type account struct {
	Program string `json:"program"`
	Spent   int64  `json:"spent"`
	// Reserved has the rest of the reservation of each open stream. Both maps are
	// keyed by the id of the request that began the stream.
	Reserved map[string]int64      `json:"reserved,omitempty"`
	Streams  map[string]openStream `json:"open-streams,omitempty"`
	UsedAt   int64                 `json:"used-at"` // milliseconds of the machine's clock
	// ContinuableUntil is the time until which the program may be continued.
	ContinuableUntil int64 `json:"continuable-until,omitempty"`
	// SessionServers has the last server of each of the first maxSessions sessions,
	// and LastServer is that of the latest turn.
	SessionServers map[string]string `json:"lines,omitempty"`
	LastServer     string            `json:"last,omitempty"`
}

// openStream is a stream that has turns which are not settled. The turns that
// continue a stream, each after the last event that the caller has received, share
// one reservation: together they hand it no more tokens than one turn that is not
// interrupted. A turn of a lost host is never settled, and what it has handed out
// is not known, so the whole reservation counts as used while a turn is open. When
// none is, their settlements tell the tokens.
type openStream struct {
	MaxTokens      int64 `json:"most"`              // of the turn with the most
	Settled        int64 `json:"settled,omitempty"` // tokens charged for settled turns
	TokensPerEvent int64 `json:"tokens-per-event,omitempty"`
	// Open has the turns that are not settled. It is shared with snapshots and not
	// changed in place.
	Open []string `json:"open"`
}

// used returns the tokens that count as used, settled ones included.
func (s openStream) used() int64 { return max(s.MaxTokens, s.Settled) }

// streamOf returns the open stream that a reserved turn belongs to.
func (a *account) streamOf(turn string) (stream string, reserved bool) {
	if slices.Contains(a.Streams[turn].Open, turn) {
		return turn, true
	}
	for stream, s := range a.Streams {
		if slices.Contains(s.Open, turn) {
			return stream, true
		}
	}
	return "", false
}

// setStream replaces an open stream, or removes it once all its turns are
// settled.
func (a *account) setStream(stream string, s openStream) {
	if len(s.Open) == 0 {
		delete(a.Streams, stream)
		delete(a.Reserved, stream)
		if len(a.Streams) == 0 {
			a.Streams, a.Reserved = nil, nil // most accounts have no open stream, and empty maps take memory
		}
		return
	}
	if a.Streams == nil {
		a.Streams, a.Reserved = map[string]openStream{}, map[string]int64{}
	}
	a.Streams[stream] = s
	a.Reserved[stream] = s.used() - s.Settled
}

// reserve reserves a turn that is not reserved. If that would exceed the budget,
// it returns false and the number of tokens that are missing to the reservation of
// the turn's stream.
func (a *account) reserve(c *ReserveTurn) (wanted int64, ok bool) {
	stream := c.Turn
	if c.Continues && c.TokensPerEvent > 0 {
		s, open := a.Streams[c.Resumes]
		if !open || s.TokensPerEvent == c.TokensPerEvent {
			stream = c.Resumes
		}
	}
	s, open := a.Streams[stream]
	if !open {
		s.TokensPerEvent = c.TokensPerEvent
	}
	before := s.used()
	s.MaxTokens = max(s.MaxTokens, c.MaxTokens)
	s.Open = slices.Concat(s.Open, []string{c.Turn})
	wanted = s.used() - before
	if a.Spent+a.reserved()+wanted > c.Budget {
		return wanted, false
	}
	a.setStream(stream, s)
	return wanted, true
}

// settle charges the tokens of a reserved turn.
func (a *account) settle(stream, turn string, tokens int64) {
	s := a.Streams[stream]
	s.Settled += tokens
	s.Open = slices.DeleteFunc(slices.Clone(s.Open), func(id string) bool { return id == turn })
	a.Spent += tokens
	a.setStream(stream, s)
}

func (a *account) reserved() int64 {
	sum := int64(0)
	for _, n := range a.Reserved {
		sum += n
	}
	return sum
}

// keptTurn is a stored turn of a conversation. Its input and output are empty if
// they are in the body store.
type keptTurn struct {
	Turn string `json:"turn"`
	KeptTurn
	Expires int64    `json:"expires"` // milliseconds of the machine's clock
	Body    *BodyRef `json:"body,omitempty"`
}

// turns holds the accounts, the stored turns, the records of streams and the output
// of turns in progress.
type turns struct {
	accounts map[string]*account
	kept     map[string]*keptTurn
	streams  map[string]streamRecord
	outputs  map[string]*streamOutput // by stream
}

func newTurns() turns {
	return turns{
		accounts: map[string]*account{}, kept: map[string]*keptTurn{}, streams: map[string]streamRecord{}, outputs: map[string]*streamOutput{},
	}
}

func (m *StateMachine) reserveTurn(c *ReserveTurn) Result {
	if c.Previous != "" && m.turn(c.Previous) == nil {
		return refuse(verdict.NotRun, UnknownTurn, "turn %q does not exist or has expired", c.Previous)
	}
	var output *streamOutput
	outputEvents := 0
	if c.LastEvent != "" {
		var refusal *Refusal
		if output, outputEvents, refusal = m.findOutput(c); refusal != nil {
			return Result{Refusal: refusal}
		}
	}
	a := m.turns.accounts[c.Program]
	if a == nil {
		a = &account{Program: c.Program}
		m.turns.accounts[c.Program] = a
	}
	a.use(m.clock, c.Retention)
	if _, reserved := a.streamOf(c.Turn); !reserved {
		if wanted, ok := a.reserve(c); !ok {
			r := refuse(verdict.NotRun, verdict.BudgetExceeded, "budget of %d tokens: %d spent, %d reserved, %d wanted",
				c.Budget, a.Spent, a.reserved(), wanted)
			r.Turn = a.state(c.Turn)
			return r
		}
	}
	m.extendChain(c.Previous, m.clock+c.Retention)
	state := a.state(c.Turn)
	state.LastServer = a.LastServer
	if server, ok := a.SessionServers[c.Session]; ok {
		state.LastServer = server
	}
	if c.Resumes != "" {
		state.Resumed = m.stream(c.Resumes)
	}
	if output != nil {
		output.takeUp(c.Turn, outputEvents)
		state.Output, state.OutputEvents = output.data(outputEvents), outputEvents
	}
	if c.StreamVersion != "" {
		m.setStream(c.Turn, streamRecord{Service: c.StreamService, Version: c.StreamVersion}, c.StreamRetention)
	}
	return Result{Turn: state}
}

// use records that the program is active and may be continued within the
// retention, in milliseconds.
func (a *account) use(now, retention int64) {
	a.UsedAt = now
	a.ContinuableUntil = max(a.ContinuableUntil, now+retention)
}

// expired reports whether the program can no longer be continued.
func (a *account) expired(now int64) bool {
	return a.UsedAt+accountRetention <= now && a.ContinuableUntil <= now
}

func (a *account) state(turn string) *TurnState {
	return &TurnState{Turn: turn, Spent: a.Spent, Reserved: a.reserved()}
}

// settleTurn charges a turn once: after the first settlement it is not open, so
// that a duplicate is not charged.
func (m *StateMachine) settleTurn(c *SettleTurn) Result {
	a := m.turns.accounts[c.Program]
	if a == nil {
		return refuse(verdict.Ran, verdict.UnknownProgram, "program %q has no reservation", c.Program)
	}
	if stream, reserved := a.streamOf(c.Turn); reserved {
		a.settle(stream, c.Turn, c.Tokens)
	}
	a.use(m.clock, 0)
	if c.Server != "" {
		a.LastServer = c.Server
		if _, known := a.SessionServers[c.Session]; known || len(a.SessionServers) < maxSessions {
			if a.SessionServers == nil {
				a.SessionServers = map[string]string{}
			}
			a.SessionServers[c.Session] = c.Server
		}
	}
	var stored *KeptTurn // by this command
	if k := c.Keep; k != nil && m.turns.kept[c.Turn] == nil {
		a.use(m.clock, k.Retention)
		kept := &keptTurn{Turn: c.Turn, KeptTurn: *k, Expires: m.clock + k.Retention}
		m.storeBody(kept)
		m.turns.kept[c.Turn] = kept
		stored = k
		m.extendChain(k.Previous, m.clock+k.Retention)
	}
	m.storeOutput(c.Turn, stored)
	return Result{Turn: a.state(c.Turn)}
}

func (m *StateMachine) extendTurn(c *ExtendTurn) Result {
	if m.turn(c.Turn) == nil {
		return refuse(verdict.NotRun, UnknownTurn, "turn %q does not exist or has expired", c.Turn)
	}
	m.extendChain(c.Turn, m.clock+c.Retention)
	return Result{Turn: &TurnState{Turn: c.Turn}}
}

// extendChain extends the expiry of a turn and of all turns before it.
func (m *StateMachine) extendChain(turn string, expires int64) {
	for range maxChain {
		k := m.turns.kept[turn]
		if k == nil {
			return
		}
		k.Expires = max(k.Expires, expires)
		turn = k.Previous
	}
}

// turn returns a stored turn that has not expired, or nil.
func (m *StateMachine) turn(id string) *keptTurn {
	k := m.turns.kept[id]
	if k == nil || k.Expires <= m.clock {
		return nil
	}
	return k
}

// Chain returns the concatenated inputs and outputs of a turn and of all turns
// before it, oldest first. It returns false if one of them is missing or cannot be
// read, or there are more than maxChain.
func (m *StateMachine) Chain(turn string) ([]byte, bool) {
	var links []*keptTurn
	size := 0
	for turn != "" {
		k := m.turns.kept[turn]
		if k == nil || len(links) >= maxChain {
			return nil, false
		}
		links = append(links, k)
		size += k.bytes()
		turn = k.Previous
	}
	out := bytes.NewBuffer(make([]byte, 0, size))
	for _, k := range slices.Backward(links) {
		body, err := m.body(k)
		if err != nil {
			return nil, false
		}
		out.Write(body)
	}
	return out.Bytes(), true
}

// advanceClock sets the clock, and sweeps if it enters another interval. When a
// replica sweeps thus depends only on the clock, which is part of a snapshot: a
// restored replica removes the same records at the same commands as the others.
func (m *StateMachine) advanceClock(millis int64) {
	previous := m.clock
	m.clock = max(m.clock, min(millis, maxUnixMillis))
	if m.clock/turnSweepInterval != previous/turnSweepInterval {
		m.sweepTurns()
	}
	if m.clock/sweepInterval != previous/sweepInterval {
		m.sweepAccounts()
	}
}

// sweepTurns removes expired turns.
func (m *StateMachine) sweepTurns() {
	maps.DeleteFunc(m.turns.kept, func(_ string, k *keptTurn) bool {
		expired := k.Expires+turnSweepInterval <= m.clock
		switch {
		case expired && k.Body != nil:
			m.bodies.Release(*k.Body)
		case expired:
			m.inlineBytes -= k.inlineBytes()
		}
		return expired
	})
}

// sweepAccounts removes expired accounts, outputs and records of streams.
func (m *StateMachine) sweepAccounts() {
	maps.DeleteFunc(m.turns.accounts, func(_ string, a *account) bool { return a.expired(m.clock) })
	maps.DeleteFunc(m.turns.outputs, func(_ string, o *streamOutput) bool {
		expired := o.Expires <= m.clock
		if expired {
			m.releaseOutput(o)
		}
		return expired
	})
	maps.DeleteFunc(m.turns.streams, func(_ string, r streamRecord) bool { return r.Expires <= m.clock })
}
