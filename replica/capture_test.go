package replica

import (
	"encoding/json"
	"fmt"
	"io"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/faults"
)

// blockingRecorder is a commandRecorder whose snapshots block until release is
// closed.
type blockingRecorder struct {
	commandRecorder
	release chan struct{}
}

func (b *blockingRecorder) Capture() func(io.Writer) error {
	commands := b.all()
	return func(w io.Writer) error {
		<-b.release
		return json.NewEncoder(w).Encode(commands)
	}
}

// Guards against commands blocked while a snapshot is written, and against a
// captured snapshot that contains commands applied after its position.
func TestCommandsGoOnWhileASnapshotIsWritten(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx := testContext(t)
	fs := faults.NewDisk()
	open := func(m StateMachine) *Group {
		g, err := Open(Config{ID: "a", Peers: []string{"a"}, Dir: "data"}, m, &memoryTransport{},
			WithFS(fs), WithTiming(testTiming), WithSnapshots(5, 1<<30, 2))
		assert.NilError(t, err)
		return g
	}
	m := &blockingRecorder{release: make(chan struct{})}
	g := open(m)
	for g.Read(ctx) != nil {
		pause(ctx)
	}
	for i := range 20 {
		result, err := g.Propose(ctx, []byte(fmt.Sprint(i)))
		assert.NilError(t, err)
		assert.Equal(t, string(result), fmt.Sprint(i+1))
	}
	close(m.release)
	assert.NilError(t, g.Close())

	restarted := &commandRecorder{}
	g = open(restarted)
	for g.Read(ctx) != nil {
		pause(ctx)
	}
	assert.DeepEqual(t, restarted.all(), m.all())
	assert.NilError(t, g.Close())
}
