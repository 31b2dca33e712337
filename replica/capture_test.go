package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
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

// failingRecorder is a commandRecorder that stops its replica at its third command.
type failingRecorder struct {
	commandRecorder
	fail func(error)
}

func (f *failingRecorder) Apply(index uint64, unixMillis int64, command []byte) []byte {
	result := f.commandRecorder.Apply(index, unixMillis, command)
	if string(result) == "3" {
		f.fail(errors.New("wrong state"))
	}
	return result
}

// Guards against a snapshot of the state after a command that has failed on this
// replica alone, and against further commands that are applied to it.
func TestFailedStateMachineIsNotSaved(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx := testContext(t)
	fs := faults.NewDisk()
	m := &failingRecorder{}
	// A snapshot is due at the membership, the no-op entry and three commands.
	g, err := Open(Config{ID: "a", Peers: []string{"a"}, Dir: "data"}, m, &memoryTransport{},
		WithFS(fs), WithTiming(testTiming), WithSnapshots(5, 1<<30, 2))
	assert.NilError(t, err)
	m.fail = g.Fail
	for g.Read(ctx) != nil {
		pause(ctx)
	}
	var proposals sync.WaitGroup
	for i := range 8 {
		proposals.Go(func() { _, _ = g.Propose(ctx, []byte(fmt.Sprint(i))) })
	}
	proposals.Wait()
	assert.NilError(t, g.Close())
	assert.Equal(t, len(m.all()), 3)
	names, err := fs.List("data")
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(strings.Join(names, " "), "snapshot-"), names)
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
