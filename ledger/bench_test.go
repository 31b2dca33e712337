package ledger

import (
	"bytes"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	benchDeadline = int64(1) << 40
	benchTurns    = 88
	// benchMessage is the size of a message in bytes: a program with 88 turns of
	// two messages has about 70 kB of text.
	benchMessage = 400
)

// fill opens programs, each with a number of settled calls.
func fill(m *StateMachine, programs, turns int) {
	text := strings.Repeat("x", benchMessage)
	for i := range programs {
		id := benchID(i)
		m.ApplyCommand(1, Command{OpenProgram: &OpenProgram{
			Program: id, Team: "team", Class: Standard, Key: "open", Deadline: benchDeadline,
			Budget: Budget{Tokens: 1 << 40, Calls: 1 << 40},
		}})
		for turn := range turns {
			for _, c := range benchTurn(id, turn, strings.Clone(text)) {
				m.ApplyCommand(2, c)
			}
		}
	}
}

func benchID(i int) string { return fmt.Sprintf("program-%06d", i) }

func benchTurn(id string, turn int, text string) []Command {
	key := fmt.Sprint("key-", turn)
	answer, _ := json.Marshal(text)
	return []Command{
		{OpenCall: &OpenCall{
			Program: id, Team: "team", Key: key, Fingerprint: key, Kind: ModelCall, Name: "model",
			Idempotent: true, WorstCaseTokens: 1000, Host: "entry-1", HostIncarnation: "1", Timeout: 1 << 30,
			Messages: []Message{{"user", text}},
		}},
		{MarkSent: &MarkSent{Program: id, Call: turn + 1, Attempt: 1, Server: "server-" + id[len(id)-2:], ServerIncarnation: "1"}},
		{SettleCall: &SettleCall{
			Program: id, Call: turn + 1, Attempt: 1, Status: CallOK, Tokens: 500, Answer: answer,
			History: []Message{{"assistant", strings.Clone(text)}}, Verdict: verdict.Ran,
		}},
	}
}

// BenchmarkApply measures single commands with many open programs. A turn is
// an open-call, a mark-sent and a settle-call.
func BenchmarkApply(b *testing.B) {
	for _, programs := range []int{1_000, 140_000} {
		m := New()
		fill(m, programs, 1)
		b.Run(fmt.Sprintf("turn/programs=%d", programs), func(b *testing.B) {
			b.ReportAllocs()
			commands := 0
			for i := 0; b.Loop(); i++ {
				id := benchID(i * 7919 % programs)
				for _, c := range benchTurn(id, m.programs[id].CallCount, "text") {
					m.ApplyCommand(3, c)
					commands++
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(commands), "ns/command")
		})
		b.Run(fmt.Sprintf("json-turn/programs=%d", programs), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := benchID(i * 7919 % programs)
				for _, c := range benchTurn(id, m.programs[id].CallCount, "text") {
					data, _ := json.Marshal(c)
					m.Apply(3, data)
				}
			}
		})
		b.Run(fmt.Sprintf("idle-tick/programs=%d", programs), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				m.ApplyCommand(4, Command{Tick: &Tick{}})
			}
		})
		b.Run(fmt.Sprintf("open-and-end/programs=%d", programs), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprint("short-", i)
				m.ApplyCommand(5, Command{OpenProgram: &OpenProgram{Program: id, Team: "team", Key: "open", Deadline: 10}})
				m.ApplyCommand(5, Command{EndProgram: &EndProgram{Program: id, Status: ProgramDone}})
			}
		})
	}
}

// BenchmarkExpiringTick measures a tick with up to 140,000 programs due. One
// tick processes only a batch of them.
func BenchmarkExpiringTick(b *testing.B) {
	m := New()
	for i := 0; b.Loop(); i++ {
		if m.timers.Len() == 0 || i%30 == 0 {
			b.StopTimer()
			m = New()
			fill(m, 140_000, 0)
			b.StartTimer()
		}
		m.ApplyCommand(benchDeadline, Command{Tick: &Tick{}})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// BenchmarkMemory reports the heap per program: open without calls, open with
// 88 turns, and ended, with its calls and history purged.
func BenchmarkMemory(b *testing.B) {
	measure := func(name string, programs int, build func(m *StateMachine)) {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				m := New(WithRetention(0, 0))
				build(m)
				b.ReportMetric(float64(heapBytes()-before)/float64(programs), "bytes/program")
				runtime.KeepAlive(m)
			}
		})
	}
	measure("empty", 140_000, func(m *StateMachine) { fill(m, 140_000, 0) })
	measure("turns=88", 2_000, func(m *StateMachine) { fill(m, 2_000, benchTurns) })
	measure("ended-id", 140_000, func(m *StateMachine) {
		fill(m, 140_000, 1)
		for i := range 140_000 {
			m.ApplyCommand(3, Command{EndProgram: &EndProgram{Program: benchID(i), Status: ProgramDone}})
			m.ApplyCommand(3, Command{ReleaseConfirmed: &ReleaseConfirmed{
				"server-" + benchID(i)[len(benchID(i))-2:], "1", benchID(i),
			}})
		}
	})
}

// BenchmarkStreamMemory reports the heap per record of a stream. Each command has
// strings of its own, as if it had been decoded.
func BenchmarkStreamMemory(b *testing.B) {
	const streams = 100_000
	for b.Loop() {
		before := heapBytes()
		m := New()
		for i := range streams {
			recordTestStream(m, 1, fmt.Sprintf("%016x", i), strings.Clone("v1.1"), 60_000)
		}
		b.ReportMetric(float64(heapBytes()-before)/streams, "bytes/record")
		runtime.KeepAlive(m)
	}
}

// BenchmarkSnapshot measures writing, capturing and restoring a snapshot, and
// reports its size.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []struct{ programs, turns int }{{1_000, 1}, {140_000, 1}, {2_000, benchTurns}} {
		m := New()
		fill(m, size.programs, size.turns)
		var snapshot bytes.Buffer
		b.Run(fmt.Sprintf("write/programs=%d/turns=%d", size.programs, size.turns), func(b *testing.B) {
			for b.Loop() {
				snapshot.Reset()
				if err := m.Snapshot(&snapshot); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(snapshot.Len()), "bytes")
		})
		b.Run(fmt.Sprintf("capture/programs=%d/turns=%d", size.programs, size.turns), func(b *testing.B) {
			for b.Loop() {
				m.Capture()
			}
		})
		b.Run(fmt.Sprintf("read/programs=%d/turns=%d", size.programs, size.turns), func(b *testing.B) {
			for b.Loop() {
				if err := New().Restore(bytes.NewReader(snapshot.Bytes())); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPack measures the compression of a turn of 17 KB of words.
func BenchmarkPack(b *testing.B) {
	var text bytes.Buffer
	for i := 0; text.Len() < 17_000; i++ {
		fmt.Fprintf(&text, "%s-%x ", []string{"the", "ledger", "turn", "of", "host"}[i*i%5], i*7919%4096)
	}
	for b.Loop() {
		k := KeptTurn{Input: text.Bytes()}
		if !k.Pack() {
			b.Fatal("not packed")
		}
		b.ReportMetric(float64(len(k.Packed))/float64(text.Len()), "ratio")
	}
}
