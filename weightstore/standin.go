package weightstore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/standin"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// StandInSettings are the settings of a stand-in weight store.
type StandInSettings struct {
	// Listen is the address (host:port) to listen on.
	Listen  string         `json:"listen"`
	Weights []SizedWeights `json:"weights"`
	// BytesPerSecond limits the rate of all transfers together; 0 means
	// unlimited.
	BytesPerSecond int64 `json:"bytes-per-second,omitempty"`
	// Transfers is the number of concurrent transfers; further requests are
	// rejected.
	Transfers int `json:"transfers"`
	// CutEvery interrupts every nth transfer once it has sent half the size of
	// the weights; 0 means none. A resumed transfer of at most that size is not
	// interrupted.
	CutEvery int64 `json:"cut-every,omitempty"`
}

// SizedWeights identifies weights and gives their size in bytes.
type SizedWeights struct {
	Weights
	Bytes int64 `json:"bytes"`
}

// Check returns an error with the name of the first invalid field, its value
// and the allowed values.
func (s StandInSettings) Check() error {
	if len(s.Weights) == 0 {
		return fmt.Errorf("field \"weights\": empty: want at least one entry")
	}
	ranges := []standin.Range{
		{Field: "bytes-per-second", Value: s.BytesPerSecond, Min: 0, Max: 1 << 40},
		{Field: "transfers", Value: int64(s.Transfers), Min: 1, Max: 100_000},
		{Field: "cut-every", Value: s.CutEvery, Min: 0, Max: 1 << 40},
	}
	for i, w := range s.Weights {
		if w.Model == "" {
			return fmt.Errorf("field \"weights[%d].model\": empty: want a model name", i)
		}
		ranges = append(ranges, standin.Range{Field: fmt.Sprintf("weights[%d].bytes", i), Value: w.Bytes, Min: 1, Max: 1 << 30})
	}
	return standin.CheckRanges(ranges)
}

// StandIn simulates a weight store with generated weights. It is an
// http.Handler.
type StandIn struct {
	settings      StandInSettings
	etags         map[Weights]string
	sizes         map[Weights]int64
	transfers     chan struct{}
	transferCount atomic.Int64
	start         time.Time // time 0 of bucket

	mu     sync.Mutex
	bucket *Bucket // nil if unlimited
}

// NewStandIn returns a stand-in weight store, or an error if the settings are
// not valid.
func NewStandIn(s StandInSettings) (*StandIn, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	t := &StandIn{
		settings:  s,
		etags:     map[Weights]string{},
		sizes:     map[Weights]int64{},
		transfers: make(chan struct{}, s.Transfers),
		start:     time.Now(),
	}
	if s.BytesPerSecond > 0 {
		t.bucket = NewBucket(s.BytesPerSecond, min(s.BytesPerSecond, chunkBytes))
	}
	for _, w := range s.Weights {
		d := xxhash.New()
		if _, err := io.Copy(d, newContent(w.Weights, w.Bytes)); err != nil {
			return nil, err
		}
		t.etags[w.Weights], t.sizes[w.Weights] = formatETag(d.Sum64()), w.Bytes
	}
	return t, nil
}

// ServeHTTP handles GET /weights, with or without a Range header.
func (t *StandIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/weights" {
		http.NotFound(w, r)
		return
	}
	q := r.URL.Query()
	weights := Weights{Model: q.Get("model"), Version: q.Get("version"), Adapter: q.Get("adapter")}
	size, ok := t.sizes[weights]
	if !ok {
		verdict.Newf(verdict.NotRun, verdict.UnknownModel, "no weights of model %q version %q adapter %q", weights.Model, weights.Version, weights.Adapter).Write(w)
		return
	}
	select {
	case t.transfers <- struct{}{}:
		defer func() { <-t.transfers }()
		t.transfer(w, r, weights, size)
	default:
		verdict.New(verdict.NotRun, verdict.Overloaded, "too many concurrent transfers", verdict.WithRetryAfter(time.Second)).Write(w)
	}
}

func (t *StandIn) transfer(w http.ResponseWriter, r *http.Request, weights Weights, size int64) {
	out := &rateLimitedWriter{ResponseWriter: w, store: t, r: r, remaining: size}
	if n := t.transferCount.Add(1); t.settings.CutEvery > 0 && n%t.settings.CutEvery == 0 {
		out.remaining = size / 2
	}
	w.Header().Set("ETag", t.etags[weights])
	w.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(out, r, "", time.Time{}, newContent(weights, size))
	if out.remaining < 0 {
		panic(http.ErrAbortHandler)
	}
}

// rateLimitedWriter keeps to the rate limit of the store and returns errCut
// after the remaining number of bytes.
type rateLimitedWriter struct {
	http.ResponseWriter
	store     *StandIn
	r         *http.Request
	remaining int64 // negative after an interruption by CutEvery
}

var errCut = errors.New("transfer interrupted by CutEvery")

func (lw *rateLimitedWriter) Write(data []byte) (int, error) {
	if lw.store.bucket != nil {
		lw.store.mu.Lock()
		d := lw.store.bucket.Take(time.Since(lw.store.start), int64(len(data)))
		lw.store.mu.Unlock()
		if !pause.For(lw.r.Context(), d) {
			return 0, lw.r.Context().Err()
		}
	}
	allowed := min(int64(len(data)), max(0, lw.remaining))
	lw.remaining -= int64(len(data))
	n, err := lw.ResponseWriter.Write(data[:allowed])
	if err == nil && lw.remaining < 0 {
		err = errCut
	}
	return n, err
}

// content generates data that depends only on the identity of the weights and
// the offset.
type content struct {
	seed   uint64
	size   int64
	offset int64
}

func newContent(w Weights, size int64) *content {
	return &content{seed: xxhash.Sum64String(w.path()), size: size}
}

// Read implements io.Reader.
func (c *content) Read(p []byte) (int, error) {
	if c.offset >= c.size {
		return 0, io.EOF
	}
	n := 0
	for n < len(p) && c.offset < c.size {
		var word [8]byte
		binary.LittleEndian.PutUint64(word[:], (c.seed+uint64(c.offset/8))*0x9e3779b97f4a7c15)
		m := copy(p[n:], word[c.offset%8:])
		m = int(min(int64(m), c.size-c.offset))
		n += m
		c.offset += int64(m)
	}
	return n, nil
}

// Seek implements io.Seeker.
func (c *content) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += c.offset
	case io.SeekEnd:
		offset += c.size
	}
	if offset < 0 {
		return 0, fmt.Errorf("seek to %d: want 0 or more", offset)
	}
	c.offset = offset
	return offset, nil
}
