package ledger

import "slices"

// BodyRef locates the input and output of a kept turn in a body store. Its checksum
// covers the position and the contents.
type BodyRef struct {
	Segment uint64 `json:"segment"`
	Offset  int64  `json:"offset"`
	Length  int    `json:"length"`
	Sum     uint32 `json:"sum"`
}

// Bodies stores the inputs and outputs of kept turns outside of memory. References
// may differ between the replicas of a group.
type Bodies interface {
	// Append stores a body, which is not empty.
	Append(body []byte) (BodyRef, error)
	Read(r BodyRef) ([]byte, error)
	// Hold tells that a command is going to read a body: until a snapshot of the state
	// after the command is durable, a replay of the log must be able to read the body
	// too, also if it has been released.
	Hold(r BodyRef)
	// Fail tells that a command has failed on this replica alone, which must stop.
	Fail(err error)
	// Release tells that a body is no longer used.
	Release(r BodyRef)
	// Retain declares that exactly the given bodies are used. It returns an error
	// if one of them is missing.
	Retain(refs []BodyRef) error
}

// WithBodies stores the inputs and outputs of kept turns in b. Those that cannot be
// stored stay in memory, as all do without this option. Unlike other options, it may
// differ between the replicas of a group.
func WithBodies(b Bodies) Option { return func(o *options) { o.bodies = b } }

// WithInlineBodies keeps bodies of up to n bytes together in memory, and stores only
// those beyond. Without it, all bodies are stored. It may differ between the replicas
// of a group.
func WithInlineBodies(n int) Option { return func(o *options) { o.inlineBytes = n } }

// bytes returns the size of the input and output.
func (k *keptTurn) bytes() int {
	switch {
	case k.Size > 0:
		return k.Size
	case k.Body != nil:
		return k.Body.Length
	}
	return len(k.Input) + len(k.Output)
}

// inlineBytes returns the size of what the turn holds in memory.
func (k *keptTurn) inlineBytes() int { return len(k.Packed) + len(k.Input) + len(k.Output) }

// body returns the input and output of a kept turn.
func (m *StateMachine) body(k *keptTurn) ([]byte, error) {
	body := k.Packed
	switch {
	case k.Body != nil:
		var err error
		if body, err = m.bodies.Read(*k.Body); err != nil {
			return nil, err
		}
	case k.Size == 0:
		return slices.Concat(k.Input, k.Output), nil
	}
	if k.Size > 0 {
		return unpack(body, k.Size)
	}
	return body, nil
}

// storeBody moves the input and output of a turn to the body store.
func (m *StateMachine) storeBody(k *keptTurn) {
	if m.bodies == nil || k.Body != nil || k.bytes() == 0 {
		return
	}
	if m.inlineBytes+k.inlineBytes() <= m.options.inlineBytes {
		m.inlineBytes += k.inlineBytes()
		return
	}
	r, err := m.bodies.Append(slices.Concat(k.Packed, k.Input, k.Output))
	if err != nil {
		m.inlineBytes += k.inlineBytes()
		return
	}
	k.Packed, k.Input, k.Output, k.Body = nil, nil, nil, &r
}

// retainBodies declares the bodies in use after a snapshot was read.
func (m *StateMachine) retainBodies() error {
	if m.bodies == nil {
		return nil
	}
	var refs []BodyRef
	for _, k := range m.turns.kept {
		if k.Body != nil {
			refs = append(refs, *k.Body)
		}
	}
	for _, o := range m.turns.outputs {
		if o.Stored != nil {
			refs = append(refs, o.Stored.Body)
		}
	}
	return m.bodies.Retain(refs)
}
