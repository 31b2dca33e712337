// Package strictjson decodes JSON and rejects unknown and repeated keys, wrong
// types, invalid UTF-8, and data after the value. Each error names the
// position, the field, the value and what is allowed. The values themselves are
// decoded by encoding/json. Start with Decode.
package strictjson

import (
	"encoding/json"
	"errors"
	"reflect"
	"unicode/utf8"
)

// Checker is implemented by types with constraints that their field types do
// not express. Check returns nil or an *Error, such as one made by Invalid;
// Decode converts any other error to an *Error without a field.
type Checker interface {
	Check() error
}

// Decode decodes a single JSON value into a T. Errors contain the source as the
// name of the input. If *T implements Checker, Check is called last. Every error
// is an *Error.
func Decode[T any](source string, data []byte) (T, error) {
	var value T
	checker, checks := any(&value).(Checker)
	w := newWalker(source, data)
	if checks {
		w.offsets = map[string]int64{}
	}
	if err := w.document(reflect.TypeFor[T]()); err != nil {
		return value, err
	}
	if err := json.Unmarshal(data, &value); err != nil {
		return value, &Error{Position: positionAt(source, data, 0), Allowed: err.Error()}
	}
	if checks {
		return value, w.addPosition(checker.Check())
	}
	return value, nil
}

func (w *walker) document(t reflect.Type) error {
	if at := firstInvalidUTF8(w.data); at >= 0 {
		return w.fail(int64(at), "", "", "the text must be valid UTF-8")
	}
	if err := w.value(t, ""); err != nil {
		return err
	}
	return w.expectEnd()
}

func firstInvalidUTF8(data []byte) int {
	if utf8.Valid(data) {
		return -1
	}
	for i := 0; i < len(data); {
		r, n := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && n == 1 {
			return i
		}
		i += n
	}
	return -1
}

// addPosition adds the position of the field to an error returned by Check.
func (w *walker) addPosition(err error) error {
	if err == nil {
		return nil
	}
	var e *Error
	if !errors.As(err, &e) {
		return &Error{Position: positionAt(w.source, w.data, 0), Allowed: err.Error()}
	}
	located := *e
	located.Position = positionAt(w.source, w.data, w.offsets[e.Field])
	return &located
}
