// Package engine speaks the protocol towards model engines, and has the
// stand-in that answers it.
package engine

import "github.com/sycamoreline/sycamoreline/ledger"

// Call is a model call as an engine receives it.
type Call struct {
	Program   string
	Call      int
	Attempt   int
	Model     string
	Version   string
	Adapter   string
	Messages  []ledger.Message
	MaxTokens int
	Priority  int
	// ResumeFrom is the number of tokens that the caller already has.
	ResumeFrom int
	// ResumeText is the text of those tokens.
	ResumeText string
	// Extra are further OpenAI request fields, passed on as they are.
	Extra map[string]any
}

// Token is one streamed token with its offset in the answer.
type Token struct {
	Offset int
	Text   string
}

// Usage is the cost of an answer, in tokens.
type Usage struct {
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// Finish ends a whole answer.
type Finish struct {
	Reason string // OpenAI finish_reason
	Usage  Usage
}
