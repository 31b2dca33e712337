// Package dispatch runs the calls of one entry host. It opens a call in the
// program ledger, queues it until the scheduler assigns a backend server, sends
// it, retries or resumes it after a failure, and commits its outcome.
//
// It neither selects servers, which package schedule does, nor implements the
// protocols of backend servers, which packages engine and service do. Start
// reading at Dispatcher.Model and at call, the state machine of one call.
package dispatch

import (
	"encoding/json"

	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/ledger"
)

// ModelCall is a caller's request for a model call of a program.
type ModelCall struct {
	RequestID   string
	Program     string
	Team        string
	Key         string // idempotency key
	Fingerprint string // hash of the request body
	Model       string
	Version     string
	Adapter     string
	Messages    []ledger.Message
	// WholeConversation is true if Messages holds the program's history followed
	// by the new messages, as OpenAI clients send it.
	WholeConversation bool
	MaxTokens         int
	Extra             map[string]any // other OpenAI fields, forwarded to the engine
	// FirstSend is true if no earlier request can have used this key. Only then
	// may a rejection without a ledger query carry the verdict not-run.
	FirstSend bool
}

// ToolCall is a caller's request for a call of a plain service.
type ToolCall struct {
	RequestID   string
	Program     string
	Team        string
	Key         string // idempotency key
	Fingerprint string // hash of the request body
	Service     string
	Operation   string
	// Idempotent overrides what the service announces for the operation; nil
	// keeps the announced value.
	Idempotent *bool
	Body       json.RawMessage
	FirstSend  bool // see ModelCall.FirstSend
}

// Sink receives the tokens of a streamed answer in order and without
// duplicates. An error means that the caller has disconnected.
type Sink interface {
	Token(t engine.Token) error
}

// ModelAnswer is the complete answer of a model call.
type ModelAnswer struct {
	Call         int          `json:"call"`
	Text         string       `json:"text"`
	Model        string       `json:"model"`
	FinishReason string       `json:"finish-reason"`
	Usage        engine.Usage `json:"usage"`
	Created      int64        `json:"created"` // Unix seconds
}

// ToolAnswer is the answer of a plain service.
type ToolAnswer struct {
	Call   int             `json:"call"`
	Status int             `json:"status"` // HTTP status of the service
	Body   json.RawMessage `json:"body"`
}
