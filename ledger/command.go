// Package ledger is the deterministic state machine of a program group. It
// keeps programs, the order of their calls, budgets, history, idempotency
// records, deadlines and the release records of engine memory.
package ledger

import (
	"encoding/json"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// UnknownKey refuses a query for a key without a record.
const UnknownKey verdict.Reason = "unknown-key"

// CallKind tells model calls from tool calls.
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
	// CallNotSent means that the record proves that nothing was sent.
	CallNotSent CallStatus = "not-sent"
	// CallUnknown means that the call was sent and its outcome was lost.
	CallUnknown CallStatus = "unknown"
)

// Budget bounds a program. Tokens counts prompt and generated tokens.
type Budget struct {
	Tokens int64 `json:"tokens"`
	Calls  int64 `json:"calls"`
}

// Message is one entry of a program's history.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Command is one log entry of a program group. Exactly one field is set.
// Applying a command twice under the same ids gives the same result.
type Command struct {
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
}

// OpenProgram opens a program or a sub-program, whose budget is reserved from
// its parent's.
type OpenProgram struct {
	Program  string `json:"program"`
	Team     string `json:"team"`
	Class    Class  `json:"class"`
	Budget   Budget `json:"budget"`
	Deadline int64  `json:"deadline"` // Unix milliseconds
	Parent   string `json:"parent,omitempty"`
	Key      string `json:"key"`
}

// OpenCall asks for the next call of a program to be granted, or for the
// record of an earlier call under the same key.
type OpenCall struct {
	Program         string   `json:"program"`
	Team            string   `json:"team"` // must be the program's team
	Key             string   `json:"key"`
	Fingerprint     string   `json:"fingerprint"` // hash of the request body
	Kind            CallKind `json:"kind"`
	Name            string   `json:"name"` // model, or service/operation
	Idempotent      bool     `json:"idempotent"`
	WorstCaseTokens int64    `json:"worst-tokens"`
	Host            string   `json:"host"`
	HostIncarnation string   `json:"host-incarnation"`
	Timeout         int64    `json:"timeout"` // milliseconds
	// Request is chosen by the proposer. A repeated proposal with the same
	// request, host and incarnation gets the grant again.
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
	// PreviousUnsent asserts that nothing reached the server that this attempt
	// was marked for before, so that another one may be tried.
	PreviousUnsent bool `json:"previous-unsent,omitempty"`
	// Request is chosen for each intent to send. It tells a repeated proposal
	// from a second sending, which a non-idempotent call does not get.
	Request string `json:"request,omitempty"`
}

// SettleCall records the outcome of an attempt, its cost and its answer in
// one step.
type SettleCall struct {
	Program string          `json:"program"`
	Call    int             `json:"call"`
	Attempt int             `json:"attempt"`
	Status  CallStatus      `json:"status"`
	Tokens  int64           `json:"tokens"`
	Answer  json.RawMessage `json:"answer,omitempty"`  // what a resend receives
	History []Message       `json:"history,omitempty"` // appended when the status is ok
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason,omitempty"`
}

// TakeOver starts the next attempt of a call whose host's lease has expired.
type TakeOver struct {
	Program         string `json:"program"`
	Call            int    `json:"call"`
	Attempt         int    `json:"attempt"` // the attempt that is replaced
	Host            string `json:"host"`
	HostIncarnation string `json:"host-incarnation"`
	Request         string `json:"request,omitempty"` // as in OpenCall
}

// EndProgram ends a program. Status is ProgramDone, ProgramFailed or
// ProgramExpired.
type EndProgram struct {
	Program string        `json:"program"`
	Team    string        `json:"team"`
	Status  ProgramStatus `json:"status"`
	Reason  string        `json:"reason,omitempty"`
}

// ReleaseConfirmed records that an engine has released a program's memory.
type ReleaseConfirmed struct {
	Server            string `json:"server"`
	ServerIncarnation string `json:"server-incarnation"`
	Program           string `json:"program"`
}

// ServerGone drops the release records of a server incarnation that no longer
// exists.
type ServerGone struct {
	Server            string `json:"server"`
	ServerIncarnation string `json:"server-incarnation"`
}

// Tick closes idle and expired programs and bounds hung calls.
type Tick struct{}

// Result is the answer to a Command.
type Result struct {
	Refusal *Refusal      `json:"refusal,omitempty"`
	Program *ProgramState `json:"program,omitempty"`
	// Call is the call of the command. With a refused open-call it is the
	// call that is running instead, if any; with another refusal it is the
	// call as it is.
	Call *CallState `json:"call,omitempty"`
	Turn *TurnState `json:"turn,omitempty"`
}

// Refusal says why a command was not carried out.
type Refusal struct {
	Verdict    verdict.Verdict `json:"verdict"`
	Reason     verdict.Reason  `json:"reason"`
	Message    string          `json:"message"`
	RetryAfter int64           `json:"retry-after,omitempty"` // milliseconds
}

// ProgramState is the wire form of a program.
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

// CallState is the wire form of a call.
type CallState struct {
	Program    string     `json:"program"`
	Call       int        `json:"call"`
	Attempt    int        `json:"attempt"`
	Kind       CallKind   `json:"kind"`
	Name       string     `json:"name"`
	Idempotent bool       `json:"idempotent"`
	Status     CallStatus `json:"status"`
	Granted    bool       `json:"granted"` // true when this command started the attempt
	Sent       bool       `json:"sent"`
	// EarlierSent is set on a grant when an attempt of the same key before this
	// one may have been sent.
	EarlierSent     bool   `json:"earlier-sent,omitempty"`
	Host            string `json:"host"`
	HostIncarnation string `json:"host-incarnation"`
	Server          string `json:"server,omitempty"`
	// LastServer and LastIncarnation ran the program's previous model call. The
	// program has a release record there, so a model call need not be marked
	// before it is sent to the same incarnation.
	LastServer      string          `json:"last-server,omitempty"`
	LastIncarnation string          `json:"last-incarnation,omitempty"`
	Tokens          int64           `json:"tokens"`
	Answer          json.RawMessage `json:"answer,omitempty"`
	Verdict         verdict.Verdict `json:"verdict"`
	Reason          verdict.Reason  `json:"reason,omitempty"`
	HistoryLength   int             `json:"history-length"` // messages before this call's own
	Class           Class           `json:"class"`
	Deadline        int64           `json:"deadline"` // Unix milliseconds
	AttainedTokens  int64           `json:"attained-tokens"`
}

// Query asks a program group without changing it. Exactly one field is set.
type Query struct {
	Program  *ProgramQuery  `json:"program,omitempty"`
	History  *HistoryQuery  `json:"history,omitempty"`
	Call     *CallQuery     `json:"call,omitempty"`
	Releases *ReleasesQuery `json:"releases,omitempty"`
}

// ProgramQuery asks for a program's state.
type ProgramQuery struct {
	Program string `json:"program"`
	Team    string `json:"team"`
}

// HistoryQuery asks for a page of a program's history.
type HistoryQuery struct {
	Program string `json:"program"`
	Team    string `json:"team"`
	From    int    `json:"from"`
	Limit   int    `json:"limit"` // 0 means all
}

// CallQuery asks for the record of a key.
type CallQuery struct {
	Program string `json:"program"`
	Team    string `json:"team"`
	Key     string `json:"key"`
}

// ReleasesQuery asks for engine memory held for ended programs. An empty
// server means all.
type ReleasesQuery struct {
	Server string `json:"server,omitempty"`
	Limit  int    `json:"limit"`
}

// Release is engine memory that is to be released.
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
