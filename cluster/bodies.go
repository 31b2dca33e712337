package cluster

import (
	"sync/atomic"

	"github.com/sycamoreline/sycamoreline/disk"
	"github.com/sycamoreline/sycamoreline/ledger"
)

// segmentBodies stores the bodies of a partition in its segments.
type segmentBodies struct {
	segments *disk.Segments
	failure  atomic.Pointer[error] // of a Read or a command
}

// Append implements ledger.Bodies.
func (b *segmentBodies) Append(body []byte) (ledger.BodyRef, error) {
	r, err := b.segments.Append(body)
	return ledger.BodyRef(r), err
}

// Read implements ledger.Bodies.
func (b *segmentBodies) Read(r ledger.BodyRef) ([]byte, error) {
	body, err := b.segments.Read(disk.Ref(r))
	if err != nil {
		b.Fail(err)
	}
	return body, err
}

// Fail implements ledger.Bodies.
func (b *segmentBodies) Fail(err error) { b.failure.CompareAndSwap(nil, &err) }

// Hold implements ledger.Bodies.
func (b *segmentBodies) Hold(r ledger.BodyRef) { b.segments.Hold(disk.Ref(r)) }

// Release implements ledger.Bodies.
func (b *segmentBodies) Release(r ledger.BodyRef) { b.segments.Release(disk.Ref(r)) }

// Retain implements ledger.Bodies.
func (b *segmentBodies) Retain(refs []ledger.BodyRef) error {
	used := make([]disk.Ref, len(refs))
	for i, r := range refs {
		used[i] = disk.Ref(r)
	}
	return b.segments.Retain(used)
}
