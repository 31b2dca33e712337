package cluster

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// quotaProgram is a program that needs permits one after another.
type quotaProgram struct {
	next     time.Duration // when it asks for the next permit
	left     int           // permits that it needs
	begun    bool
	repeated bool
	since    time.Duration // of the wait for the next permit
}

// quotaLoad is what became of the requests of a replay.
type quotaLoad struct {
	begun, refused, ended, broken, granted int
}

// replayQuota lets programs begin at random at a rate, in programs/s, which asks for
// load times the limit. A program needs a random number of permits with the given
// mean, one every few seconds. It ends if it gets none within creditWait.
func replayQuota(q *quotas, random *rand.Rand, from, to time.Duration, l QuotaLimit, load, mean float64, programs *[]*quotaProgram) quotaLoad {
	const step = 10 * time.Millisecond
	var out quotaLoad
	for now := from; now < to; now += step {
		if random.Float64() < load*l.PerSecond/mean*step.Seconds() {
			*programs = append(*programs, &quotaProgram{next: now, left: max(1, int(mean*(0.4+1.2*random.Float64())))})
		}
		kept := (*programs)[:0]
		for _, p := range *programs {
			if now >= p.next {
				r := workspaceRequest{Workspace: "w", Table: 1, QuotaLimit: l}
				if p.begun {
					r.Continuations = 1
				} else {
					r.Beginnings = 1
				}
				if p.repeated {
					r.Repeated = 1
				} else {
					p.since = now
				}
				c := permitCall{begins: !p.begun, grant: q.grant(now, &r)}
				wait := c.wait()
				switch granted := c.grant.Continuations+c.grant.Beginnings > 0; {
				case granted:
					out.granted++
					if !p.begun {
						out.begun++
					}
					p.begun, p.repeated = true, false
					p.left--
					p.next = now + time.Second + time.Duration(random.Int64N(int64(4*time.Second)))
				case now-p.since+wait <= c.patience():
					p.next, p.repeated = now+wait, true
				case !p.begun: // the caller returns at the time that it was told
					out.refused++
					p.next = now + wait
				default:
					out.broken++
					continue
				}
			}
			if p.left > 0 {
				kept = append(kept, p)
			} else {
				out.ended++
			}
		}
		*programs = kept
	}
	return out
}

// Guards against programs that are broken off in the middle when a workspace sends
// five times what its limit allows, against permits that stay unused meanwhile, and
// against refusals within the limit.
func TestProgramsEndBeyondLimit(t *testing.T) {
	limits := []QuotaLimit{{2, 5}, {8, 20}, {60, 60}}
	for seed := range uint64(5) {
		for _, l := range limits {
			for _, mean := range []float64{4, 12} {
				random := rand.New(rand.NewPCG(seed, 0))
				q := newQuotas(QuotaBound{5 * time.Second, 0.1, 20}, 1, -time.Minute, rand.NewPCG(seed, 1))
				var programs []*quotaProgram
				usual := replayQuota(q, random, 0, 3*time.Minute, l, 0.6, mean, &programs)
				assert.Assert(t, usual.broken == 0 && usual.refused <= usual.begun/10, "usual load, %v, mean %v: %+v", l, mean, usual)
				peak := replayQuota(q, random, 3*time.Minute, 5*time.Minute, l, 5, mean, &programs)
				t.Logf("seed %d, limit %v, %v requests per program: %+v", seed, l, mean, peak)
				assert.Assert(t, peak.refused > peak.begun)
				// A workspace with a limit of 2/s has two programs at a time, of random lengths.
				assert.Check(t, peak.broken <= 2+peak.ended/100, "%v, mean %v: %+v", l, mean, peak)
				used := float64(peak.granted) / (l.PerSecond * 120)
				assert.Check(t, used > 0.95, "%v, mean %v: %.2f of the limit used", l, mean, used)
			}
		}
	}
}
