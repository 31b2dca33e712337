package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against hosts that together send more requests to a server than it
// takes, however many they are, however their demand varies, and over a change
// of the leader that hands out the permits.
func TestPermitsKeepToLimit(t *testing.T) {
	const window, step = 4 * time.Second, 10 * time.Millisecond
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		random := rand.New(rand.NewPCG(seed, 0))
		perSecond := rapid.SampledFrom([]float64{0.5, 1.4, 3, 5, 40}).Draw(rt, "per-second")
		hosts := rapid.IntRange(1, 100).Draw(rt, "hosts")
		p := newPermits(rand.NewPCG(seed, 1))
		next := make([]time.Duration, hosts)
		var sent []time.Duration
		demand := 1.0
		for now := time.Duration(0); now < 20*time.Second; now += step {
			if random.IntN(200) == 0 {
				demand = []float64{0, 0.02, 1}[random.IntN(3)]
			}
			if random.IntN(800) == 0 {
				p = newPermits(rand.NewPCG(seed, 2)) // another leader
			}
			for h := range hosts {
				if now < next[h] || random.Float64() >= demand {
					continue
				}
				wait := p.request(now, fmt.Sprint(h), "s", 1, perSecond)
				next[h] = now + wait
				if wait == 0 {
					sent = append(sent, now)
				}
			}
		}
		for i, at := range sent {
			n := 0
			for _, o := range sent[i:] {
				if o < at+window {
					n++
				}
			}
			assert.Assert(rt, float64(n) <= perSecond*(window+permitBurst).Seconds()+2, "%d permits in %v at %v", n, window, at)
		}
	})
}

// Guards against permits that are not used although hosts wait for them.
func TestPermitsAreUsed(t *testing.T) {
	const perSecond, hosts, length = 3.0, 100, 60 * time.Second
	p := newPermits(rand.NewPCG(1, 2))
	next := make([]time.Duration, hosts)
	sent := 0
	for now := time.Duration(0); now < length; now += 10 * time.Millisecond {
		for h := range hosts {
			if now < next[h] {
				continue
			}
			wait := p.request(now, fmt.Sprint(h), "s", 1, perSecond)
			next[h] = now + max(wait, 10*time.Millisecond)
			if wait == 0 {
				sent++
			}
		}
	}
	assert.Assert(t, float64(sent) > 0.9*perSecond*length.Seconds(), "%d permits", sent)
}

// Guards against an old observation that overrides a newer one, and against the
// limit of a server that applies to its next incarnation.
func TestLimits(t *testing.T) {
	tests := []struct {
		name string
		list []ServerLimit // observed in this order
		want float64       // limit of incarnation 2
	}{
		{"named", []ServerLimit{{StartedAt: 2, PerSecond: 3}}, 3},
		{"never named", []ServerLimit{{StartedAt: 2}}, 0},
		{"changed", []ServerLimit{{StartedAt: 2, PerSecond: 3, Age: time.Second}, {StartedAt: 2, PerSecond: 5}}, 5},
		{"ended", []ServerLimit{{StartedAt: 2, PerSecond: 3, Age: time.Second}, {StartedAt: 2}}, 0},
		{"reported late", []ServerLimit{{StartedAt: 2}, {StartedAt: 2, PerSecond: 3}, {StartedAt: 2, PerSecond: 9, Age: time.Second}}, 3},
		{"ended, reported late", []ServerLimit{{StartedAt: 2, PerSecond: 3}, {StartedAt: 2, Age: time.Second}}, 3},
		{"restarted", []ServerLimit{{StartedAt: 1, PerSecond: 3}}, 0},
		{"earlier incarnation", []ServerLimit{{StartedAt: 2, PerSecond: 3, Age: time.Second}, {StartedAt: 1}}, 3},
	}
	for _, tt := range tests {
		l := NewLimits()
		for _, o := range tt.list {
			o.Server = "s"
			l.Observe(10*time.Second, o)
		}
		assert.Equal(t, l.Get(10*time.Second, "s", 2).PerSecond, tt.want, tt.name)
		l.Expire(time.Hour)
		assert.Equal(t, len(l.byServer), 0)
	}
}

// Guards against a limit that only the host that observed it keeps to, and
// against permits for a limited server from a host that does not lead.
func TestLimitsReachAllHosts(t *testing.T) {
	ids := []string{"c1", "c2", "c3"}
	d := newDeployment(t, ids...)
	for _, id := range ids {
		d.startHost(id, ids, ids)
	}
	first, second := &observer{}, &observer{}
	first.limits = []ServerLimit{{Server: "s", StartedAt: 1, PerSecond: 0.5}}
	d.startLink("e1", ids, first)
	l := d.startLink("e2", ids, second)
	limit := ServerLimit{}
	d.await("limit received", func(context.Context) bool {
		return second.check(func() bool {
			if len(second.limits) == 1 {
				limit = second.limits[0]
			}
			return limit.PerSecond == 0.5
		})
	})
	assert.Assert(t, l.Permit(t.Context(), limit) > 0)
	d.await("permit granted", func(ctx context.Context) bool { return l.Permit(ctx, limit) == 0 })
}
