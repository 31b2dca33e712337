// Package replica keeps a replicated log between control hosts and applies it
// to a deterministic state machine.
package replica

import "io"

// StateMachine is a state machine that a log group replicates. Its methods are
// called by one goroutine at a time.
type StateMachine interface {
	// Apply carries out a committed command. unixMillis is the leader's wall
	// time when it was proposed; it may go backwards after a leader change.
	Apply(index uint64, unixMillis int64, command []byte) (result []byte)
	// Snapshot writes the whole state.
	Snapshot(w io.Writer) error
	// Restore replaces the state by one that Snapshot wrote.
	Restore(r io.Reader) error
}

// Capturer is a Machine that can write a snapshot while it applies further
// commands. Without it, commands wait until the snapshot is written.
type Capturer interface {
	// Capture returns a function that writes the state as it is now. That
	// function is called on another goroutine.
	Capture() (write func(w io.Writer) error)
}
