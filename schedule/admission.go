package schedule

import (
	"time"

	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	// admissionMaxWait is the time for which a new program may wait.
	admissionMaxWait = 2 * time.Second
	// admissionRetryInterval is the interval at which it asks again.
	admissionRetryInterval = 200 * time.Millisecond
	// activityTimeConstant is the time constant of the active fraction of programs.
	activityTimeConstant = 10.0 // seconds
	// teamIdleTimeout is the time after which a team without programs no longer
	// counts when the capacity is divided.
	teamIdleTimeout = 5 * time.Second
	// shareTimeConstant is the time constant of the mean number of programs of a
	// team, and burstFactor the multiple of its share that it may reach.
	shareTimeConstant = 60.0 // seconds
	burstFactor = 1.5
	// totalBurstFactor bounds the programs of all teams during such a burst.
	totalBurstFactor = 1.1
)

// admitter decides whether the capacity allows one more program.
type admitter interface {
	allows(s *Scheduler, t *team) bool
}

// admitAll is the absence of a limit.
type admitAll struct{}

func (admitAll) allows(*Scheduler, *team) bool { return true }

// activeSlots admits programs while the slots that they are expected to
// occupy at the same time fit this host's share of all slots. Programs in tool
// pauses count with the fraction of the time that programs are active.
type activeSlots struct {
	// headroom is the fraction of calls that may wait above the slots, so
	// that a slot that falls free is used at once.
	headroom float64
	// bursts lets a team make up for a quiet time.
	bursts bool
}

func (a activeSlots) allows(s *Scheduler, t *team) bool {
	limit := a.limit(s)
	if float64(len(s.programs)) < limit {
		return true
	}
	// A team gets its entitled share even while others have borrowed it, and
	// may make up for a quiet time with a burst.
	share := limit * t.weight() / s.activeWeight()
	if float64(t.programs) < share {
		return true
	}
	return a.bursts && t.meanPrograms < share && float64(t.programs) < burstFactor*share &&
		float64(len(s.programs)) < totalBurstFactor*limit
}

// limit is the number of programs that keep this host's share of the slots
// busy.
func (a activeSlots) limit(s *Scheduler) float64 {
	share := float64(s.slots) / float64(s.hosts)
	return share * (1 + a.headroom) / s.activeFraction
}

// team is what the scheduler knows of a team.
type team struct {
	limits   TeamLimits
	programs int
	meanPrograms     float64 // of programs, over shareWindow
	meanUpdated   time.Duration
	retryBudget  tokenBucket
	lastAdmissionRequest     time.Duration
	pending   map[string]time.Duration // programs that wait for admission
}

// addPrograms starts or ends programs.
func (t *team) addPrograms(now time.Duration, n int) {
	t.updateMean(now)
	t.programs += n
}

// updateMean brings the mean up to date.
func (t *team) updateMean(now time.Duration) {
	if elapsed := (now - t.meanUpdated).Seconds(); elapsed > 0 {
		t.meanPrograms += (float64(t.programs) - t.meanPrograms) * elapsed / (elapsed + shareTimeConstant)
		t.meanUpdated = now
	}
}

func (t *team) removePending(program string) { delete(t.pending, program) }

// expirePending forgets programs whose callers have gone while they waited.
func (t *team) expirePending(now time.Duration) {
	for p, since := range t.pending {
		if now-since > 2*admissionMaxWait {
			delete(t.pending, p)
		}
	}
}

func (t *team) weight() float64 {
	if t.limits.Weight <= 0 {
		return 1
	}
	return t.limits.Weight
}

func (s *Scheduler) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{
			retryBudget: newTokenBucket(teamRetryRatio, teamRetryRate, teamRetryBurst),
			pending:  map[string]time.Duration{},
		}
		s.teams[name] = t
		s.teamOrder = append(s.teamOrder, t)
	}
	return t
}

// activeWeight sums the weights of the teams that have or want programs.
func (s *Scheduler) activeWeight() float64 {
	sum := 0.0
	for _, t := range s.teamOrder {
		if t.programs > 0 || s.now-t.lastAdmissionRequest < teamIdleTimeout {
			sum += t.weight()
		}
	}
	return sum
}

// SetTeam sets the limits of a team.
func (s *Scheduler) SetTeam(now time.Duration, name string, l TeamLimits) {
	s.advance(now)
	s.team(name).limits = l
}

// AdmitProgram decides whether a new program may start. The calls of an
// admitted program are not refused for load.
func (s *Scheduler) AdmitProgram(now time.Duration, p Program) Admission {
	s.advance(now)
	if s.programs[p.ID] != nil {
		return Admission{Admitted: true, Reason: "already-admitted"}
	}
	t := s.team(p.Team)
	t.lastAdmissionRequest = now
	t.updateMean(now)
	if t.limits.MaxPrograms > 0 && t.programs >= t.limits.MaxPrograms {
		return s.refuseProgram(p)
	}
	if !s.admitter.allows(s, t) {
		return s.postpone(now, p, t)
	}
	t.removePending(p.ID)
	s.activateProgram(p.ID, t)
	return Admission{Admitted: true, Reason: "capacity"}
}

// postpone lets a program wait briefly and then refuses it.
func (s *Scheduler) postpone(now time.Duration, p Program, t *team) Admission {
	since, asked := t.pending[p.ID]
	if !asked {
		t.expirePending(now)
		if len(t.pending) >= s.maxPending() {
			return s.refuseProgram(p)
		}
		t.pending[p.ID] = now
		since = now
	}
	if now-since >= admissionMaxWait {
		return s.refuseProgram(p)
	}
	return Admission{Wait: admissionRetryInterval, Reason: "capacity"}
}

// maxPending bounds the programs of a team that wait for admission to about
// those that can be admitted within the patience.
func (s *Scheduler) maxPending() int { return 1 + s.slots/s.hosts/4 }

func (s *Scheduler) refuseProgram(p Program) Admission {
	s.team(p.Team).removePending(p.ID)
	// Refused callers return spread over some seconds.
	hint := time.Second + time.Duration(s.random.Int64N(int64(4*time.Second)))
	return Admission{RetryAfter: hint, Reason: string(verdict.Overloaded)}
}

// updateActiveFraction follows the fraction of the programs that run a call, those
// that wait for a slot aside.
func (s *Scheduler) updateActiveFraction(elapsed time.Duration) {
	n := len(s.programs) - s.queued
	if n <= 0 {
		return
	}
	f := min(1, max(0.02, float64(s.running)/float64(n)))
	w := elapsed.Seconds() / (elapsed.Seconds() + activityTimeConstant)
	s.activeFraction += w * (f - s.activeFraction)
}
