package membership

import (
	"bytes"
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// Guards against input that causes a panic, and against malformed input that
// changes the state.
func FuzzApply(f *testing.F) {
	f.Add(int64(5), `{"join":{"host":"h","incarnation":"2","address":"a","data-centre":"d"}}`)
	f.Add(int64(5), `{"announce":{"server":"s","incarnation":"2","address":"a","data-centre":"d","kind":"engine","slots":-1}}`)
	f.Add(int64(-5), `{"expire":{"members":[{"kind":"host","id":"h","incarnation":"1"},{"kind":"x"}]}}`)
	f.Add(int64(1<<62), `{"acquire":{"resource":"r","server":"s","host":"h","host-incarnation":"1"}}`)
	f.Add(int64(5), `{"yield":{"resource":"r","fencing":1}}`)
	f.Add(int64(5), `{"report-crash":{"server":"s","server-incarnation":"1","fingerprints":["a","a"]}}`)
	f.Add(int64(5), `{"difference":{"since":-1},"yield":{}}`)
	f.Fuzz(func(t *testing.T, now int64, command string) {
		m := New(WithMaxRemoved(1))
		m.ApplyCommand(1, join("h", "1"))
		m.ApplyCommand(1, announce("s", "1", false))
		m.ApplyCommand(1, Command{ReportCrash: &ReportCrash{"s", "1", []string{"b"}}})
		var before, after bytes.Buffer
		assert.NilError(t, m.Snapshot(&before))
		var r Result
		assert.NilError(t, json.Unmarshal(m.Apply(now, []byte(command)), &r))
		m.Query([]byte(command))
		assert.NilError(t, m.Snapshot(&after))
		if r.Refusal != nil && r.Refusal.Reason == verdict.BadRequest {
			assert.Equal(t, before.String(), after.String())
		}
		n := New(WithMaxRemoved(1))
		assert.NilError(t, n.Restore(bytes.NewReader(after.Bytes())))
		_ = n.Restore(bytes.NewReader([]byte(command)))
	})
}
