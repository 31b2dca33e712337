// Package ledger is the deterministic state machine of a program group. It
// keeps programs, the order of their calls, budgets, history, idempotency
// records, deadlines and the release records of engine memory. It neither
// replicates nor persists itself, and its only clock is the time passed with
// each command. Start reading at Command and StateMachine.ApplyCommand.
package ledger

import (
	"encoding/json"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// UnknownKey is the reason for refusing a query for a key without a record.
const UnknownKey verdict.Reason = "unknown-key"

// CallKind distinguishes model calls from tool calls.
type CallKind string

// The kinds of call.
const (
	ModelCall CallKind = "model"
	ToolCall  CallKind = "tool"
)

// Class is the priority class of a program.
type Class string

// The classes, most urgent first.
const (
	Interactive Class = "interactive"
	Standard    Class = "standard"
	Batch       Class = "batch"
)

// ProgramStatus is the state of a program.
type ProgramStatus string

// The program states. All but ProgramOpen are final.
const (
	ProgramOpen    ProgramStatus = "open"
	ProgramDone    ProgramStatus = "ended"
	ProgramFailed  ProgramStatus = "failed"
	ProgramExpired ProgramStatus = "expired"
)

// CallStatus is the state of a call.
type CallStatus string

// The call states. All but CallRunning are final.
const (
	CallRunning CallStatus = "running"
	CallOK      CallStatus = "ok"
	CallFailed  CallStatus = "failed"
	// CallNotSent is a call that provably was not sent to any server.
	CallNotSent CallStatus = "not-sent"
	// CallUnknown is a call that may have been sent and whose outcome is
	// unknown.
	CallUnknown CallStatus = "unknown"
)

// Budget is an amount of tokens and calls: a program's limit, or what it has
// spent or reserved. Tokens counts prompt and generated tokens.
type Budget struct {
	Tokens int64 `json:"tokens"`
	Calls  int64 `json:"calls"`
}

// Message is one entry of a program's history.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Command is one log entry of a program group. Exactly one field is set, and
// optionally SteadyTime.
// Any command but Tick can be applied twice in a row with the same effect as
// once, since its ids identify the duplicate. A later duplicate may have an
// effect: a ReserveTurn after the SettleTurn of the same turn reserves again.
type Command struct {
	SteadyTime *SteadyTime `json:"steady-time,omitempty"`

	OpenProgram      *OpenProgram      `json:"open-program,omitempty"`
	OpenCall         *OpenCall         `json:"open-call,omitempty"`
	MarkSent         *MarkSent         `json:"mark-sent,omitempty"`
	SettleCall       *SettleCall       `json:"settle-call,omitempty"`
	TakeOver         *TakeOver         `json:"take-over,omitempty"`
	EndProgram       *EndProgram       `json:"end-program,omitempty"`
	ReleaseConfirmed *ReleaseConfirmed `json:"release-confirmed,omitempty"`
	ServerGone       *ServerGone       `json:"server-gone,omitempty"`
	Tick             *Tick             `json:"tick,omitempty"`
	ReserveTurn      *ReserveTurn      `json:"reserve-turn,omitempty"`
	SettleTurn       *SettleTurn       `json:"settle-turn,omitempty"`
	ExtendTurn       *ExtendTurn       `json:"extend-turn,omitempty"`
	RecordStream     *RecordStream     `json:"record-stream,omitempty"`
	LookupStream     *LookupStream     `json:"lookup-stream,omitempty"`
	RecordOutput     *RecordOutput     `json:"record-output,omitempty"`
}

// OpenProgram opens a program, or a sub-program if it has a parent. The budget
// of a sub-program is reserved from its parent's budget.
type OpenProgram struct {
	Program  string `json:"program"`
	Team     string `json:"team"`
	Class    Class  `json:"class"` // empty means Standard
	Budget   Budget `json:"budget"`
	Deadline int64  `json:"deadline"` // Unix milliseconds; 0 means the maximum lifetime
	Parent   string `json:"parent,omitempty"`
	Key      string `json:"key"` // idempotency key
}

// OpenCall requests a grant for the next call of a program. If the key already
// has a record, the result is that record instead, unless the call may run
// again.
type OpenCall struct {
	Program         string   `json:"program"`
	Team            string   `json:"team"`        // must be the program's team
	Key             string   `json:"key"`         // idempotency key
	Fingerprint     string   `json:"fingerprint"` // hash of the request body
	Kind            CallKind `json:"kind"`
	Name            string   `json:"name"` // model, or service/operation
	Idempotent      bool     `json:"idempotent"`
	WorstCaseTokens int64    `json:"worst-tokens"`
	Host            string   `json:"host"`
	HostIncarnation string   `json:"host-incarnation"`
	Timeout         int64    `json:"timeout"` // milliseconds; 0 means the default of the state machine
	// Request is a request id chosen by the proposer. A duplicate proposal with
	// the same request id, host and incarnation gets the same grant.
	Request  string    `json:"request,omitempty"`
	Messages []Message `json:"messages,omitempty"`
}

// MarkSent records that the call is about to be sent to a backend server. A
// non-idempotent call must not be sent before this is committed.
type MarkSent struct {
	Program           string `json:"program"`
	Call              int    `json:"call"`
	Attempt           int    `json:"attempt"`
	Server            string `json:"server"`
	ServerIncarnation string `json:"server-incarnation"`
	// PreviousUnsent asserts that nothing was sent to the server that this
	// attempt was previously marked for, so that another server may be tried.
	PreviousUnsent bool `json:"previous-unsent,omitempty"`
	// Request is a request id, a new one for each intent to send. It
	// distinguishes a duplicate proposal from a second send, which is refused
	// for a non-idempotent call.
	Request string `json:"request,omitempty"`
}

// SettleCall atomically records the outcome, cost and answer of an attempt.
type SettleCall struct {
	Program string          `json:"program"`
	Call    int             `json:"call"`
	Attempt int             `json:"attempt"`
	Status  CallStatus      `json:"status"`
	Tokens  int64           `json:"tokens"`
	Answer  json.RawMessage `json:"answer,omitempty"`  // returned to resends of the key
	History []Message       `json:"history,omitempty"` // appended when the status is ok
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason,omitempty"`
}

// TakeOver starts the next attempt of a call whose host's lease has expired. A
// non-idempotent call that was marked as sent ends with the status unknown
// instead.
type TakeOver struct {
	Program         string `json:"program"`
	Call            int    `json:"call"`
	Attempt         int    `json:"attempt"` // the attempt to replace
	Host            string `json:"host"`
	HostIncarnation string `json:"host-incarnation"`
	Request         string `json:"request,omitempty"` // as in OpenCall
}

// EndProgram ends a program.
type EndProgram struct {
	Program string        `json:"program"`
	Team    string        `json:"team"`   // empty to end a program of any team
	Status  ProgramStatus `json:"status"` // any but ProgramOpen
	Reason  string        `json:"reason,omitempty"`
}

// ReleaseConfirmed records that an engine has released the engine memory of a
// program.
type ReleaseConfirmed struct {
	Server            string `json:"server"`
	ServerIncarnation string `json:"server-incarnation"`
	Program           string `json:"program"`
}

// ServerGone removes the release records of a server incarnation that no longer
// exists.
type ServerGone struct {
	Server            string `json:"server"`
	ServerIncarnation string `json:"server-incarnation"`
}

// Tick ends idle programs and those past their deadline, expires hung calls and
// superseded attempts, and purges closed programs after their retention.
type Tick struct{}

// Result is the answer to a Command.
type Result struct {
	Refusal *Refusal      `json:"refusal,omitempty"`
	Program *ProgramState `json:"program,omitempty"`
	// Call is the call that the command names. If an open-call is refused, it is
	// the program's running call or nil; with other refusals it is the unchanged
	// call or nil.
	Call   *CallState   `json:"call,omitempty"`
	Turn   *TurnState   `json:"turn,omitempty"`
	Stream *StreamState `json:"stream,omitempty"`
}

// Refusal gives the reason why a command was not applied.
type Refusal struct {
	Verdict    verdict.Verdict `json:"verdict"`
	Reason     verdict.Reason  `json:"reason"`
	Message    string          `json:"message"`
	RetryAfter int64           `json:"retry-after,omitempty"` // milliseconds
}

// ProgramState is the public state of a program.
type ProgramState struct {
	Program       string        `json:"program"`
	Team          string        `json:"team"`
	Class         Class         `json:"class"`
	Status        ProgramStatus `json:"status"`
	Reason        string        `json:"reason,omitempty"`
	Budget        Budget        `json:"budget"`
	Spent         Budget        `json:"spent"`
	Reserved      Budget        `json:"reserved"`
	Deadline      int64         `json:"deadline"` // Unix milliseconds
	Parent        string        `json:"parent,omitempty"`
	Calls         int           `json:"calls"`
	HistoryLength int           `json:"history-length"` // messages
	LastServer    string        `json:"last-server,omitempty"`
}

// CallState is the public state of a call.
type CallState struct {
	Program    string     `json:"program"`
	Call       int        `json:"call"`
	Attempt    int        `json:"attempt"`
	Kind       CallKind   `json:"kind"`
	Name       string     `json:"name"`
	Idempotent bool       `json:"idempotent"`
	Status     CallStatus `json:"status"`
	Granted    bool       `json:"granted"` // true when this command, or a duplicate of it, started the attempt
	Sent       bool       `json:"sent"`
	// EarlierSent is set on a grant if an earlier attempt under the same key may
	// have been sent.
	EarlierSent     bool   `json:"earlier-sent,omitempty"`
	Host            string `json:"host"`
	HostIncarnation string `json:"host-incarnation"`
	Server          string `json:"server,omitempty"`
	// LastServer and LastIncarnation identify the server that the program's last
	// model call before this one was marked as sent to. Unless that incarnation is
	// gone, the program already has a release record for it, so an idempotent model
	// call need not be marked before it is sent there.
	LastServer      string          `json:"last-server,omitempty"`
	LastIncarnation string          `json:"last-incarnation,omitempty"`
	Tokens          int64           `json:"tokens"`
	Answer          json.RawMessage `json:"answer,omitempty"`
	Verdict         verdict.Verdict `json:"verdict"`
	Reason          verdict.Reason  `json:"reason,omitempty"`
	HistoryLength   int             `json:"history-length"` // messages before this call's own
	Class           Class           `json:"class"`
	Deadline        int64           `json:"deadline"`        // Unix milliseconds
	AttainedTokens  int64           `json:"attained-tokens"` // spent by the program so far
}

// Query is a read-only request to a program group. Exactly one field is set.
type Query struct {
	Program  *ProgramQuery  `json:"program,omitempty"`
	History  *HistoryQuery  `json:"history,omitempty"`
	Call     *CallQuery     `json:"call,omitempty"`
	Releases *ReleasesQuery `json:"releases,omitempty"`
}

// ProgramQuery reads the state of a program.
type ProgramQuery struct {
	Program string `json:"program"`
	Team    string `json:"team"`
}

// HistoryQuery reads a page of a program's history.
type HistoryQuery struct {
	Program string `json:"program"`
	Team    string `json:"team"`
	From    int    `json:"from"`
	Limit   int    `json:"limit"` // 0 means all
}

// CallQuery reads the record of the call with a key.
type CallQuery struct {
	Program string `json:"program"`
	Team    string `json:"team"`
	Key     string `json:"key"`
}

// ReleasesQuery lists the due release records: engine memory that must be
// released because its program has ended. An empty Server lists them for all
// servers.
type ReleasesQuery struct {
	Server string `json:"server,omitempty"`
	Limit  int    `json:"limit"` // 0 means all
}

// Release is a release record: the named server incarnation may hold engine
// memory of the program.
type Release struct {
	Server            string `json:"server"`
	ServerIncarnation string `json:"server-incarnation"`
	Program           string `json:"program"`
}

// QueryResult is the answer to a Query.
type QueryResult struct {
	Refusal  *Refusal      `json:"refusal,omitempty"`
	Program  *ProgramState `json:"program,omitempty"`
	Call     *CallState    `json:"call,omitempty"`
	History  []Message     `json:"history,omitempty"`
	Releases []Release     `json:"releases,omitempty"`
}
