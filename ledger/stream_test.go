package ledger

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoreline/sycamoreline/verdict"
)

func recordTestStream(m *StateMachine, now int64, stream, version string, retention int64) Result {
	return m.ApplyCommand(now, Command{RecordStream: &RecordStream{Stream: stream, Version: version, Retention: retention}})
}

func lookupTestStream(m *StateMachine, now int64, stream string) StreamState {
	return *m.ApplyCommand(now, Command{LookupStream: &LookupStream{Stream: stream}}).Stream
}

// Guards against a stream whose version is lost when its attempt moves to
// another server, a server without a version that counts as unknown, a record
// that is read after its expiry, and a late record that shortens the retention.
func TestRecordStream(t *testing.T) {
	m := New()
	assert.DeepEqual(t, lookupTestStream(m, 0, "a"), StreamState{Stream: "a"})
	r := recordTestStream(m, 0, "a", "v1", 1000)
	assert.DeepEqual(t, r, Result{Stream: &StreamState{Stream: "a", Version: "v1", Known: true}})
	recordTestStream(m, 100, "a", "v1.1", 500)
	assert.DeepEqual(t, lookupTestStream(m, 999, "a"), StreamState{Stream: "a", Version: "v1.1", Known: true})
	assert.DeepEqual(t, lookupTestStream(m, 1000, "a"), StreamState{Stream: "a"})
	assert.DeepEqual(t, lookupTestStream(m, 0, "a"), StreamState{Stream: "a"}) // the clock does not go back

	recordTestStream(m, 1000, "b", "", 1000)
	assert.DeepEqual(t, lookupTestStream(m, 1001, "b"), StreamState{Stream: "b", Known: true})
	recordTestStream(m, 1001, "b", "v2", 1000)
	assert.DeepEqual(t, lookupTestStream(m, 2000, "b"), StreamState{Stream: "b", Version: "v2", Known: true})
}

// Guards against a stream that is resumed at the version of an earlier attempt
// because a command of that attempt is applied again, or late, after the record
// of a later one, and against such a record that lasts shorter than either
// command asks for.
func TestLateRecordKeepsVersion(t *testing.T) {
	record := func(attempt int, version string) Command {
		return Command{RecordStream: &RecordStream{Stream: "a", Version: version, Attempt: attempt, Retention: 1000}}
	}
	reserve := Command{ReserveTurn: &ReserveTurn{
		Program: "p", Turn: "a", Budget: 10, MaxTokens: 1, StreamVersion: "v1", StreamRetention: 1000,
	}}
	tests := []struct {
		name     string
		commands []Command
		version  string
	}{
		{"reservation", []Command{reserve, record(2, "v2"), reserve}, "v2"},
		{"reservation after first attempt", []Command{record(1, "v2"), reserve}, "v2"},
		{"record", []Command{record(1, "v1"), record(2, "v2"), record(1, "v1")}, "v2"},
		{"record of a server without version", []Command{record(1, ""), record(2, "v2"), record(1, "")}, "v2"},
		{"record before one of a server without version", []Command{record(1, "v1"), record(2, ""), record(1, "v1")}, ""},
		{"two records", []Command{record(3, "v3"), record(1, "v1"), record(2, "v2")}, "v3"},
		{"back to the first version", []Command{reserve, record(2, "v2"), record(3, "v1"), record(2, "v2"), reserve}, "v1"},
		{"in order", []Command{reserve, reserve, record(2, "v2"), record(2, "v2"), record(3, "v3")}, "v3"},
		{"without attempts", []Command{record(0, "v1"), record(0, "v2")}, "v2"}, // as older hosts send them
	}
	for _, tt := range tests {
		m := New()
		now := int64(0)
		for _, c := range tt.commands {
			now += 100
			assert.Assert(t, m.ApplyCommand(now, c).Refusal == nil, tt.name)
			m = restored(t, m)
		}
		assert.DeepEqual(t, lookupTestStream(m, now+999, "a"), StreamState{Stream: "a", Version: tt.version, Known: true})
		assert.DeepEqual(t, lookupTestStream(m, now+1000, "a"), StreamState{Stream: "a"})
	}
}

// Guards against a turn that is reserved without the version of its stream, a
// refused turn that leaves a record, and a turn that takes up a stream without
// the version at which the stream began.
func TestReserveTurnRecordsAndResumesStreams(t *testing.T) {
	m := New()
	reserve := func(turn, version, resumes string, tokens int64) Result {
		return m.ApplyCommand(1, Command{ReserveTurn: &ReserveTurn{
			Program: "p", Turn: turn, Budget: 10, MaxTokens: tokens, StreamVersion: version, StreamRetention: 1000, Resumes: resumes,
		}})
	}
	r := reserve("a", "v1", "", 4)
	assert.Assert(t, r.Refusal == nil)
	assert.Assert(t, r.Turn.Resumed == nil)
	m = restored(t, m)
	assert.DeepEqual(t, lookupTestStream(m, 1, "a"), StreamState{Stream: "a", Version: "v1", Known: true})

	r = reserve("b", "", "a", 4)
	assert.DeepEqual(t, r.Turn.Resumed, &StreamState{Stream: "a", Version: "v1", Known: true})
	assert.DeepEqual(t, lookupTestStream(m, 1, "b"), StreamState{Stream: "b"})
	assert.DeepEqual(t, reserve("c", "v2", "never", 1).Turn.Resumed, &StreamState{Stream: "never"})

	r = reserve("d", "v2", "a", 10)
	assert.Equal(t, r.Refusal.Reason, verdict.BudgetExceeded)
	assert.DeepEqual(t, lookupTestStream(m, 1, "d"), StreamState{Stream: "d"})
	unknown := m.ApplyCommand(1, Command{ReserveTurn: &ReserveTurn{
		Program: "p", Turn: "e", Previous: "never", Budget: 10, StreamVersion: "v2", StreamRetention: 1000,
	}})
	assert.Equal(t, unknown.Refusal.Reason, UnknownTurn)
	assert.DeepEqual(t, lookupTestStream(m, 1, "e"), StreamState{Stream: "e"})
}

// Guards against commands about streams that are applied although an id is
// missing or a value is out of range.
func TestInvalidStreamCommands(t *testing.T) {
	long := strings.Repeat("x", MaxIDBytes+1)
	reserve := func(c ReserveTurn) Command {
		c.Program, c.Turn = "p", "a"
		return Command{ReserveTurn: &c}
	}
	tests := []struct {
		name    string
		command Command
	}{
		{"record without stream", Command{RecordStream: &RecordStream{Version: "v1"}}},
		{"record of a long stream", Command{RecordStream: &RecordStream{Stream: long}}},
		{"record of a long version", Command{RecordStream: &RecordStream{Stream: "a", Version: long}}},
		{"record with negative attempt", Command{RecordStream: &RecordStream{Stream: "a", Attempt: -1}}},
		{"record with negative retention", Command{RecordStream: &RecordStream{Stream: "a", Retention: -1}}},
		{"record with excessive retention", Command{RecordStream: &RecordStream{Stream: "a", Retention: maxAmount + 1}}},
		{"lookup without stream", Command{LookupStream: &LookupStream{}}},
		{"two commands", Command{RecordStream: &RecordStream{Stream: "a"}, LookupStream: &LookupStream{Stream: "a"}}},
		{"turn of a long version", reserve(ReserveTurn{StreamVersion: long})},
		{"turn with negative retention", reserve(ReserveTurn{StreamVersion: "v1", StreamRetention: -1})},
		{"turn that resumes a long stream", reserve(ReserveTurn{Resumes: long})},
	}
	for _, tt := range tests {
		m := New()
		r := m.ApplyCommand(1, tt.command)
		assert.Assert(t, r.Refusal != nil, tt.name)
		assert.Equal(t, r.Refusal.Reason, verdict.BadRequest, tt.name)
		assert.Equal(t, len(m.turns.streams)+len(m.turns.accounts), 0, tt.name)
	}
}

// streamTest applies the same commands to a replica that is never restored and
// to others that are restored from snapshots at various moments. expected is the
// model that their results are checked against.
type streamTest struct {
	now      int64
	steady   *StateMachine
	replicas []*StateMachine
	expected map[string]streamRecord
}

const (
	streamTestStreams = 5
	streamTestBudget  = 20
)

func newStreamTest() *streamTest {
	return &streamTest{now: 1_000_000, steady: New(), replicas: []*StateMachine{New(), New()}, expected: map[string]streamRecord{}}
}

func (s *streamTest) apply(t *rapid.T, c Command) Result {
	want := s.steady.ApplyCommand(s.now, c)
	for _, m := range s.replicas {
		assert.DeepEqual(t, m.ApplyCommand(s.now, c), want)
	}
	return want
}

func (s *streamTest) record(stream, service, version string, attempt int, retention int64) {
	expires := s.now + retention
	if r := s.expected[stream]; r.Expires > s.now {
		expires = max(expires, r.Expires)
		if r.Attempt > attempt {
			service, version, attempt = r.Service, r.Version, r.Attempt
		}
	}
	s.expected[stream] = streamRecord{service, version, attempt, expires}
}

func (s *streamTest) state(stream string) StreamState {
	if r, ok := s.expected[stream]; ok && r.Expires > s.now {
		return StreamState{Stream: stream, Service: r.Service, Version: r.Version, Known: true}
	}
	return StreamState{Stream: stream}
}

func drawStream(t *rapid.T) string {
	return fmt.Sprint("stream-", rapid.IntRange(0, streamTestStreams-1).Draw(t, "stream"))
}

func drawVersion(t *rapid.T) string {
	return rapid.SampledFrom([]string{"v1", "v1.1", "v2", ""}).Draw(t, "version")
}

func drawService(t *rapid.T) string {
	return rapid.SampledFrom([]string{"s1", "s2", ""}).Draw(t, "service")
}

func drawRetention(t *rapid.T) int64 {
	return rapid.SampledFrom([]int64{60_000, 5_000, 1, 0}).Draw(t, "retention")
}

func (s *streamTest) recordStream(t *rapid.T) {
	c := &RecordStream{
		Stream: drawStream(t), Service: drawService(t), Version: drawVersion(t), Attempt: rapid.IntRange(0, 3).Draw(t, "attempt"), Retention: drawRetention(t),
	}
	r := s.apply(t, Command{RecordStream: c})
	s.record(c.Stream, c.Service, c.Version, c.Attempt, c.Retention)
	assert.DeepEqual(t, *r.Stream, s.state(c.Stream))
}

// reserveTurn also repeats reservations, since there are few turns.
func (s *streamTest) reserveTurn(t *rapid.T) {
	c := &ReserveTurn{
		Program: "p", Turn: drawStream(t), Budget: streamTestBudget, MaxTokens: rapid.Int64Range(0, 9).Draw(t, "most"),
		StreamService: drawService(t), StreamVersion: drawVersion(t), StreamRetention: drawRetention(t),
	}
	if rapid.Bool().Draw(t, "resumes") {
		c.Resumes = drawStream(t)
	}
	resumed := s.state(c.Resumes)
	r := s.apply(t, Command{ReserveTurn: c})
	if r.Refusal != nil {
		assert.Equal(t, r.Refusal.Reason, verdict.BudgetExceeded)
		return
	}
	if c.StreamVersion != "" {
		s.record(c.Turn, c.StreamService, c.StreamVersion, 0, c.StreamRetention)
	}
	if c.Resumes == "" {
		assert.Assert(t, r.Turn.Resumed == nil)
		return
	}
	assert.DeepEqual(t, *r.Turn.Resumed, resumed)
}

func (s *streamTest) settleTurn(t *rapid.T) {
	s.apply(t, Command{SettleTurn: &SettleTurn{Program: "p", Turn: drawStream(t)}})
}

func (s *streamTest) lookup(t *rapid.T) {
	stream := drawStream(t)
	assert.DeepEqual(t, *s.apply(t, Command{LookupStream: &LookupStream{Stream: stream}}).Stream, s.state(stream))
}

// restore checks that all replicas give the same snapshot and restores one.
func (s *streamTest) restore(t *rapid.T) {
	var want bytes.Buffer
	assert.NilError(t, s.steady.Snapshot(&want))
	for _, m := range s.replicas {
		var got bytes.Buffer
		assert.NilError(t, m.Snapshot(&got))
		assert.Equal(t, got.String(), want.String())
	}
	i := rapid.IntRange(0, len(s.replicas)-1).Draw(t, "replica")
	s.replicas[i] = restored(t, rapid.SampledFrom(append(s.replicas, s.steady)).Draw(t, "source"))
}

func (s *streamTest) advanceClock(t *rapid.T) {
	s.now += rapid.SampledFrom([]int64{1, 500, 4_999, sweepInterval, 61_000, accountRetention}).Draw(t, "milliseconds")
	s.apply(t, Command{Tick: &Tick{}})
}

// check reads the streams of all replicas without a command, which would sweep.
func (s *streamTest) check(t *rapid.T) {
	for _, m := range append(s.replicas, s.steady) {
		for i := range streamTestStreams {
			stream := fmt.Sprint("stream-", i)
			assert.Equal(t, *m.stream(stream), s.state(stream))
		}
	}
}

// Guards against a replica that returns another version of a stream than the
// others because it was restored from a snapshot or swept at another time, a
// version that changes without a command that records one, and a record that is
// lost before its expiry or read after it.
func TestStreamVersionsOfReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStreamTest()
		t.Repeat(map[string]func(*rapid.T){
			"record": s.recordStream, "reserve": s.reserveTurn, "settle": s.settleTurn, "lookup": s.lookup,
			"restore": s.restore, "time": s.advanceClock, "": s.check,
		})
	})
}

// Guards against records of streams that are never removed, or that are removed
// before their expiry.
func TestExpiredStreamsAreRemoved(t *testing.T) {
	m := New()
	recordTestStream(m, 0, "a", "v1", 1000)
	recordTestStream(m, 0, "b", "v1", 2*sweepInterval)
	lookupTestStream(m, sweepInterval, "c")
	assert.Equal(t, len(m.turns.streams), 1)
	assert.Assert(t, lookupTestStream(m, sweepInterval, "b").Known)
}

// Guards against a state that cannot be restored because its snapshot was
// written by a version that recorded no streams, and against a truncated
// snapshot that is restored without some of its streams.
func TestSnapshotsWithoutStreams(t *testing.T) {
	m := New()
	recordTestStream(m, 1, "a", "v1", 1000)
	recordTestStream(m, 1, "b", "v1", 1000)
	assert.NilError(t, m.Restore(strings.NewReader(`{"version":1,"clock":5,"programs":0,"forgotten":0,"turns":1}
{"turn":"t","input":"","output":"","retention":9,"expires":14}
`)))
	assert.Equal(t, len(m.turns.streams), 0)
	assert.Equal(t, len(m.turns.kept), 1)

	recordTestStream(m, 5, "a", "v1", 1000)
	recordTestStream(m, 5, "b", "v1", 1000)
	var b bytes.Buffer
	assert.NilError(t, m.Snapshot(&b))
	text := strings.TrimSpace(b.String())
	truncated := text[:strings.LastIndex(text, "\n")]
	assert.ErrorContains(t, New().Restore(strings.NewReader(truncated)), "read stream 2 of 2")
}
