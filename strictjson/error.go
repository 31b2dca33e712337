package strictjson

import (
	"fmt"
	"strings"
)

// Position is a position in a JSON text. Line and Column count from 1, or are 0
// if unknown; Column counts bytes.
type Position struct {
	Source string // name of the input, such as a file name
	Line   int
	Column int
}

// Error is an error in a JSON text. Its message is a single line.
type Error struct {
	Position
	Field   string // path such as control-hosts[1].address, or ""
	Value   string // the invalid value, or ""; shortened in the message
	Allowed string // what is allowed instead, or another description of the error
}

// Error returns position, field, value and what is allowed.
func (e *Error) Error() string {
	var b strings.Builder
	if e.Source != "" {
		b.WriteString(e.Source + ":")
	}
	if e.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", e.Line, e.Column)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if e.Field != "" {
		fmt.Fprintf(&b, "field %q: ", e.Field)
	}
	if e.Value != "" {
		fmt.Fprintf(&b, "value %s: ", shorten(oneLine(e.Value)))
	}
	b.WriteString(e.Allowed)
	return b.String()
}

// Invalid returns an Error for a value that violates a constraint of its field.
// Decode adds the position.
func Invalid(field string, value any, allowed string) *Error {
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	return &Error{Field: field, Value: text, Allowed: allowed}
}

// maxValueBytes limits how much of an invalid value an error repeats.
const maxValueBytes = 60

func shorten(s string) string {
	if len(s) <= maxValueBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxValueBytes], "") + "..."
}

func oneLine(s string) string {
	return strings.Join(strings.Fields(s), " ")
}

func positionAt(source string, data []byte, offset int64) Position {
	if offset > int64(len(data)) {
		offset = int64(len(data))
	}
	before := string(data[:offset])
	return Position{
		Source: source,
		Line:   strings.Count(before, "\n") + 1,
		Column: len(before) - strings.LastIndexByte(before, '\n'),
	}
}
