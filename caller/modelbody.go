package caller

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/strictjson"
)

// maxMaxTokens limits the answer tokens that a caller may request.
const maxMaxTokens = 1 << 20

// modelBody is the decoded body of a model call: a callBody or a chatBody.
type modelBody struct {
	model        string
	version      string
	adapter      string
	messages     []ledger.Message
	maxTokens    int // 0 if absent
	stream       bool
	includeUsage bool
	extra        map[string]any
	fingerprint  string
}

func (b *modelBody) call() dispatch.ModelCall {
	return dispatch.ModelCall{
		Fingerprint: b.fingerprint,
		Model:       b.model,
		Version:     b.version,
		Adapter:     b.adapter,
		Messages:    b.messages,
		MaxTokens:   b.maxTokens,
		Extra:       b.extra,
	}
}

// callBody is the body of a model call in the program API.
type callBody struct {
	Model     string            `json:"model"`
	Version   string            `json:"version"`
	Adapter   string            `json:"adapter"`
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens *int              `json:"max-tokens"`
	Stream    bool              `json:"stream"`
}

func decodeCall(data []byte) (modelBody, error) {
	b, err := strictjson.Decode[callBody]("body", data)
	if err != nil {
		return modelBody{}, badRequest(err)
	}
	fields, err := decodeFields(data)
	if err != nil {
		return modelBody{}, badRequest(err)
	}
	out := modelBody{
		model: b.Model, version: b.Version, adapter: b.Adapter, stream: b.Stream, includeUsage: true,
		fingerprint: fingerprint("call", fields),
	}
	if out.messages, err = decodeMessages(fields["messages"]); err != nil {
		return modelBody{}, badRequest(err)
	}
	return out, out.validate("max-tokens", b.MaxTokens)
}

// chatBody has the fields of a chat completion that this package interprets.
// All others are passed to the engine.
type chatBody struct {
	Model               string `json:"model"`
	MaxTokens           *int   `json:"max_tokens"`
	MaxCompletionTokens *int   `json:"max_completion_tokens"`
	Stream              bool   `json:"stream"`
	N                   *int   `json:"n"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

var chatFields = []string{"model", "messages", "max_tokens", "max_completion_tokens", "stream", "stream_options", "n"}

func decodeChat(data []byte) (modelBody, error) {
	fields, err := decodeFields(data)
	if err != nil {
		return modelBody{}, badRequest(err)
	}
	known, err := decodeChatFields(fields)
	if err != nil {
		return modelBody{}, badRequest(err)
	}
	if known.N != nil && *known.N != 1 {
		return modelBody{}, invalid("n", *known.N, "want 1: a call has one answer")
	}
	out := modelBody{
		model: known.Model, stream: known.Stream, includeUsage: known.StreamOptions.IncludeUsage,
		fingerprint: fingerprint("chat", fields),
	}
	if out.messages, err = decodeMessages(fields["messages"]); err != nil {
		return modelBody{}, badRequest(err)
	}
	if out.extra, err = engineFields(fields); err != nil {
		return modelBody{}, badRequest(err)
	}
	if known.MaxCompletionTokens != nil {
		return out, out.validate("max_completion_tokens", known.MaxCompletionTokens)
	}
	return out, out.validate("max_tokens", known.MaxTokens)
}

// validate checks the model and the token limit, and stores the limit.
func (b *modelBody) validate(field string, maxTokens *int) error {
	if !namePattern.MatchString(b.model) {
		return invalid("model", shorten(b.model), nameAllowed)
	}
	if maxTokens == nil {
		return nil
	}
	if *maxTokens < 1 || *maxTokens > maxMaxTokens {
		return invalid(field, *maxTokens, fmt.Sprintf("want 1 to %d", maxMaxTokens))
	}
	b.maxTokens = *maxTokens
	return nil
}

// decodeFields decodes an object into its fields. Fields set to null count as
// absent, as in the OpenAI API.
func decodeFields(data []byte) (map[string]json.RawMessage, error) {
	fields, err := strictjson.Decode[map[string]json.RawMessage]("body", data)
	for name, value := range fields {
		if isNull(value) {
			delete(fields, name)
		}
	}
	return fields, err
}

// decodeChatFields decodes the fields of chatBody: strictly, except that
// stream_options may have further fields.
func decodeChatFields(fields map[string]json.RawMessage) (chatBody, error) {
	known := map[string]json.RawMessage{}
	for _, name := range chatFields {
		if value, ok := fields[name]; ok && name != "messages" && name != "stream_options" {
			known[name] = value
		}
	}
	data, err := json.Marshal(known)
	if err != nil {
		return chatBody{}, err
	}
	b, err := strictjson.Decode[chatBody]("", data)
	if err != nil {
		return b, withoutPosition(err)
	}
	if options, ok := fields["stream_options"]; ok && json.Unmarshal(options, &b.StreamOptions) != nil {
		return b, strictjson.Invalid("stream_options", string(options), "want an object")
	}
	return b, nil
}

// withoutPosition removes the position, which refers to re-encoded JSON and
// not to the caller's body.
func withoutPosition(err error) error {
	if e, ok := err.(*strictjson.Error); ok { //nolint:errorlint // Decode returns it unwrapped.
		e.Position = strictjson.Position{}
	}
	return err
}

func engineFields(fields map[string]json.RawMessage) (map[string]any, error) {
	extra := map[string]any{}
	for name, value := range fields {
		extra[name] = value
	}
	for _, name := range chatFields {
		delete(extra, name)
	}
	if len(extra) == 0 {
		return nil, nil
	}
	return extra, nil
}

func decodeMessages(data json.RawMessage) ([]ledger.Message, error) {
	var messages []message
	if data != nil && json.Unmarshal(data, &messages) != nil {
		return nil, strictjson.Invalid("messages", shorten(string(data)), "want a list of messages")
	}
	return ledgerMessages(messages)
}

// fingerprint returns a hash of the kind and the fields of a request. It does
// not depend on the order of the top-level fields or on whether the answer is
// streamed.
func fingerprint(kind string, fields map[string]json.RawMessage) string {
	content := map[string]json.RawMessage{}
	for name, value := range fields {
		if name != "stream" && name != "stream_options" {
			content[name] = value
		}
	}
	// Marshalling cannot fail: the values were decoded from valid JSON.
	data, _ := json.Marshal(content)
	var compact bytes.Buffer
	_ = json.Compact(&compact, data)
	return hash(kind, compact.String())
}
