package forward

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a conversation from the cache that is not what was said, and a
// cache that grows without bound.
func TestChains(t *testing.T) {
	c := newChainCache(40)
	a := c.put("a", nil, []byte("in-a;out-a;"))
	b := c.put("b", a, []byte("in-b;out-b;"))
	c.put("c", a, []byte("in-c;out-c;"))
	assert.Equal(t, string(b.body([]byte("new"))), "in-a;out-a;in-b;out-b;new")
	got, ok := c.get("c")
	assert.Assert(t, ok)
	assert.Equal(t, string(got.body(nil)), "in-a;out-a;in-c;out-c;")
	assert.Equal(t, string((*link)(nil).body([]byte("first"))), "first")
	for i := range 10 {
		c.put(fmt.Sprint("d", i), nil, []byte("0123456789"))
		assert.Assert(t, c.bytes <= 40)
	}
	_, ok = c.get("a")
	assert.Assert(t, !ok)
	assert.Equal(t, string(got.body([]byte("x"))), "in-a;out-a;in-c;out-c;x")
}
