// Package dispatch carries one call of a program from its opening in the
// ledger to its settlement: through the queue, to a backend server, and
// through retries and resumed streams.
package dispatch

import (
	"encoding/json"

	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/ledger"
)

// ModelCall is a model call of a program as a caller made it.
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
	// WholeConversation is true when Messages repeat the program's history
	// before the new messages, as OpenAI clients do.
	WholeConversation bool
	MaxTokens         int
	Extra             map[string]any // further OpenAI fields for the engine
	// FirstSend is true when no earlier request can have carried this key.
	// Only then is a refusal that did not consult the ledger not-run.
	FirstSend bool
}

// ToolCall is a routed call of a plain service.
type ToolCall struct {
	RequestID   string
	Program     string
	Team        string
	Key         string
	Fingerprint string
	Service     string
	Operation   string
	// Idempotent is nil when the caller left it to the service's announcement.
	Idempotent *bool
	Body       json.RawMessage
	FirstSend  bool // as in ModelCall
}

// Sink receives the tokens of a streamed answer in order, each once. An error
// means that the caller is gone.
type Sink interface {
	Token(t engine.Token) error
}

// ModelAnswer is a whole answer of a model call.
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
