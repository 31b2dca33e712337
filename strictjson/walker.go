package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"strings"
)

var (
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
	rawMessage      = reflect.TypeFor[json.RawMessage]()
)

// maxDepth limits nesting, and thereby the stack that malicious input can use.
const maxDepth = 200

// walker checks the tokens of a JSON text against a Go type.
type walker struct {
	source  string
	data    []byte
	dec     *json.Decoder
	depth   int
	offsets map[string]int64 // offsets of values by field path; nil if not needed
}

func newWalker(source string, data []byte) *walker {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	return &walker{source: source, data: data, dec: dec}
}

// nextOffset returns the offset at which the next token begins.
func (w *walker) nextOffset() int64 {
	at := w.dec.InputOffset()
	for at < int64(len(w.data)) && strings.IndexByte(" \t\r\n,:", w.data[at]) >= 0 {
		at++
	}
	return at
}

func (w *walker) fail(at int64, field, value, allowed string) error {
	return &Error{Position: positionAt(w.source, w.data, at), Field: field, Value: value, Allowed: allowed}
}

func (w *walker) token(field string) (json.Token, error) {
	tok, err := w.dec.Token()
	if err == nil {
		return tok, nil
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, w.fail(int64(len(w.data)), field, "", "the JSON text ends too early")
	}
	at := w.dec.InputOffset()
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) && syntax.Offset > 0 {
		at = max(at, syntax.Offset-1)
	}
	return nil, w.fail(at, field, "", "invalid JSON: "+oneLine(err.Error()))
}

func (w *walker) expectEnd() error {
	at := w.nextOffset()
	if _, err := w.dec.Token(); !errors.Is(err, io.EOF) {
		return w.fail(at, "", string(w.data[at:]), "nothing may follow the JSON value")
	}
	return nil
}

// value checks the next value against t. A nil t accepts any value, but repeated
// keys are still rejected.
func (w *walker) value(t reflect.Type, path string) error {
	at := w.nextOffset()
	if w.offsets != nil {
		w.offsets[path] = at
	}
	if w.depth++; w.depth > maxDepth {
		return w.fail(at, path, "", fmt.Sprintf("nesting deeper than %d levels is not allowed", maxDepth))
	}
	defer func() { w.depth-- }()
	tok, err := w.token(path)
	if err != nil {
		return err
	}
	t = indirect(t)
	switch tok {
	case json.Delim('{'):
		return w.object(t, path, at)
	case json.Delim('['):
		return w.array(t, path, at)
	}
	return w.scalar(t, path, at, tok)
}

// indirect follows pointers. It returns nil for types that accept any value:
// interfaces and json.RawMessage.
func indirect(t reflect.Type) reflect.Type {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == nil || t == rawMessage || t.Kind() == reflect.Interface {
		return nil
	}
	return t
}

func isTextUnmarshaler(t reflect.Type) bool {
	return t != nil && reflect.PointerTo(t).Implements(textUnmarshaler)
}

func (w *walker) object(t reflect.Type, path string, at int64) error {
	if t != nil && (isTextUnmarshaler(t) || t.Kind() != reflect.Struct && t.Kind() != reflect.Map) {
		return w.fail(at, path, "{", "want "+describeType(t))
	}
	known := structFields(t)
	seen := map[string]bool{}
	for w.dec.More() {
		keyAt := w.nextOffset()
		tok, err := w.token(path)
		if err != nil {
			return err
		}
		key, _ := tok.(string)
		field := joinPath(path, key)
		if seen[key] {
			return w.fail(keyAt, field, "", "the key appears twice; write it once")
		}
		seen[key] = true
		elem, err := w.memberType(t, known, key, field, keyAt)
		if err != nil {
			return err
		}
		if err := w.value(elem, field); err != nil {
			return err
		}
	}
	_, err := w.token(path)
	return err
}

// memberType returns the type of a key's value, or an error for an unknown key.
func (w *walker) memberType(t reflect.Type, known map[string]reflect.Type, key, field string, at int64) (reflect.Type, error) {
	if t == nil {
		return nil, nil
	}
	if t.Kind() == reflect.Map {
		return t.Elem(), nil
	}
	elem, ok := known[key]
	if !ok {
		return nil, w.fail(at, field, "", unknownKey(key, known))
	}
	return elem, nil
}

func (w *walker) array(t reflect.Type, path string, at int64) error {
	var elem reflect.Type
	if t != nil {
		if t.Kind() != reflect.Slice || isTextUnmarshaler(t) {
			return w.fail(at, path, "[", "want "+describeType(t))
		}
		elem = t.Elem()
	}
	for i := 0; w.dec.More(); i++ {
		if err := w.value(elem, path+"["+strconv.Itoa(i)+"]"); err != nil {
			return err
		}
	}
	_, err := w.token(path)
	return err
}

// scalar checks a value other than an object or array by decoding it with
// encoding/json.
func (w *walker) scalar(t reflect.Type, path string, at int64, tok json.Token) error {
	if t == nil {
		return nil
	}
	raw := bytes.TrimLeft(w.data[at:w.dec.InputOffset()], " \t\r\n,:")
	if tok == nil {
		return w.fail(at, path, "null", "want "+describeType(t)+"; leave the key out instead")
	}
	value := reflect.New(t)
	err := json.Unmarshal(raw, value.Interface())
	if err == nil {
		return nil
	}
	allowed := "want " + describeType(t)
	if _, ok := tok.(string); ok && isTextUnmarshaler(t) {
		allowed = oneLine(err.Error())
	}
	return w.fail(at, path, string(raw), allowed)
}

// structFields returns the types of the fields of a struct by JSON key,
// including those of embedded structs.
func structFields(t reflect.Type) map[string]reflect.Type {
	if t == nil || t.Kind() != reflect.Struct {
		return nil
	}
	known := map[string]reflect.Type{}
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.IsExported() && !f.Anonymous && name != "" && name != "-" {
			known[name] = f.Type
		}
	}
	return known
}

func unknownKey(key string, known map[string]reflect.Type) string {
	names := make([]string, 0, len(known))
	for name := range known {
		names = append(names, name)
	}
	sort.Strings(names)
	if near := nearest(key, names); near != "" {
		return fmt.Sprintf("unknown key; did you mean %q?", near)
	}
	return "unknown key; allowed are " + strings.Join(names, ", ")
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

var integerKinds = []reflect.Kind{
	reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64,
	reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64,
}

func describeType(t reflect.Type) string {
	switch {
	case isTextUnmarshaler(t), t.Kind() == reflect.String:
		return "a string"
	case slices.Contains(integerKinds, t.Kind()):
		return "a whole number that fits in " + t.Kind().String()
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Slice:
		return "a list"
	case t.Kind() == reflect.Struct, t.Kind() == reflect.Map:
		return "an object"
	default:
		return "a number"
	}
}
