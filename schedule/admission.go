package schedule

import (
	"time"

	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	// admissionMaxWait is the maximum time that a new program waits for
	// admission.
	admissionMaxWait = 2 * time.Second
	// admissionRetryInterval is the interval at which the driver repeats the
	// request of a waiting program.
	admissionRetryInterval = 200 * time.Millisecond
	// activityTimeConstant is the time constant of the smoothed fraction of
	// active programs.
	activityTimeConstant = 10.0 // seconds
	// teamIdleTimeout is the time since the last admission request after which
	// a team without programs has no share of the capacity.
	teamIdleTimeout = 5 * time.Second
	// meanProgramsTimeConstant is the time constant of the mean number of
	// programs of a team.
	meanProgramsTimeConstant = 60.0 // seconds
	// burstFactor is the multiple of its share that a team may reach in a burst.
	burstFactor = 1.5
	// totalBurstFactor is the multiple of the limit that the programs of all
	// teams may reach in a burst.
	totalBurstFactor = 1.1
)

// admitter decides whether a team may start one more program.
type admitter interface {
	allows(s *Scheduler, t *team) bool
}

// admitAll admits all programs.
type admitAll struct{}

func (admitAll) allows(*Scheduler, *team) bool { return true }

// activeSlots limits the programs so that the expected number of concurrent
// calls fits this host's share of all slots. Programs occupy a slot only part
// of the time, since they pause for tool calls, so the limit is the share
// divided by the measured fraction of active programs.
type activeSlots struct {
	// headroom is the number of calls that may wait, as a fraction of the
	// slots, so that a slot that becomes free is used at once.
	headroom float64
	// bursts allows a team that has used less than its share to exceed it for a
	// while.
	bursts bool
}

func (a activeSlots) allows(s *Scheduler, t *team) bool {
	limit := a.limit(s)
	if float64(len(s.programs)) < limit {
		return true
	}
	// A team gets its share even if other teams have borrowed it. It may exceed
	// its share in a burst while its mean number of programs is below it.
	share := limit * t.weight() / s.activeWeight()
	if float64(t.programs) < share {
		return true
	}
	return a.bursts && t.meanPrograms < share && float64(t.programs) < burstFactor*share &&
		float64(len(s.programs)) < totalBurstFactor*limit
}

// limit returns the number of programs that keep this host's share of the slots
// busy.
func (a activeSlots) limit(s *Scheduler) float64 {
	share := float64(s.slots) / float64(s.hosts)
	return share * (1 + a.headroom) / s.activeFraction
}

// team holds the limits, the program counts and the retry budget of a team.
type team struct {
	limits               TeamLimits
	programs             int
	meanPrograms         float64       // exponentially weighted mean over time
	meanUpdated          time.Duration // last update of the mean
	retryBudget          tokenBucket
	lastAdmissionRequest time.Duration
	pending              map[string]time.Duration // first admission request of each waiting program, by program ID

	key       TeamKey
	service   float64       // at this host until serviceAt, in seconds of a slot
	serviceAt time.Duration // of the last change of service
	// excess is the service at all hosts, as a multiple of that from which the team is
	// above its share.
	excess float64
}

// addPrograms adds n to the number of programs.
func (t *team) addPrograms(now time.Duration, n int) {
	t.updateMean(now)
	t.programs += n
}

// updateMean updates the mean number of programs up to now.
func (t *team) updateMean(now time.Duration) {
	if elapsed := (now - t.meanUpdated).Seconds(); elapsed > 0 {
		t.meanPrograms += (float64(t.programs) - t.meanPrograms) * elapsed / (elapsed + meanProgramsTimeConstant)
		t.meanUpdated = now
	}
}

func (t *team) removePending(program string) { delete(t.pending, program) }

// expirePending removes waiting programs whose callers no longer repeat the
// request.
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
			pending:     map[string]time.Duration{}, key: KeyOf(name),
		}
		if s.shared {
			t.limits.Weight = s.meanWeight
		}
		s.teams[name] = t
		s.teamOrder = append(s.teamOrder, t)
	}
	return t
}

// activeWeight returns the sum of the weights of the teams that have programs
// or have requested admission recently.
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
// admitted program are never refused because of load.
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

// postpone makes a program wait for admission, or refuses it when it has waited
// for the maximum time or too many others of its team wait.
func (s *Scheduler) postpone(now time.Duration, p Program, t *team) Admission {
	since, isPending := t.pending[p.ID]
	if !isPending {
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

// maxPending returns the number of programs of a team that may wait for
// admission: about as many as can be admitted within the maximum wait.
func (s *Scheduler) maxPending() int { return 1 + s.slots/s.hosts/4 }

func (s *Scheduler) refuseProgram(p Program) Admission {
	s.team(p.Team).removePending(p.ID)
	// The jitter spreads the retries of refused callers over 4 s.
	retryAfter := time.Second + time.Duration(s.random.Int64N(int64(4*time.Second)))
	return Admission{RetryAfter: retryAfter, Reason: string(verdict.Overloaded)}
}

// updateActiveFraction updates the smoothed fraction of the programs that run a
// call. Programs that wait for a slot are left out.
func (s *Scheduler) updateActiveFraction(elapsed time.Duration) {
	n := len(s.programs) - s.queued
	if n <= 0 {
		return
	}
	f := min(1, max(0.02, float64(s.running)/float64(n)))
	w := elapsed.Seconds() / (elapsed.Seconds() + activityTimeConstant)
	s.activeFraction += w * (f - s.activeFraction)
}
