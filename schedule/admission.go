package schedule

import "time"

const (
	// admissionPatience is the time for which a new program may wait.
	admissionPatience = 2 * time.Second
	// admissionRetry is the interval at which it asks again.
	admissionRetry = 200 * time.Millisecond
	// activityWindow is the time constant of the active fraction of programs.
	activityWindow = 10.0 // seconds
	// teamIdle is the time after which a team without programs no longer
	// counts when the capacity is divided.
	teamIdle = 5 * time.Second
	// shareWindow is the time constant of the mean number of programs of a
	// team, and burstFactor the multiple of its share that it may reach.
	shareWindow = 60.0 // seconds
	burstFactor = 1.5
	// burstTotal bounds the programs of all teams during such a burst.
	burstTotal = 1.1
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
	return a.bursts && t.mean < share && float64(t.programs) < burstFactor*share &&
		float64(len(s.programs)) < burstTotal*limit
}

// limit is the number of programs that keep this host's share of the slots
// busy.
func (a activeSlots) limit(s *Scheduler) float64 {
	share := float64(s.slots) / float64(s.hosts)
	return share * (1 + a.headroom) / s.active
}

// team is what the scheduler knows of a team.
type team struct {
	limits   TeamLimits
	programs int
	mean     float64 // of programs, over shareWindow
	meanAt   time.Duration
	retries  budget
	seen     time.Duration
	asking   map[string]time.Duration // programs that wait for admission
}

// change starts or ends programs.
func (t *team) change(now time.Duration, n int) {
	t.follow(now)
	t.programs += n
}

// follow brings the mean up to date.
func (t *team) follow(now time.Duration) {
	if elapsed := (now - t.meanAt).Seconds(); elapsed > 0 {
		t.mean += (float64(t.programs) - t.mean) * elapsed / (elapsed + shareWindow)
		t.meanAt = now
	}
}

func (t *team) stopAsking(program string) { delete(t.asking, program) }

// dropStale forgets programs whose callers have gone while they waited.
func (t *team) dropStale(now time.Duration) {
	for p, since := range t.asking {
		if now-since > 2*admissionPatience {
			delete(t.asking, p)
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
			retries: newBudget(teamRetryRatio, teamRetryRate, teamRetryBurst),
			asking:  map[string]time.Duration{},
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
		if t.programs > 0 || s.now-t.seen < teamIdle {
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
	t.seen = now
	t.follow(now)
	if t.limits.MaxPrograms > 0 && t.programs >= t.limits.MaxPrograms {
		return s.refuseProgram(p, "team-program-limit")
	}
	if !s.admitter.allows(s, t) {
		return s.postpone(now, p, t)
	}
	t.stopAsking(p.ID)
	s.present(p.ID, t)
	return Admission{Admitted: true, Reason: "capacity"}
}

// postpone lets a program wait briefly and then refuses it.
func (s *Scheduler) postpone(now time.Duration, p Program, t *team) Admission {
	since, asked := t.asking[p.ID]
	if !asked {
		t.dropStale(now)
		if len(t.asking) >= s.maxAsking() {
			return s.refuseProgram(p, "capacity")
		}
		t.asking[p.ID] = now
		since = now
	}
	if now-since >= admissionPatience {
		return s.refuseProgram(p, "capacity")
	}
	return Admission{Wait: admissionRetry, Reason: "capacity"}
}

// maxAsking bounds the programs of a team that wait for admission to about
// those that can be admitted within the patience.
func (s *Scheduler) maxAsking() int { return 1 + s.slots/s.hosts/4 }

func (s *Scheduler) refuseProgram(p Program, reason string) Admission {
	s.team(p.Team).stopAsking(p.ID)
	// Refused callers return spread over some seconds.
	hint := time.Second + time.Duration(s.random.Int64N(int64(4*time.Second)))
	return Admission{RetryAfter: hint, Reason: reason}
}

// observeActivity follows the fraction of the programs that run a call, those
// that wait for a slot aside.
func (s *Scheduler) observeActivity(elapsed time.Duration) {
	n := len(s.programs) - s.queued
	if n <= 0 {
		return
	}
	f := min(1, max(0.02, float64(s.running)/float64(n)))
	w := elapsed.Seconds() / (elapsed.Seconds() + activityWindow)
	s.active += w * (f - s.active)
}
