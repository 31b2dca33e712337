package strictjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type pause time.Duration

func (p *pause) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.New("want a duration")
	}
	*p = pause(d)
	return nil
}

type address struct {
	Host string `json:"host"`
	Port uint16 `json:"port"`
}

type tls struct {
	CertificateFile string `json:"certificate-file"`
}

type sample struct {
	ID        string          `json:"id"`
	Count     int             `json:"count"`
	Share     float64         `json:"share"`
	Enabled   bool            `json:"enabled"`
	Pause     pause           `json:"pause"`
	Limit     *int            `json:"limit"`
	Addresses []address       `json:"addresses"`
	Weights   map[string]int  `json:"weights"`
	Raw       json.RawMessage `json:"raw"`
	Hidden    string          `json:"-"`
	tls
}

func (s *sample) Check() error {
	for i, a := range s.Addresses {
		if a.Port == 0 {
			return Invalid(fmt.Sprintf("addresses[%d].port", i), a.Port, "want 1 to 65535")
		}
	}
	return nil
}

// Guards against invalid input that is accepted, or reported without position,
// value and what is allowed, or on more than one line.
func TestDecodeRejects(t *testing.T) {
	tests := []struct {
		name, text, want string
	}{
		{"empty", ``, `f:1:1: the JSON text ends too early`},
		{"cut short", "{\"id\":\n", `f:2:1: field "id": the JSON text ends too early`},
		{"cut in a string", `{"id":"a`, `f:1:9: field "id": the JSON text ends too early`},
		{"not JSON", `{"id" "a"}`, `f:1:7: field "id": invalid JSON: invalid character '"' after object key`},
		{"trailing data", "{}\n x", `f:2:2: value x: nothing may follow the JSON value`},
		{"unknown key", `{"cuont":1}`, `f:1:2: field "cuont": unknown key; did you mean "count"?`},
		{"other case", `{"ID":"a"}`, `f:1:2: field "ID": unknown key; did you mean "id"?`},
		{"far from any key", `{"zzzzzzzzz":1}`, `f:1:2: field "zzzzzzzzz": unknown key; allowed are addresses, certificate-file, count, enabled, id, limit, pause, raw, share, weights`},
		{"hidden key", `{"Hidden":"a"}`, `unknown key`},
		{"duplicate key", "{\"id\":\"a\",\n \"id\":\"b\"}", `f:2:2: field "id": the key appears twice; write it once`},
		{"duplicate in raw", `{"raw":{"a":1,"a":2}}`, `field "raw.a": the key appears twice; write it once`},
		{"duplicate in map", `{"weights":{"a":1,"a":2}}`, `field "weights.a": the key appears twice`},
		{"string for number", `{"count":"3"}`, `f:1:10: field "count": value "3": want a whole number that fits in int`},
		{"fraction", `{"count":1.5}`, `field "count": value 1.5: want a whole number`},
		{"too large", `{"addresses":[{"port":70000}]}`, `field "addresses[0].port": value 70000: want a whole number that fits in uint16`},
		{"negative", `{"addresses":[{"port":-1}]}`, `value -1`},
		{"number for string", `{"id":3}`, `field "id": value 3: want a string`},
		{"number for bool", `{"enabled":1}`, `want true or false`},
		{"object for list", `{"addresses":{}}`, `field "addresses": value {: want a list`},
		{"list for object", `{"addresses":[[]]}`, `field "addresses[0]": value [: want an object`},
		{"null", `{"id":null}`, `field "id": value null: want a string; leave the key out instead`},
		{"text", `{"pause":"soon"}`, `field "pause": value "soon": want a duration`},
		{"text as number", `{"pause":3}`, `field "pause": value 3: want a string`},
		{"rule", "{\"addresses\":[{\"port\":1},\n  {\"port\":0}]}", `f:2:11: field "addresses[1].port": value 0: want 1 to 65535`},
		{"invalid UTF-8", "{\"id\":\"a\xffb\"}", `f:1:9: the text must be valid UTF-8`},
		{"deep nesting", `{"raw":` + strings.Repeat("[", 300), `nesting deeper than 200`},
		{"long value", `{"count":"` + strings.Repeat("9", 200) + `"}`, `999...`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Decode[sample]("f", []byte(tt.text))
			var e *Error
			assert.Assert(t, errors.As(err, &e), "%v", err)
			assert.Assert(t, strings.Contains(err.Error(), tt.want), err.Error())
			assert.Assert(t, !strings.Contains(err.Error(), "\n"))
		})
	}
}

func ExampleDecode() {
	_, err := Decode[sample]("entry-1.json", []byte(`{"id": "a", "addresses": [{"hots": "x"}]}`))
	fmt.Println(err)
	s, err := Decode[sample]("entry-1.json", []byte(`{"id": "a", "limit": 3, "pause": "2s", "certificate-file": "c"}`))
	fmt.Println(s.ID, *s.Limit, time.Duration(s.Pause), s.CertificateFile, err)
	// Output:
	// entry-1.json:1:28: field "addresses[0].hots": unknown key; did you mean "host"?
	// a 3 2s c <nil>
}

// Guards against accepted input that Decode and encoding/json decode to
// different values, and against errors without position or of several lines.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"id":"a","count":1,"share":1e3,"enabled":true,"pause":"2s","limit":4}`,
		`{"addresses":[{"host":"h","port":1}],"weights":{"a":1},"raw":[1,{"x":null}]}`,
		"{\"id\":\"\xff\"}", `{"id":"\ud800"}`, `{"raw":`, `[`, ` 1 `, `{"a":1}{`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode[sample]("f", data)
		if err != nil {
			var e *Error
			assert.Assert(t, errors.As(err, &e))
			assert.Assert(t, e.Line >= 1 && e.Column >= 1)
			assert.Assert(t, !strings.ContainsAny(err.Error(), "\r\n"), "%q", err.Error())
			return
		}
		var loose sample
		assert.NilError(t, json.Unmarshal(data, &loose))
		assert.DeepEqual(t, s.Raw, loose.Raw)
		assert.Equal(t, s.ID, loose.ID)
		assert.Equal(t, s.Count, loose.Count)
	})
}
