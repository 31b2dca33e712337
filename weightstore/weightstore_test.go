package weightstore

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoreline/sycamoreline/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testWeights = Weights{Model: "m", Version: "1"}

func serve(t *testing.T, h http.Handler, opts ...Option) *Client {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	opts = append(opts, WithRandom(rand.New(rand.NewPCG(1, 1))))
	c := NewClient(s.Listener.Addr().String(), 1<<40, opts...)
	t.Cleanup(c.Close)
	return c
}

func newStandIn(t *testing.T, size, cutEvery int64) *StandIn {
	s, err := NewStandIn(StandInSettings{
		Weights: []SizedWeights{{Weights: testWeights, Bytes: size}}, Transfers: 2, CutEvery: cutEvery,
	})
	assert.NilError(t, err)
	return s
}

// Guards against exceeding the rate in any interval, and against waiting
// although bytes are available.
func TestBucketKeepsToItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const perSecond, burst = 1000, 500
		b := NewBucket(perSecond, burst)
		type sample struct {
			at    time.Duration
			total int64
		}
		var now, lastReady time.Duration
		samples := []sample{{}}
		for range rapid.IntRange(1, 50).Draw(t, "takes") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "gap-ms")) * time.Millisecond
			n := rapid.Int64Range(1, 800).Draw(t, "bytes")
			wait := b.Take(now, n)
			latest := sample{now + wait, samples[len(samples)-1].total + n}
			for _, earlier := range samples {
				elapsed := (latest.at - earlier.at).Seconds()
				assert.Assert(t, float64(latest.total-earlier.total) <= burst+perSecond*elapsed+1)
			}
			samples = append(samples, latest)
			assert.Assert(t, now+wait >= lastReady, "served out of order")
			lastReady = now + wait
		}
		assert.Equal(t, b.Take(lastReady+time.Second, burst), time.Duration(0))
	})
}

// Guards against corrupted weights after transfers are interrupted and resumed.
func TestFetchResumesBrokenTransfers(t *testing.T) {
	const size = 300_001
	for _, cutEvery := range []int64{0, 2, 1} {
		var want, got bytes.Buffer
		_, err := io.Copy(&want, newContent(testWeights, size))
		assert.NilError(t, err)
		store := newStandIn(t, size, cutEvery)
		n, err := serve(t, store).Fetch(t.Context(), testWeights, &got)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(size))
		assert.Assert(t, bytes.Equal(want.Bytes(), got.Bytes()))
	}
}

type fullDisk struct{}

func (fullDisk) Write([]byte) (int, error) { return 0, errors.New("disk is full") }

// Guards against retrying permanent errors, and against joining parts of
// different weights when they change between two transfers.
func TestFetchErrors(t *testing.T) {
	first := true
	changing := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if first {
			first = false
			w.Header().Set("ETag", `"old"`)
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half")
			return
		}
		w.Header().Set("ETag", `"new"`)
		http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(make([]byte, 10)))
	})
	tests := []struct {
		name    string
		handler http.Handler
		weights Weights
		out     io.Writer
		reason  verdict.Reason
		message string
	}{
		{"unknown", newStandIn(t, 10, 0), Weights{Model: "n"}, io.Discard, verdict.UnknownModel, `no weights of model "n"`},
		{"disk full", newStandIn(t, 10, 0), testWeights, fullDisk{}, verdict.Internal, "disk is full"},
		{"changed", changing, testWeights, io.Discard, verdict.Conflict, "have changed"},
		{"damaged", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("ETag", `"0"`) }), testWeights, io.Discard, verdict.ServerFailed, "checksum"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := serve(t, tt.handler).Fetch(t.Context(), tt.weights, tt.out)
			assert.ErrorContains(t, err, tt.message)
			assert.Equal(t, verdict.From(err).Reason(), tt.reason)
		})
	}
}

// Guards against a fetch that is retried without end.
func TestFetchGivesUp(t *testing.T) {
	calls := 0
	c := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls++
		verdict.New(verdict.NotRun, verdict.Overloaded, "busy").Write(w)
	}), WithMaxFailures(2))
	_, err := c.Fetch(t.Context(), testWeights, io.Discard)
	assert.ErrorContains(t, err, "busy")
	assert.Equal(t, calls, 2)
}
