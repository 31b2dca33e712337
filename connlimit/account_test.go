package connlimit

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

const testLimit = 10 * connBytes

func testAccount() *Account { return NewAccount(testLimit, WithDescriptors(1<<20)) }

// testConn is a connection of a test.
type testConn struct {
	*Entry
	closed, checked bool
}

func open(p *Port, now time.Time) *testConn {
	c := &testConn{}
	c.Entry = p.Open(now, func() { c.closed = true })
	c.closed = c.IsClosed()
	return c
}

// Guards against the wrong connection being closed.
func TestOrderOfClosing(t *testing.T) {
	start := time.Now()
	tests := []struct {
		name   string
		act    func(cs []*testConn)
		after  time.Duration // until the next connection
		closed int           // -1 for the next connection
	}{
		{"all equal", func([]*testConn) {}, 0, -1},
		{"a small head", func(cs []*testConn) { cs[4].Grow(start, 1000, 10) }, 0, 9},
		{"a large head", func(cs []*testConn) { cs[4].Grow(start, unitBytes, 0) }, 0, 4},
		{"a head of many lines", func(cs []*testConn) { cs[4].Grow(start, 100, 100) }, 0, 4},
		{"overdue", func([]*testConn) {}, 2 * overdueAfter, 9},
		{"accepted beside overdue", func(cs []*testConn) { cs[9].Accept() }, 2 * overdueAfter, 8},
		{"accepted", func(cs []*testConn) {
			for _, c := range cs {
				c.Accept()
			}
		}, 0, -1},
		{"used", func(cs []*testConn) {
			for i, c := range cs {
				c.Accept()
				c.Idle(start.Add(time.Duration(i)))
			}
		}, 0, -1},
		{"used and idle", func(cs []*testConn) {
			for i, c := range cs {
				c.Accept()
				c.Idle(start.Add(-time.Duration(i)))
			}
		}, 2 * overdueAfter, 9},
		{"used, beside an overdue one", func(cs []*testConn) {
			for _, c := range cs[1:] {
				c.Accept()
				c.Idle(start)
			}
		}, 2 * overdueAfter, 0},
		{"a head after a time", func(cs []*testConn) {
			for _, c := range cs[1:] {
				c.Accept()
			}
			cs[0].Grow(start.Add(2*overdueAfter), 0, 0)
		}, 2 * overdueAfter, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := testAccount().Port("p", 0, false)
			var cs []*testConn
			for range testLimit / connBytes {
				cs = append(cs, open(p, start))
			}
			tt.act(cs)
			next := open(p, start.Add(tt.after))
			assert.Equal(t, next.closed || slices.ContainsFunc(cs, func(c *testConn) bool { return c.closed }), true)
			got := slices.IndexFunc(cs, func(c *testConn) bool { return c.closed })
			assert.Equal(t, got, tt.closed)
		})
	}
}

// Guards against more memory than the limit, connections of accepted requests that
// are closed, and a port that loses its reserve to another one.
func TestAccountKeepsToLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := testAccount()
		ports := []*Port{a.Port("callers", 0, false), a.Port("health", 5, rapid.Bool().Draw(t, "tls"))}
		now := time.Unix(0, 0)
		var cs []*testConn
		pick := func(t *rapid.T) *testConn {
			if len(cs) == 0 {
				t.Skip("no connection")
			}
			return cs[rapid.IntRange(0, len(cs)-1).Draw(t, "connection")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				p := ports[rapid.IntRange(0, 1).Draw(t, "port")]
				for range rapid.IntRange(1, 8).Draw(t, "connections") {
					cs = append(cs, open(p, now))
				}
			},
			"grow": func(t *rapid.T) {
				c := pick(t)
				if c.accepted {
					t.Skip("no head is read")
				}
				assert.Equal(t, c.Grow(now, rapid.IntRange(0, 4096).Draw(t, "bytes"), rapid.IntRange(0, 100).Draw(t, "lines")), !c.removed)
			},
			"accept": func(t *rapid.T) {
				c := pick(t)
				if !c.removed {
					assert.Assert(t, c.Accept())
				}
			},
			"hold": func(t *rapid.T) {
				if c := pick(t); c.accepted {
					c.Hold(now, rapid.IntRange(0, testLimit/2).Draw(t, "bytes"))
				}
			},
			"idle": func(t *rapid.T) {
				if c := pick(t); c.accepted {
					c.Idle(now)
				}
			},
			"close": func(t *rapid.T) { pick(t).Close() },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				var held int64
				sums, closed := map[*Port]int64{}, map[*Port]int64{}
				for _, c := range cs {
					assert.Assert(t, !c.closed || c.removed)
					if c.closed && !c.checked {
						c.checked = true
						assert.Assert(t, !c.accepted, "the request had been accepted")
						closed[c.port] += c.held
					}
					if !c.removed {
						held += c.held
						sums[c.port] += c.held
					}
				}
				assert.Assert(t, held <= testLimit, "%d bytes", held)
				for _, p := range ports {
					assert.Equal(t, p.held, sums[p])
					assert.Assert(t, closed[p] == 0 || p.held+closed[p] > p.reserve, "the port was within its reserve")
				}
				assert.Assert(t, ports[0].held <= testLimit-ports[1].reserve)
			},
		})
	})
}

// Guards against more connections than half of the descriptors.
func TestConnectionCost(t *testing.T) {
	assert.Equal(t, connectionCost(1<<30, 2000), int64(1<<30)/1000)
	assert.Equal(t, connectionCost(1<<20, 2000), int64(connBytes))
	assert.Equal(t, connectionCost(1<<20, 0), int64(1<<20))
}
