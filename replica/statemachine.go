// Package replica implements the Raft consensus algorithm: a log replicated
// between hosts, whose committed commands are applied to a deterministic state
// machine. It covers elections with pre-vote, log replication, snapshots,
// linearizable reads, leadership transfer and membership changes, and detects
// replicas whose disk was lost or rolled back. It leaves the transport of
// messages and the meaning of commands to its callers.
//
// In a group with fixed membership only lost replicas are replaced, by new
// incarnations with the same id. In an open group, replicas with other ids may
// join and leave.
//
// Start with Group, which runs one replica; Node is the protocol without I/O.
package replica

import (
	"io"

	"github.com/sycamoreline/sycamoreline/disk"
)

// StateMachine is a state machine replicated by a group. Its methods are called
// by one goroutine at a time.
type StateMachine interface {
	// Apply executes a committed command. unixMillis is the wall-clock time of
	// the leader when the command was proposed; it may go backwards after a
	// leader change.
	Apply(index uint64, unixMillis int64, command []byte) (result []byte)
	// Snapshot writes the complete state.
	Snapshot(w io.Writer) error
	// Restore replaces the state with one written by Snapshot.
	Restore(r io.Reader) error
}

// Capturer is implemented by state machines that can write a snapshot while
// they apply further commands. Otherwise, commands wait until the snapshot is
// written.
type Capturer interface {
	// Capture returns a function that writes the state as of this call. The
	// function runs on another goroutine.
	Capture() (write func(w io.Writer) error)
}

// SegmentUser is implemented by state machines that keep a part of their state in
// segments, to which their snapshots refer. Restore must call Retain with all
// references of the snapshot, and the other methods Append and Release.
type SegmentUser interface {
	// UseSegments is called before all other methods. If there is no snapshot, no
	// segment is retained.
	UseSegments(s *disk.Segments)
}
