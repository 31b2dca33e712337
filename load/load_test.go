package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/settings"
	"github.com/sycamoreline/sycamoreline/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testSettings() Settings {
	return Settings{
		EntryHosts: []string{"http://entry"}, Workload: TroisSillons, Seed: 1, Run: "r",
		Duration: settings.Duration(60 * time.Second), ProgramsPerSecond: 5,
		CrestFactor: 10, CrestStart: settings.Duration(20 * time.Second), CrestDuration: settings.Duration(20 * time.Second),
		MeanPause: settings.Duration(time.Second), Deadline: settings.Duration(time.Hour),
		Model: "m", Service: "finder", MaxTokens: 64, Attempts: 1, MaxRunning: 10_000,
	}
}

// Guards against plans that are not reproducible, a crest without a higher rate,
// and programs with steps that their workload does not allow.
func TestPlan(t *testing.T) {
	for _, w := range []Workload{TailorPaws, TroisSillons} {
		s := testSettings()
		s.Workload = w
		plan := Plan(s)
		assert.DeepEqual(t, plan, Plan(s))
		inside, outside := 0, 0
		var last time.Duration
		for _, a := range plan {
			assert.Assert(t, a.At >= last && a.At < s.Duration.D())
			last = a.At
			assert.Assert(t, len(a.Steps) >= 1 && len(a.Steps) <= maxConversationTurns)
			if s.inCrest(a.At) {
				inside++
			} else {
				outside++
			}
			for _, step := range a.Steps {
				assert.Equal(t, step.Operation == "", step.Content != "")
				assert.Assert(t, step.Operation != "cut-order" || !step.Idempotent)
			}
		}
		// 20 s at 50/s and 40 s at 5/s; ten standard deviations on each side.
		assert.Assert(t, inside > 680 && inside < 1320, "%d", inside)
		assert.Assert(t, outside > 60 && outside < 340, "%d", outside)
	}
}

// fakeEntryHost answers each request to the caller API after a delay.
type fakeEntryHost struct {
	delay  func() time.Duration
	refuse bool
}

func (e *fakeEntryHost) RoundTrip(r *http.Request) (*http.Response, error) {
	if !pause.For(r.Context(), e.delay()) {
		return nil, r.Context().Err()
	}
	w := httptest.NewRecorder()
	switch {
	case e.refuse:
		verdict.New(verdict.NotRun, verdict.Overloaded, "busy").Write(w)
	case strings.HasSuffix(r.URL.Path, "/calls"):
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Sycamoreline-Call", "1")
		_, _ = io.WriteString(w, `data: {"choices":[{"delta":{"content":"a"}}]}`+"\n\n"+
			`data: {"choices":[{"delta":{"content":"b"}}]}`+"\n\ndata: [DONE]\n\n")
	default:
		w.Header().Set("Sycamoreline-Call", "1")
		w.Header().Set(verdict.HeaderVerdict, "ran") // set by entry hosts on tool results
		_, _ = io.WriteString(w, `{"program":"p"}`)
	}
	return w.Result(), nil
}

// Guards against coordinated omission: a server that stalls must show in the
// latency of every program that arrived during the stall.
func TestStandstillShowsInLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		stalled := &fakeEntryHost{delay: func() time.Duration {
			return max(0, 30*time.Second-time.Since(start)) // nothing is answered for 30 s
		}}
		s := testSettings()
		var progress bytes.Buffer
		r, err := Run(t.Context(), s, &progress, WithTransport(stalled))
		assert.NilError(t, err)
		assert.Equal(t, r.Programs.Finished, r.Programs.Scheduled)
		assert.Equal(t, r.Programs.Scheduled, int64(len(Plan(s))))
		assert.Equal(t, len(r.Responses), 1, "%v", r.Responses)
		late := 0
		for _, a := range Plan(s) {
			if a.Kind == KioskLookup && a.At < 20*time.Second {
				late++
			}
		}
		h := r.histograms[KioskLookup].program
		var above int64
		for _, bar := range h.Distribution() {
			if bar.From >= 9_900_000 { // arrived 10 s or more before the end of the stall
				above += bar.Count
			}
		}
		assert.Assert(t, above >= int64(late), "%d of %d", above, late)
		// A higher latency means that a program waited for another one.
		assert.Assert(t, r.Kinds[KioskLookup].Program.Max < 30_100, "%v", r.Kinds[KioskLookup].Program.Max)
		assert.Equal(t, r.Kinds[KioskLookup].FirstToken.Count, r.Kinds[KioskLookup].TokenGap.Count)
		assert.Assert(t, strings.Contains(progress.String(), " 30s: "))
	})
}

// Guards against rejections that are not counted, and against a generator that
// exceeds MaxRunning.
func TestRefusedAndNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testSettings()
		s.MaxRunning = 2
		busy := &fakeEntryHost{refuse: true, delay: func() time.Duration { return 10 * time.Second }}
		r, err := Run(t.Context(), s, io.Discard, WithTransport(busy))
		assert.NilError(t, err)
		assert.Assert(t, r.Programs.Refused > 0 && r.Programs.NotStarted > 0)
		assert.Equal(t, r.Programs.Refused+r.Programs.NotStarted, r.Programs.Scheduled)
		assert.Equal(t, r.Responses["not-run"], r.Programs.Refused)
		assert.Equal(t, r.Reasons["overloaded"], r.Programs.Refused)
	})
}

// Guards against a run that cannot be stopped or loses its measurements, and
// against results that cannot be written.
func TestInterruptedRunHasAResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		r, err := Run(ctx, testSettings(), io.Discard, WithTransport(&fakeEntryHost{delay: func() time.Duration { return time.Second }}))
		assert.NilError(t, err)
		assert.Assert(t, r.Interrupted && r.Programs.Finished > 0)
		data, err := json.Marshal(r)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Contains(data, []byte(`"p99-ms"`)))
		var svg bytes.Buffer
		assert.NilError(t, r.WriteSVG(&svg))
		assert.Assert(t, strings.Contains(svg.String(), "</svg>"))
	})
}

// Guards against invalid settings that are accepted.
func TestSettingsCheck(t *testing.T) {
	tests := []struct {
		change func(*Settings)
		want   string
	}{
		{func(*Settings) {}, ""},
		{func(s *Settings) { s.EntryHosts = nil }, "entry-hosts"},
		{func(s *Settings) { s.EntryHosts = []string{"127.0.0.1:1"} }, "want a URL such as"},
		{func(s *Settings) { s.Workload = "cats" }, "want tailor-paws or trois-sillons"},
		{func(s *Settings) { s.ProgramsPerSecond = 0 }, "programs-per-second"},
		{func(s *Settings) { s.CrestFactor = 0.5 }, "want 1 to 1000"},
		{func(s *Settings) { s.Deadline = 0 }, "deadline"},
		{func(s *Settings) { s.MaxRunning = 0 }, "max-running"},
	}
	for _, tt := range tests {
		s := testSettings()
		tt.change(&s)
		err := s.Check()
		if tt.want == "" {
			assert.NilError(t, err)
			continue
		}
		assert.ErrorContains(t, err, tt.want)
	}
}
