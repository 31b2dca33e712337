package ledger

import (
	"bytes"
	"encoding/binary"
	"errors"
)

// storedOutput locates the events of a stream whose turn is settled. A record in the
// body store has the ids and lengths of the events. Their data is in the record too or,
// since it takes most of the space, only at the end of the body of a kept turn that is
// kept for at least as long.
type storedOutput struct {
	Body BodyRef `json:"body"`
	Turn string  `json:"turn,omitempty"` // kept turn with the data, or empty
}

var errStoredOutput = errors.New("stored output is malformed")

// storeOutput moves the events of a settled turn to the body store: few of them are
// asked for again, by callers that have lost the end of the response. keep is the kept
// turn if the command has stored it, otherwise nil: that of a duplicate may differ from
// the stored one.
func (m *StateMachine) storeOutput(turn string, keep *KeptTurn) {
	o := m.turns.outputs[turn]
	if m.bodies == nil || m.inlineBytes < m.options.inlineBytes || o == nil || o.Stored != nil || o.current() != turn || len(o.Events) == 0 {
		return
	}
	s := storedOutput{}
	data := o.data(len(o.Events))
	if kept := m.turns.kept[turn]; keep != nil && kept != nil && kept.Expires >= o.Expires && keep.endsWith(data) {
		s.Turn, data = turn, nil
	}
	var record []byte
	for _, e := range o.Events {
		record = binary.AppendUvarint(record, uint64(len(e.ID)))
		record = append(record, e.ID...)
		record = binary.AppendUvarint(record, uint64(len(e.Data)))
	}
	record = append(binary.AppendUvarint(nil, uint64(len(o.Events))), record...)
	var err error
	if s.Body, err = m.bodies.Append(append(record, data...)); err != nil {
		return
	}
	o.Stored, o.Events = &s, nil
}

// loadOutput moves the events of a stream back to memory. After an error, this replica
// must stop, since its state differs from that of the others.
func (m *StateMachine) loadOutput(o *streamOutput) error {
	if o.Stored == nil {
		return nil
	}
	err := m.readOutput(o)
	if err != nil {
		m.bodies.Fail(err)
	}
	return err
}

func (m *StateMachine) readOutput(o *streamOutput) error {
	m.bodies.Hold(o.Stored.Body)
	record, err := m.bodies.Read(o.Stored.Body)
	if err != nil {
		return err
	}
	events, sizes, data, err := decodeOutput(record)
	if err != nil {
		return err
	}
	total := 0
	for _, n := range sizes {
		total += n + 1 // and a line feed
	}
	if k := m.turns.kept[o.Stored.Turn]; k != nil {
		if k.Body != nil {
			m.bodies.Hold(*k.Body)
		}
		if data, err = m.body(k); err != nil {
			return err
		}
	}
	if len(data) < total {
		return errStoredOutput
	}
	data = data[len(data)-total:]
	for i, n := range sizes {
		events[i].Data = bytes.Clone(data[:n])
		data = data[n+1:]
	}
	m.bodies.Release(o.Stored.Body)
	o.Stored, o.Events = nil, events
	return nil
}

// decodeOutput returns the events of a record with their ids and the sizes of their
// data, and the rest of the record.
func decodeOutput(record []byte) (events []OutputEvent, sizes []int, rest []byte, err error) {
	next := func() int {
		v, n := binary.Uvarint(record)
		if n <= 0 || v > maxOutputValue {
			err, record = errStoredOutput, nil
			return 0
		}
		record = record[n:]
		return int(v)
	}
	for range next() {
		n := next()
		if err != nil || n > len(record) {
			return nil, nil, nil, errStoredOutput
		}
		events = append(events, OutputEvent{ID: string(record[:n])})
		record = record[n:]
		sizes = append(sizes, next())
	}
	return events, sizes, record, err
}

// maxOutputValue bounds the counts and sizes in a stored output.
const maxOutputValue = 1 << 30
