package replica

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a log whose size is bounded only by a number of entries, so
// that large entries fill the disk.
func TestLargeEntriesAreCompacted(t *testing.T) {
	const entryBytes, entries = 256 << 10, 120
	d := t.TempDir()
	tr := &memoryTransport{groups: map[string]*Group{}, cut: map[string]bool{}}
	g, err := Open(Config{ID: "control-1", Peers: []string{"control-1"}, Dir: d}, &counter{}, tr,
		WithTiming(testTiming), WithSnapshots(20_000, 4<<20, 2_000))
	assert.NilError(t, err)
	defer func() { assert.NilError(t, g.Close()) }()
	ctx := testContext(t)
	for n := 0; n < entries; {
		if _, err := g.Propose(ctx, make([]byte, entryBytes)); err == nil {
			n++
			continue
		}
		assert.NilError(t, ctx.Err())
		pause(ctx)
	}
	for {
		info, err := os.Stat(filepath.Join(d, "log"))
		assert.NilError(t, err)
		if info.Size() < 2*maxKeptBytes {
			return
		}
		assert.NilError(t, ctx.Err(), "log of %d bytes after entries of %d", info.Size(), entries*entryBytes)
		pause(ctx)
	}
}
