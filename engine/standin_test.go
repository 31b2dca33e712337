package engine

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/standin"
	"github.com/sycamoreline/sycamoreline/verdict"
)

func message(role, content string) ledger.Message {
	return ledger.Message{Role: role, Content: content}
}

// Guards against calls that get slots out of priority order, and against slots
// that are lost when a waiting call is cancelled.
func TestSlotsGoByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSlots(1)
		assert.NilError(t, s.acquire(t.Context(), 0))
		var order []int
		var wg sync.WaitGroup
		for _, priority := range []int{5, 1, 5, 3} {
			wg.Go(func() {
				assert.NilError(t, s.acquire(t.Context(), priority))
				order = append(order, priority)
				s.release()
			})
			synctest.Wait()
		}
		ctx, cancel := context.WithCancel(t.Context())
		wg.Go(func() { assert.ErrorIs(t, s.acquire(ctx, 0), context.Canceled) })
		synctest.Wait()
		cancel()
		synctest.Wait()
		s.release()
		wg.Wait()
		assert.DeepEqual(t, order, []int{1, 3, 5, 5})
		running, queued := s.counts()
		assert.Equal(t, running+queued, 0)
	})
}

// Guards against a cache that exceeds its capacity, miscounts tokens, or evicts
// entries that are pinned or in use.
func TestPrefixCacheStaysWithinItsSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := newCacheLog(0, 0)
		c := newPrefixCache(100, events)
		inUse, pinned := map[string]int{}, map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			program := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "program")
			blocks := []block{{1, rapid.Int64Range(1, 60).Draw(t, "first")}, {2, rapid.Int64Range(1, 60).Draw(t, "second")}}
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				c.begin(program, blocks)
				inUse[program]++
			case 1:
				if inUse[program] > 0 {
					inUse[program]--
					c.end(program, blocks)
				}
			case 2:
				c.release(program)
				delete(pinned, program)
			case 3:
				pinned[program] = c.pin(program)
			case 4:
				c.importBlocks(program, blocks)
			}
			checkCache(t, c, inUse)
			for program, isPinned := range pinned {
				assert.Assert(t, !isPinned || c.entries[program] != nil)
			}
		}
	})
}

func checkCache(t *rapid.T, c *prefixCache, inUse map[string]int) {
	var sum int64
	for _, e := range c.entries {
		assert.Equal(t, e.tokens, blockTokens(e.blocks))
		assert.Equal(t, e.calls, inUse[e.program])
		sum += e.tokens
	}
	assert.Equal(t, c.used, sum)
	assert.Assert(t, c.used <= c.capacity)
	assert.Equal(t, c.lru.Len(), len(c.entries))
	for program, calls := range inUse {
		assert.Assert(t, calls == 0 || c.entries[program] != nil)
	}
}

// Guards against load reports and cache events that are published without the
// configured delay. Real engines report with a delay; with immediate reports,
// tests would miss faults of schedulers that rely on up-to-date reports.
func TestReportsAreLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newCacheLog(time.Second, 0)
		h := newLoadHistory(time.Second, Load{})
		l.add("stored", "p", 10)
		h.record(Load{Running: 1})
		time.Sleep(999 * time.Millisecond) // virtual time
		events, next := l.page(1)
		assert.Equal(t, len(events), 0)
		assert.Equal(t, next, int64(1))
		assert.Equal(t, h.report().Running, 0)
		time.Sleep(time.Millisecond) // virtual time
		events, next = l.page(1)
		assert.DeepEqual(t, events, []CacheEvent{{Sequence: 1, Kind: "stored", Program: "p", Tokens: 10}})
		assert.Equal(t, next, int64(2))
		assert.Equal(t, h.report().Running, 1)
	})
}

// Guards against injected faults without the expected effect.
func TestFaults(t *testing.T) {
	tests := []struct {
		name    string
		faults  standin.Faults
		message string
	}{
		{"crash", standin.Faults{CrashText: "whippet"}, "connection lost before a response"},
		{"half answer", standin.Faults{HalfAnswer: true}, "stream ended without [DONE]"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newStandIn(t, testSettings())
			address, c := serve(t, e)
			e.Faults().Set(tt.faults)
			_, err := c.Stream(t.Context(), address, testCall(), ignoreToken)
			checkVerdict(t, err, verdict.MayHaveRun, verdict.ServerFailed, tt.message)
			assert.Equal(t, e.Announcement().Incarnation != "i-1", tt.faults.CrashText != "")
		})
	}
}

// Guards against a call that keeps running after a crash of its engine.
func TestCrashBreaksAllCalls(t *testing.T) {
	settings := testSettings()
	settings.AnswerTokens, settings.DecodeMicroseconds = 1_000_000, 1000
	e := newStandIn(t, settings)
	address, c := serve(t, e)
	call := testCall()
	call.MaxTokens = 0
	var once sync.Once
	_, err := c.Stream(t.Context(), address, call, func(Token) error {
		once.Do(e.Faults().Crash)
		return nil
	})
	checkVerdict(t, err, verdict.MayHaveRun, verdict.ServerFailed, "cannot read stream")
	assert.Equal(t, len(e.Programs()), 0)
}

// Guards against invalid settings that are accepted and fail later, and against
// errors without the allowed values.
func TestStandInSettingsCheck(t *testing.T) {
	tests := []struct {
		change func(*StandInSettings)
		want   string
	}{
		{func(*StandInSettings) {}, ""},
		{func(s *StandInSettings) { s.Server = "" }, `field "server": empty`},
		{func(s *StandInSettings) { s.DataCentre = "" }, `field "data-centre": empty`},
		{func(s *StandInSettings) { s.EntryHosts = []string{"nowhere"} }, `"nowhere": want host:port`},
		{func(s *StandInSettings) { s.RenewalMilliseconds = 0 }, `field "renewal-milliseconds": 0: want 1 to`},
		{func(s *StandInSettings) { s.Faults.Slow = -1 }, `field "faults": field "slow": -1`},
		{func(s *StandInSettings) { s.Models = nil }, `field "models": empty`},
		{func(s *StandInSettings) { s.Models = []membership.Model{{}} }, `field "models[0].name": empty`},
		{func(s *StandInSettings) { s.Slots = 0 }, `field "slots": 0: want 1 to`},
		{func(s *StandInSettings) { s.EventLossPerThousand = 1001 }, `field "event-loss-per-thousand": 1001: want 0 to 1000`},
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
