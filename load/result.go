package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMicroseconds   = int64(24 * time.Hour / time.Microsecond)
	significantDigits = 3
)

// Result is the outcome of a run.
type Result struct {
	Workload    Workload `json:"workload"`
	Seed        uint64   `json:"seed"`
	Interrupted bool     `json:"interrupted,omitempty"`
	Programs    Programs `json:"programs"`
	// Crest counts only the programs that arrived while the rate was raised.
	Crest Programs `json:"crest"`
	// Calls counts calls by outcome: ok or a verdict.
	Calls map[string]int64 `json:"calls"`
	// Responses counts HTTP responses by outcome: answered, connection-failed or
	// the verdict of an error response. It includes the responses to retries.
	Responses map[string]int64 `json:"responses"`
	// Reasons counts rejections and failures by reason, including those that were
	// retried.
	Reasons map[string]int64   `json:"reasons"`
	Kinds   map[Kind]Latencies `json:"kinds"`

	histograms map[Kind]*histograms
}

// Programs counts programs by outcome.
type Programs struct {
	Scheduled  int64 `json:"scheduled"`
	InDeadline int64 `json:"in-deadline"` // finished within the deadline
	Finished   int64 `json:"finished"`
	Refused    int64 `json:"refused"` // rejected with the verdict not-run when opened
	Failed     int64 `json:"failed"`
	NotStarted int64 `json:"not-started"` // arrived while MaxRunning programs ran
}

// Latencies are the latencies of one kind of program.
type Latencies struct {
	// Program is the time from the scheduled arrival to the end of finished
	// programs, without the pauses of the caller.
	Program Quantiles `json:"program"`
	// FirstToken is the time from the scheduled time of a model call to its first
	// token.
	FirstToken Quantiles `json:"first-token"`
	TokenGap   Quantiles `json:"token-gap"`
}

// Quantiles summarise a histogram of latencies in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean-ms"`
	P50   float64 `json:"p50-ms"`
	P90   float64 `json:"p90-ms"`
	P95   float64 `json:"p95-ms"`
	P99   float64 `json:"p99-ms"`
	P999  float64 `json:"p999-ms"`
	Max   float64 `json:"max-ms"`
}

type histograms struct{ program, firstToken, tokenGap *hdrhistogram.Histogram }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicroseconds, significantDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(maxMicroseconds, max(1, d.Microseconds()))) // in range, so never an error
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: h.TotalCount(),
		Mean:  h.Mean() / 1000,
		P50:   milliseconds(h.ValueAtQuantile(50)),
		P90:   milliseconds(h.ValueAtQuantile(90)),
		P95:   milliseconds(h.ValueAtQuantile(95)),
		P99:   milliseconds(h.ValueAtQuantile(99)),
		P999:  milliseconds(h.ValueAtQuantile(99.9)),
		Max:   milliseconds(h.Max()),
	}
}

// recorder collects the measurements of a run.
type recorder struct {
	mu     sync.Mutex
	result Result
}

func newRecorder(s Settings) *recorder {
	return &recorder{result: Result{
		Workload:   s.Workload,
		Seed:       s.Seed,
		Calls:      map[string]int64{},
		Responses:  map[string]int64{},
		Reasons:    map[string]int64{},
		histograms: map[Kind]*histograms{},
	}}
}

func (r *recorder) histogramsOf(k Kind) *histograms {
	h, ok := r.result.histograms[k]
	if !ok {
		h = &histograms{program: newHistogram(), firstToken: newHistogram(), tokenGap: newHistogram()}
		r.result.histograms[k] = h
	}
	return h
}

func (r *recorder) countResponse(outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Responses[outcome]++
}

func (r *recorder) countReason(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Reasons[reason]++
}

func (r *recorder) countCall(outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Calls[outcome]++
}

func (r *recorder) recordToken(s *streamTimes, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.lastToken.IsZero() {
		record(r.histogramsOf(s.kind).firstToken, now.Sub(s.due))
	} else {
		record(r.histogramsOf(s.kind).tokenGap, now.Sub(s.lastToken))
	}
	s.lastToken = now
}

// countProgram updates the counts of programs, and those of the crest if the
// program arrived during it.
func (r *recorder) countProgram(crest bool, change func(*Programs)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.result.Programs)
	if crest {
		change(&r.result.Crest)
	}
}

func (r *recorder) recordLatency(k Kind, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.histogramsOf(k).program, latency)
}

func (r *recorder) programCounts() Programs {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.result.Programs
}

// summary returns the result. The recorder must not be used afterwards.
func (r *recorder) summary(interrupted bool) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Interrupted = interrupted
	r.result.Kinds = map[Kind]Latencies{}
	for k, h := range r.result.histograms {
		r.result.Kinds[k] = Latencies{
			Program: quantiles(h.program), FirstToken: quantiles(h.firstToken), TokenGap: quantiles(h.tokenGap),
		}
	}
	return r.result
}
