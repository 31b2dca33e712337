package backend

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against call ids that change when formatted and parsed, and against
// malformed ones that are accepted.
func TestCallIDText(t *testing.T) {
	for _, c := range []CallID{{Program: "p", Call: 1, Attempt: 2}, {Program: "a/1/2", Call: 0, Attempt: 9}} {
		got, err := ParseCallID(c.String())
		assert.NilError(t, err)
		assert.Equal(t, got, c)
	}
	for _, text := range []string{"", "p", "p/1", "/1/1", "p/x/1", "p/1/-1", "p/1/99999999999"} {
		_, err := ParseCallID(text)
		assert.ErrorContains(t, err, "want program/call/attempt")
	}
}
