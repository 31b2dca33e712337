package control

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/ledger"
)

const (
	benchGroups  = 2
	benchSamples = 200
	benchCallers = 64
	benchTimeout = 2 * time.Minute
)

// startBenchHosts starts three control hosts that write to real files, and
// returns a client of them.
func startBenchHosts(b *testing.B) *Client {
	b.Helper()
	key, err := NewKey("a key of the benchmarks")
	assert.NilError(b, err)
	var addresses []HostAddress
	var listeners []net.Listener
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // listening on loopback does not block
		assert.NilError(b, err)
		listeners = append(listeners, l)
		addresses = append(addresses, HostAddress{ID: fmt.Sprintf("control-%d", i+1), Address: l.Addr().String()})
	}
	folder := b.TempDir()
	for i, l := range listeners {
		h, err := StartHost(HostConfig{
			ID: addresses[i].ID, Hosts: addresses, ProgramGroups: benchGroups, Key: key, LeaseTTL: 1500 * time.Millisecond,
			DataFolder: filepath.Join(folder, addresses[i].ID),
		}, l, zap.NewNop())
		assert.NilError(b, err)
		b.Cleanup(func() { assert.Check(b, h.Close()) })
	}
	c := NewClient("entry-1", key, addresses, benchGroups)
	b.Cleanup(c.Close)
	return c
}

// openBenchPrograms opens n programs, each for one call of the benchmark.
func openBenchPrograms(ctx context.Context, b *testing.B, p *Programs, prefix string, n int) []string {
	b.Helper()
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("%s-%d", prefix, i)
		_, err := p.OpenProgram(ctx, ledger.OpenProgram{
			Program: ids[i], Team: "a", Class: ledger.Standard, Key: "open-" + ids[i],
			Budget: ledger.Budget{Tokens: 100, Calls: 5}, Deadline: time.Now().Add(time.Hour).UnixMilli(),
		})
		assert.NilError(b, err)
	}
	return ids
}

func openBenchCall(ctx context.Context, p *Programs, program string) error {
	_, err := p.OpenCall(ctx, ledger.OpenCall{
		Program: program, Team: "a", Key: "k", Fingerprint: "f", Kind: ledger.ModelCall, Name: "m", Idempotent: true,
		WorstCaseTokens: 10, Host: "entry-1", HostIncarnation: "1", Timeout: 60_000, Request: "r",
	})
	return err
}

func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}

// fsyncTimer returns a function that appends one block to a file, syncs it and
// returns the elapsed time.
func fsyncTimer(b *testing.B) func() time.Duration {
	b.Helper()
	f, err := os.Create(filepath.Join(b.TempDir(), "sync"))
	assert.NilError(b, err)
	b.Cleanup(func() { f.Close() })
	block := make([]byte, 512)
	return func() time.Duration {
		start := time.Now()
		_, err := f.Write(block)
		assert.NilError(b, err)
		assert.NilError(b, f.Sync())
		return time.Since(start)
	}
}

// roundTripTimer returns a function that sends one block over a TCP connection
// on loopback, waits for its echo and returns the elapsed time.
func roundTripTimer(b *testing.B) func() time.Duration {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // listening on loopback does not block
	assert.NilError(b, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		nc, err := l.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		_, _ = io.Copy(nc, nc)
	}()
	nc, err := net.Dial("tcp", l.Addr().String()) //nolint:noctx // dialling on loopback does not block
	assert.NilError(b, err)
	b.Cleanup(func() {
		nc.Close()
		l.Close()
		<-done
	})
	block := make([]byte, 512)
	return func() time.Duration {
		start := time.Now()
		_, err := nc.Write(block)
		assert.NilError(b, err)
		_, err = io.ReadFull(nc, block)
		assert.NilError(b, err)
		return time.Since(start)
	}
}

// BenchmarkOpenCallDurably reports the median latency of opening a call as a
// multiple of one bare fsync plus one loopback round trip, sampled alternately
// with the calls, and the throughput of 64 concurrent callers as a multiple of
// that of one.
func BenchmarkOpenCallDurably(b *testing.B) {
	p := NewPrograms(startBenchHosts(b))
	ctx, cancel := context.WithTimeout(b.Context(), benchTimeout)
	defer cancel()
	fsync, roundTrip := fsyncTimer(b), roundTripTimer(b)
	round := 0
	for b.Loop() {
		round++
		var calls, syncs, trips []time.Duration
		for _, id := range openBenchPrograms(ctx, b, p, fmt.Sprintf("one-%d", round), benchSamples) {
			syncs = append(syncs, fsync())
			trips = append(trips, roundTrip())
			start := time.Now()
			assert.NilError(b, openBenchCall(ctx, p, id))
			calls = append(calls, time.Since(start))
		}
		var sequential time.Duration
		for _, t := range calls {
			sequential += t
		}
		concurrent := openConcurrently(ctx, b, p, openBenchPrograms(ctx, b, p, fmt.Sprintf("many-%d", round), benchSamples*8))
		call, sync, trip := median(calls), median(syncs), median(trips)
		b.ReportMetric(float64(call.Microseconds()), "us/call")
		b.ReportMetric(float64(sync.Microseconds()), "us/fsync")
		b.ReportMetric(float64(trip.Microseconds()), "us/round-trip")
		b.ReportMetric(float64(call)/float64(sync+trip), "x/fsync+round-trip")
		b.ReportMetric(8*sequential.Seconds()/concurrent.Seconds(), "x-calls/s-of-one-caller")
	}
}

// openConcurrently opens one call in each program from 64 concurrent callers
// and returns the total time.
func openConcurrently(ctx context.Context, b *testing.B, p *Programs, programs []string) time.Duration {
	b.Helper()
	next := make(chan string, len(programs))
	for _, id := range programs {
		next <- id
	}
	close(next)
	var wait sync.WaitGroup
	start := time.Now()
	for range benchCallers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for id := range next {
				assert.Check(b, openBenchCall(ctx, p, id))
			}
		}()
	}
	wait.Wait()
	return time.Since(start)
}
