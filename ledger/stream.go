package ledger

import "errors"

// RecordStream records the software version of the backend server that begins a
// stream. An attempt that moved to another server before the first event records
// the stream again. A record of a lower attempt is late: it keeps the version. All
// records of one attempt name the same version. A record may only extend the
// expiry.
type RecordStream struct {
	Stream    string `json:"stream"`            // id of the request that the stream answers
	Service   string `json:"service,omitempty"` // service of the server
	Version   string `json:"version"`           // empty if the server names no version
	Attempt   int    `json:"attempt,omitempty"` // number of the attempt; that of ReserveTurn is 0
	Retention int64  `json:"retention"`         // milliseconds from now
}

// LookupStream reads the record of a stream. It is a command and not a Query, so
// that a leader that has been replaced cannot answer from an old state.
type LookupStream struct {
	Stream string `json:"stream"`
}

// StreamState is the record of a stream. Known is false if there is none or if
// it has expired.
type StreamState struct {
	Stream  string `json:"stream"`
	Service string `json:"service,omitempty"`
	Version string `json:"version,omitempty"`
	Known   bool   `json:"known"`
}

// streamRecord is the service and the software version at which a stream began.
type streamRecord struct {
	Service string `json:"service,omitempty"`
	Version string `json:"version,omitempty"`
	Attempt int    `json:"attempt,omitempty"`
	Expires int64  `json:"expires"` // milliseconds of the machine's clock
}

// keptStream is a streamRecord in a snapshot.
type keptStream struct {
	Stream string `json:"stream"`
	streamRecord
}

func (c *RecordStream) check() error {
	return errors.Join(
		checkID("stream", c.Stream), checkLength("service", c.Service), checkLength("version", c.Version),
		checkAmount("attempt", int64(c.Attempt)), checkAmount("retention", c.Retention))
}

func (c *LookupStream) check() error { return checkID("stream", c.Stream) }

func (m *StateMachine) recordStream(c *RecordStream) Result {
	m.setStream(c.Stream, streamRecord{Service: c.Service, Version: c.Version, Attempt: c.Attempt}, c.Retention)
	return Result{Stream: m.stream(c.Stream)}
}

func (m *StateMachine) lookupStream(c *LookupStream) Result {
	return Result{Stream: m.stream(c.Stream)}
}

// setStream records a stream, which expires after the retention.
func (m *StateMachine) setStream(id string, r streamRecord, retention int64) {
	r.Expires = m.clock + retention
	if old, ok := m.turns.streams[id]; ok && old.Expires > m.clock {
		expires := max(r.Expires, old.Expires)
		if old.Attempt > r.Attempt {
			r = old
		}
		r.Expires = expires
	}
	m.turns.streams[id] = r
}

// stream returns the state of a stream, which is unknown from its expiry on,
// before the sweep that removes it.
func (m *StateMachine) stream(id string) *StreamState {
	r, ok := m.turns.streams[id]
	if !ok || r.Expires <= m.clock {
		return &StreamState{Stream: id}
	}
	return &StreamState{Stream: id, Service: r.Service, Version: r.Version, Known: true}
}
