package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/board"
	"github.com/sycamoreline/sycamoreline/caller"
	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/sse"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	benchSamples    = 40
	benchTokens     = 64
	benchEventBytes = 1 << 16
	benchTeam       = "tailor-paws"
)

// memoryLedger is an in-memory ledger without replication.
type memoryLedger struct {
	mu           sync.Mutex
	stateMachine *ledger.StateMachine
}

func (m *memoryLedger) apply(c ledger.Command) (ledger.Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.stateMachine.ApplyCommand(time.Now().UnixMilli(), c)
	return r, refusalError(r.Refusal)
}

func (m *memoryLedger) query(q ledger.Query) (ledger.QueryResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.stateMachine.Answer(q)
	return r, refusalError(r.Refusal)
}

func refusalError(r *ledger.Refusal) error {
	if r == nil {
		return nil
	}
	return verdict.New(r.Verdict, r.Reason, r.Message)
}

func programOf(r ledger.Result, err error) (ledger.ProgramState, error) {
	if err != nil {
		return ledger.ProgramState{}, err
	}
	return *r.Program, nil
}

func callOf(r ledger.Result, err error) (ledger.CallState, error) {
	if err != nil {
		return ledger.CallState{}, err
	}
	return *r.Call, nil
}

func (m *memoryLedger) OpenProgram(_ context.Context, c ledger.OpenProgram) (ledger.ProgramState, error) {
	return programOf(m.apply(ledger.Command{OpenProgram: &c}))
}

func (m *memoryLedger) EndProgram(_ context.Context, c ledger.EndProgram) (ledger.ProgramState, error) {
	return programOf(m.apply(ledger.Command{EndProgram: &c}))
}

func (m *memoryLedger) OpenCall(_ context.Context, c ledger.OpenCall) (ledger.CallState, error) {
	return callOf(m.apply(ledger.Command{OpenCall: &c}))
}

func (m *memoryLedger) MarkSent(_ context.Context, c ledger.MarkSent) (ledger.CallState, error) {
	return callOf(m.apply(ledger.Command{MarkSent: &c}))
}

func (m *memoryLedger) SettleCall(_ context.Context, c ledger.SettleCall) (ledger.CallState, error) {
	return callOf(m.apply(ledger.Command{SettleCall: &c}))
}

func (m *memoryLedger) TakeOver(_ context.Context, _ ledger.CallState, c ledger.TakeOver) (ledger.CallState, error) {
	return callOf(m.apply(ledger.Command{TakeOver: &c}))
}

func (m *memoryLedger) Program(_ context.Context, q ledger.ProgramQuery) (ledger.ProgramState, error) {
	r, err := m.query(ledger.Query{Program: &q})
	if err != nil {
		return ledger.ProgramState{}, err
	}
	return *r.Program, nil
}

func (m *memoryLedger) Call(_ context.Context, q ledger.CallQuery) (ledger.CallState, error) {
	r, err := m.query(ledger.Query{Call: &q})
	if err != nil {
		return ledger.CallState{}, err
	}
	return *r.Call, nil
}

func (m *memoryLedger) History(_ context.Context, q ledger.HistoryQuery) ([]ledger.Message, error) {
	r, err := m.query(ledger.Query{History: &q})
	return r.History, err
}

// startBenchDeployment starts a local deployment with one engine that takes the
// given time per answer token and no time otherwise.
func startBenchDeployment(b *testing.B, decode time.Duration) *localDeployment {
	b.Helper()
	d, err := newLocalDeployment(b.TempDir())
	assert.NilError(b, err)
	common := d.standIns[0].settings
	e, err := engine.NewStandIn(engine.StandInSettings{
		Settings: common, Models: []membership.Model{{Name: "pattern-7b", Version: "v1"}},
		Slots: 8, DecodeMicroseconds: decode.Microseconds(), AnswerTokens: benchTokens, CacheTokens: 1 << 20,
	})
	assert.NilError(b, err)
	d.engines = []*engine.StandIn{e}
	d.standIns = []localStandIn{{"stand-in-engine", common, e}}
	o := output{out: b.Output(), errs: b.Output()}
	app := fx.New(d.modules(o.logger("error")), withoutFxLog(), fx.StartTimeout(startTimeout), fx.StopTimeout(startTimeout))
	assert.NilError(b, app.Start(b.Context()))
	b.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
		defer cancel()
		assert.Check(b, app.Stop(ctx))
		d.Close()
	})
	assert.NilError(b, d.waitReady(b.Context()))
	return d
}

// startMemoryEntry starts an entry host with an in-memory ledger on the
// deployment's engine, and returns its base URL.
func startMemoryEntry(b *testing.B, d *localDeployment) string {
	b.Helper()
	credentials, err := openCredentials(d.entries[0].CredentialsFile, zap.NewNop())
	assert.NilError(b, err)
	engines := engine.NewClient()
	state := board.New()
	dispatcher := dispatch.New(dispatch.Config{
		Host: "memory", Incarnation: "1", Ledger: &memoryLedger{stateMachine: ledger.New()}, Engines: engines,
		Prober: serverProber{engines: engines}, LeaseTTL: time.Hour, Board: state, Clock: monotonicClock(),
	})
	state.ApplyMembers(membership.Difference{Revision: 1, Hosts: 1, Servers: []membership.Server{
		{Announcement: d.engines[0].Announcement()},
	}})
	state.ExtendLease(time.Hour)
	s := httptest.NewServer(caller.New(dispatcher, caller.WithAuthenticator(credentials)))
	b.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		s.Close()
		dispatcher.Close()
		engines.Close()
	})
	return s.URL
}

type streamTimes struct {
	firstEvent []time.Duration // time until the first event
	total      []time.Duration
}

func (s *streamTimes) add(first, total time.Duration) {
	s.firstEvent = append(s.firstEvent, first)
	s.total = append(s.total, total)
}

func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}

// measureStream sends a request and records the times until its first event and
// until [DONE].
func (s *streamTimes) measureStream(b *testing.B, url string, h http.Header, body any) {
	b.Helper()
	data, err := json.Marshal(body)
	assert.NilError(b, err)
	r, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url, bytes.NewReader(data))
	assert.NilError(b, err)
	r.Header = h
	start := time.Now()
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(b, err)
	defer resp.Body.Close()
	assert.Equal(b, resp.StatusCode, http.StatusOK)
	events := sse.NewReader(resp.Body, benchEventBytes)
	var first time.Duration
	for n := 0; ; n++ {
		event, err := events.Next()
		assert.NilError(b, err)
		if n == 0 {
			first = time.Since(start)
		}
		if string(event) == "[DONE]" {
			assert.Assert(b, n > benchTokens, "%d events", n)
			break
		}
	}
	s.add(first, time.Since(start))
}

var benchMessages = []ledger.Message{{Role: "user", Content: "a coat for a dog"}}

func (s *streamTimes) measureDirect(b *testing.B, d *localDeployment) {
	b.Helper()
	s.measureStream(b, "http://"+d.standIns[0].settings.Listen+"/v1/chat/completions",
		http.Header{
			"Content-Type":     {"application/json"},
			backend.HeaderCall: {backend.CallID{Program: rand.Text(), Call: 1, Attempt: 1}.String()},
		},
		struct {
			Model    string           `json:"model"`
			Messages []ledger.Message `json:"messages"`
			Stream   bool             `json:"stream"`
		}{"pattern-7b", benchMessages, true})
}

// measureEntry measures a call of a new program, which is opened before the
// measurement.
func (s *streamTimes) measureEntry(b *testing.B, url, token string) {
	b.Helper()
	client := caller.NewClient([]string{url}, token)
	program, err := client.Open(b.Context(), rand.Text(), "", struct {
		Class  ledger.Class  `json:"class"`
		Budget ledger.Budget `json:"budget"`
	}{ledger.Standard, ledger.Budget{Tokens: 10_000, Calls: 1}})
	assert.NilError(b, err)
	s.measureStream(b, fmt.Sprintf("%s/v1/programs/%s/calls", url, program.Program),
		http.Header{"Content-Type": {"application/json"}, "Authorization": {"Bearer " + token}, caller.HeaderKey: {"k"}},
		struct {
			Model     string           `json:"model"`
			Messages  []ledger.Message `json:"messages"`
			MaxTokens int              `json:"max-tokens"`
			Stream    bool             `json:"stream"`
		}{"pattern-7b", benchMessages, benchTokens, true})
	_, err = client.End(b.Context(), program.Program, ledger.ProgramDone)
	assert.NilError(b, err)
}

// BenchmarkAddedLatency reports the median latency that an entry host adds to a
// streamed answer, with an in-memory ledger and with a ledger on three control
// hosts. Samples of the direct, in-memory and replicated paths alternate. The
// added time per token excludes the first token. It is largest with the unpaced
// engine, which takes no time per token.
func BenchmarkAddedLatency(b *testing.B) {
	for _, e := range []struct {
		name   string
		decode time.Duration
	}{{"unpaced", 0}, {"paced", time.Millisecond}} {
		b.Run(e.name, func(b *testing.B) { benchmarkAddedLatency(b, e.decode) })
	}
}

func benchmarkAddedLatency(b *testing.B, decode time.Duration) {
	d := startBenchDeployment(b, decode)
	memoryURL, replicatedURL, token := startMemoryEntry(b, d), d.entryURLs()[0], d.credentials[benchTeam]
	for b.Loop() {
		var direct, inMemory, replicated streamTimes
		for range benchSamples {
			direct.measureDirect(b, d)
			inMemory.measureEntry(b, memoryURL, token)
			replicated.measureEntry(b, replicatedURL, token)
		}
		first, total := median(direct.firstEvent), median(direct.total)
		for _, p := range []struct {
			name  string
			times streamTimes
		}{{"memory", inMemory}, {"durable", replicated}} {
			addedFirst, addedTotal := median(p.times.firstEvent)-first, median(p.times.total)-total
			b.ReportMetric(microseconds(addedFirst), p.name+"-first-added-us")
			b.ReportMetric(microseconds(addedTotal), p.name+"-whole-added-us")
			b.ReportMetric(microseconds(addedTotal-addedFirst)/benchTokens, p.name+"-added-us/token")
			b.ReportMetric(microseconds(slices.Max(p.times.total)), p.name+"-whole-max-us")
		}
		b.ReportMetric(microseconds(first), "direct-first-us")
		b.ReportMetric(microseconds(total), "direct-whole-us")
	}
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
