package history

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	firstLog  = `  1.20 front-1 {"level":"info","ts":"2026-07-28T17:08:29.258Z","msg":"call answered","host":"front-1","request":"r1","program":"p","total":"9ms"}` + "\nno JSON r1\n{cut r1\n"
	secondLog = `{"level":"info","ts":"2026-07-28T17:08:29.250Z","msg":"call placed","host":"front-2","request":"r1","program":"p","server":"i-1"}` + "\n" +
		`{"level":"info","ts":"2026-07-28T17:08:30.000Z","msg":"call placed","host":"front-2","request":"r2","program":"p"}` + "\n" +
		`{"level":"info","ts":"2026-07-28T17:08:30.000Z","msg":"other","host":"front-2","request":"r3","error":"after r1"}` + "\n"
)

// Guards against including lines of other requests, and against lines of several
// hosts that are not sorted by time.
func TestFind(t *testing.T) {
	tests := []struct {
		id   string
		want []string
	}{
		{"r1", []string{"front-2 call placed", "front-1 call answered"}},
		{"p", []string{"front-2 call placed", "front-1 call answered", "front-2 call placed"}},
		{"r4", nil},
	}
	for _, tt := range tests {
		lines, err := Find(tt.id, strings.NewReader(firstLog), strings.NewReader(secondLog))
		assert.NilError(t, err)
		var got []string
		for _, l := range lines {
			got = append(got, l.Host+" "+l.Message)
		}
		assert.DeepEqual(t, got, tt.want)
	}
	assert.Assert(t, errors.Is(Write(&bytes.Buffer{}, nil), ErrNotFound))
}

func ExampleWrite() {
	lines, err := Find("r1", strings.NewReader(firstLog), strings.NewReader(secondLog))
	if err == nil {
		err = Write(os.Stdout, lines)
	}
	if err != nil {
		fmt.Println(err)
	}
	// Output:
	//         0s  front-2               call placed         program=p request=r1 server=i-1
	//        8ms  front-1               call answered       program=p request=r1 total=9ms
}

// Guards against log content that causes a panic, or an error other than a read
// error.
func FuzzFind(f *testing.F) {
	f.Add(firstLog)
	f.Fuzz(func(t *testing.T, log string) {
		if _, err := Find("r1", strings.NewReader(log)); err != nil {
			assert.ErrorContains(t, err, "read log")
		}
	})
}
