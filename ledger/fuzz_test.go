package ledger

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
	f.Add(int64(5), `{"open-program":{"program":"q","team":"team","key":"k","budget":{"tokens":-1}}}`)
	f.Add(int64(5), `{"open-call":{"program":"p","team":"team","key":"k2","fingerprint":"f","kind":"tool","name":"n","host":"h","host-incarnation":"1"}}`)
	f.Add(int64(-5), `{"mark-sent":{"program":"p","call":1,"attempt":1,"server":"s","server-incarnation":"1"}}`)
	f.Add(int64(5), `{"settle-call":{"program":"p","call":1,"attempt":1,"status":"ok","tokens":9223372036854775807}}`)
	f.Add(int64(5), `{"take-over":{"program":"p","call":99,"attempt":1,"host":"h","host-incarnation":"2"}}`)
	f.Add(int64(1<<62), `{"tick":{}}`)
	f.Add(int64(5), `{"tick":{},"server-gone":{"server":"s","server-incarnation":"1"}}`)
	f.Add(int64(5), `{"reserve-turn":{"program":"p","turn":"t","budget":9,"most":1,"stream-version":"v1","stream-retention":-1,"resumes":"u"}}`)
	f.Add(int64(6), `{"reserve-turn":{"program":"p","turn":"v","budget":9,"most":1,"resumes":"t","continues":true,"tokens-per-event":1}}`)
	f.Add(int64(5), `{"record-stream":{"stream":"t","version":"v1","retention":9223372036854775807}}`)
	f.Add(int64(1<<62), `{"record-stream":{"stream":"t","retention":4503599627370496}}`)
	f.Add(int64(5), `{"lookup-stream":{"stream":""}}`)
	f.Add(int64(5), `{"history":{"program":"p","from":-1,"limit":-1}}`)
	f.Fuzz(func(t *testing.T, now int64, command string) {
		m := New(WithRetention(0, 1))
		openTestProgram(t, m, "p", Budget{Tokens: 100, Calls: 2})
		m.ApplyCommand(2, openTestCall("p", "k1", 60))
		var before, after bytes.Buffer
		assert.NilError(t, m.Snapshot(&before))
		var r Result
		assert.NilError(t, json.Unmarshal(m.Apply(now, []byte(command)), &r))
		m.Query([]byte(command))
		assert.NilError(t, m.Snapshot(&after))
		if r.Refusal != nil && r.Refusal.Reason == verdict.BadRequest {
			assert.Equal(t, before.String(), after.String())
		}
		n := New(WithRetention(0, 1))
		assert.NilError(t, n.Restore(bytes.NewReader(after.Bytes())))
		_ = n.Restore(bytes.NewReader([]byte(command)))
	})
}
