package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/strictjson"
)

var roles = []string{"system", "developer", "user", "assistant", "tool"}

// message is a message in the OpenAI format. Only text is supported; content
// that the history cannot store is rejected instead of being dropped silently.
type message struct {
	ledger.Message
	firstError *strictjson.Error // its Field is relative to the message
}

// UnmarshalJSON decodes a message and stores its first error, which
// ledgerMessages returns with the index of the message.
func (m *message) UnmarshalJSON(data []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		m.setError("", string(data), "want an object with role and content")
		return nil
	}
	for name, value := range fields {
		switch name {
		case "role":
			m.readRole(value)
		case "content":
			m.readContent(value)
		default:
			// Clients send back the answers of engines with fields such
			// as "refusal" set to null.
			if !isNull(value) {
				m.setError(name, string(value), "want only role and content")
			}
		}
	}
	for _, name := range []string{"role", "content"} {
		if fields[name] == nil {
			m.setError(name, "", "the field is missing")
		}
	}
	return nil
}

func (m *message) setError(field, value, allowed string) {
	if m.firstError == nil {
		m.firstError = &strictjson.Error{Field: field, Value: value, Allowed: allowed}
	}
}

func (m *message) readRole(value json.RawMessage) {
	if json.Unmarshal(value, &m.Role) != nil || !slices.Contains(roles, m.Role) {
		m.setError("role", string(value), "want one of "+strings.Join(roles, ", "))
	}
}

// readContent accepts a string or a list of text parts.
func (m *message) readContent(value json.RawMessage) {
	if !isNull(value) && json.Unmarshal(value, &m.Content) == nil {
		return
	}
	var parts []struct {
		Type string  `json:"type"`
		Text *string `json:"text"`
	}
	if isNull(value) || json.Unmarshal(value, &parts) != nil {
		m.setError("content", string(value), "want a string or a list of text parts")
		return
	}
	var text strings.Builder
	for i, part := range parts {
		if part.Type != "text" || part.Text == nil {
			m.setError(fmt.Sprintf("content[%d]", i), part.Type, `want a part of type "text"`)
			return
		}
		text.WriteString(*part.Text)
	}
	m.Content = text.String()
}

func isNull(value json.RawMessage) bool {
	return bytes.Equal(bytes.TrimSpace(value), []byte("null"))
}

// ledgerMessages converts messages to the ledger's type, or returns the first
// error.
func ledgerMessages(messages []message) ([]ledger.Message, error) {
	if len(messages) == 0 {
		return nil, strictjson.Invalid("messages", "[]", "want at least one message")
	}
	out := make([]ledger.Message, len(messages))
	for i, m := range messages {
		if m.firstError != nil {
			return nil, m.errorAt(i)
		}
		out[i] = m.Message
	}
	return out, nil
}

func (m *message) errorAt(i int) error {
	e := *m.firstError
	prefix := fmt.Sprintf("messages[%d]", i)
	if e.Field != "" {
		prefix += "."
	}
	e.Field = prefix + e.Field
	return &e
}
