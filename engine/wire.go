// Package engine is a client of the protocol of model engines: streamed model
// calls, control of the prefix cache, orders to load or unload models or to
// change the role, and reports on load and cache. It sends each call once, to a
// given engine; choosing engines and retrying are up to its callers. Start
// reading at Client.Stream; StandIn simulates an engine.
package engine

import (
	"encoding/json"
	"maps"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/ledger"
)

// Headers of a model call.
const (
	HeaderPriority   = "Sycamoreline-Priority" // smaller values run first
	HeaderResumeFrom = "Sycamoreline-Resume-From"
)

// Call is one attempt of a model call.
type Call struct {
	Program  string
	Call     int
	Attempt  int
	Model    string
	Version  string
	Adapter  string
	Messages []ledger.Message
	// MaxTokens limits the whole answer, including the tokens before
	// ResumeFrom. With 0 and no max_tokens in Extra, the engine sets the limit.
	MaxTokens int
	Priority  int
	// ResumeFrom is the number of tokens received in earlier attempts.
	ResumeFrom int
	// ResumeText is the text of those ResumeFrom tokens.
	ResumeText string
	// Extra contains further OpenAI request fields, which are sent unchanged.
	Extra map[string]any
}

// ID returns the call id, which the engine repeats in every event of the
// answer.
func (c Call) ID() backend.CallID {
	return backend.CallID{Program: c.Program, Call: c.Call, Attempt: c.Attempt}
}

// Token is one streamed token with its offset in the answer.
type Token struct {
	Offset int
	Text   string
}

// Usage counts the tokens of a call. CachedTokens is the part of PromptTokens
// that was in the prefix cache.
type Usage struct {
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// Finish is the result of a complete answer.
type Finish struct {
	Reason string // OpenAI finish_reason
	Usage  Usage
}

// request is the body of POST /v1/chat/completions as an engine decodes it. The
// field names with hyphens are extensions of the OpenAI format.
type request struct {
	Model        string           `json:"model"`
	ModelVersion string           `json:"model-version"`
	Adapter      string           `json:"adapter"`
	Messages     []ledger.Message `json:"messages"`
	MaxTokens    int              `json:"max_tokens"`
	ResumeText   string           `json:"resume-text"`
	Stream       bool             `json:"stream"`
}

// body returns the request body of a call. Fields of the call take precedence
// over fields of the same name in Extra; max_tokens of Extra is sent only if
// MaxTokens is 0.
func (c Call) body() ([]byte, error) {
	fields := make(map[string]any, len(c.Extra)+8)
	maps.Copy(fields, c.Extra)
	fields["model"] = c.Model
	fields["messages"] = c.Messages
	fields["stream"] = true
	fields["stream_options"] = map[string]bool{"include_usage": true}
	optional := map[string]string{"model-version": c.Version, "adapter": c.Adapter, "resume-text": c.ResumeText}
	for name, value := range optional {
		delete(fields, name)
		if value != "" {
			fields[name] = value
		}
	}
	if c.MaxTokens > 0 {
		fields["max_tokens"] = c.MaxTokens
	}
	return json.Marshal(fields)
}

// chunk is one event of a streamed answer. ID is the text form of the call id.
// Offset is set if the first choice contains a token; the text of a token may
// be empty, since an engine can split a character over two tokens.
type chunk struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Model   string          `json:"model"`
	Offset  *int            `json:"offset,omitempty"`
	Choices []choice        `json:"choices"`
	Usage   *wireUsage      `json:"usage,omitempty"`
	Error   json.RawMessage `json:"error,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

type wireUsage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (u Usage) wire() *wireUsage {
	return &wireUsage{
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.OutputTokens,
		TotalTokens:      u.PromptTokens + u.OutputTokens,
		PromptDetails:    promptDetails{CachedTokens: u.CachedTokens},
	}
}

func (u *wireUsage) usage() Usage {
	return Usage{
		PromptTokens: u.PromptTokens,
		CachedTokens: u.PromptDetails.CachedTokens,
		OutputTokens: u.CompletionTokens,
	}
}
