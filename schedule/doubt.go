package schedule

import (
	"slices"
	"time"
)

const (
	// doubtFailures is the weight of recent failures from which a server is in
	// doubt, and keepDoubtFailures that from which it stays so.
	doubtFailures     = 3
	keepDoubtFailures = 0.1
	// doubtShare is the minimum share of failures among the outcomes of a server
	// in doubt. A few lost answers in a hundred are no reason to avoid a server.
	doubtShare = 0.25
	// ownFailures and ownShare are the same for a host that has only its own
	// outcomes.
	ownFailures = 1.8
	ownShare    = 0.5
	// soundSuccesses is the weight of a host's own successes, without a failure,
	// with which it goes on using a server that others doubt.
	soundSuccesses = 0.9
	// maxDoubtedShare is the largest share of the servers of a service that may be
	// in doubt. If there are more, the cause is not the servers, or no others are
	// left: then none is.
	maxDoubtedShare = 0.5
	// trialInterval is the mean interval between the runs that all hosts together
	// try on a server in doubt.
	trialInterval = time.Second
	// evidenceMaxAge is the age from which evidence is dropped, as when the control
	// hosts do not answer.
	evidenceMaxAge = 2 * time.Second
	// negligible is the weight below which outcomes are not considered.
	negligible = 0.05
)

// Outcomes are recent outcomes of runs on a server, weighted by their age.
type Outcomes struct {
	Failed, Succeeded float64
	// Expected is an estimate of the successes of a server that gets its share of
	// the runs. Hosts learn only from it that a server has successes as well,
	// until they report them.
	Expected float64
	Hosts    int // entry hosts that have seen a failure
}

// share returns the share of failures. A server in doubt gets few runs, so that
// Expected says nothing about it.
func (o Outcomes) share(inDoubt bool) float64 {
	succeeded := o.Succeeded
	if !inDoubt {
		succeeded = max(succeeded, o.Expected)
	}
	return o.Failed / (o.Failed + succeeded)
}

// suspicious reports whether the outcomes put a server in doubt, or keep it there.
// One host alone puts none in doubt, since the host may be the cause; the few
// trials that follow may be those of one host.
func (o Outcomes) suspicious(inDoubt bool) bool {
	if o.share(inDoubt) < doubtShare {
		return false
	}
	if inDoubt {
		return o.Failed >= keepDoubtFailures
	}
	return o.Hosts >= 2 && o.Failed >= doubtFailures
}

// Evidence is what entry hosts have seen of a server that fails runs.
//
// It answers a load in which some servers fail or swallow what they get while
// they announce themselves as sound: with many entry hosts, each of them would
// lose some runs to each bad server before it knew.
type Evidence struct {
	Server      string
	Incarnation string
	// Own are the outcomes of this host, DataCentre those of all hosts of its data
	// centre and All those of all hosts.
	Own, DataCentre, All Outcomes
	DataCentres          int // data centres with hosts that have seen a failure
}

// doubts reports whether this host should not use the server. Evidence of other
// data centres counts if it comes from more than one: a data centre may be cut
// off from a server, and a server may fail only some of its callers.
func (e *Evidence) doubts(inDoubt bool) bool {
	if e.Own.Failed < negligible && e.Own.Succeeded >= soundSuccesses {
		return false
	}
	if e.Own.Failed >= ownFailures && e.Own.share(inDoubt) >= ownShare {
		return true
	}
	return e.DataCentre.suspicious(inDoubt) || e.DataCentres >= 2 && e.All.suspicious(inDoubt)
}

// Doubt is a change of the doubt about a server.
type Doubt struct {
	Server  string
	InDoubt bool
}

// SetEvidence replaces the evidence about servers, and returns the changes of the
// doubts. A server in doubt gets no runs, except that all hosts together try a
// run about every trialInterval.
func (s *Scheduler) SetEvidence(now time.Duration, list []Evidence) []Doubt {
	s.advance(now)
	s.evidenceAt = s.now
	doubted := map[*server]bool{}
	for i := range list {
		e := &list[i]
		if v := s.servers[e.Server]; v != nil && v.Incarnation == e.Incarnation && e.doubts(v.inDoubt) {
			doubted[v] = true
		}
	}
	s.dropExcessiveDoubts(doubted)
	var changes []Doubt
	for _, v := range slices.Clone(s.doubted) {
		if !doubted[v] {
			s.setDoubt(v, false)
			changes = append(changes, Doubt{v.ID, false})
		}
	}
	for i := range list { // in the order of the list
		if v := s.servers[list[i].Server]; v != nil && doubted[v] && !v.inDoubt {
			s.setDoubt(v, true)
			changes = append(changes, Doubt{v.ID, true})
		}
	}
	return changes
}

// dropExcessiveDoubts removes the servers of pools of which more than
// maxDoubtedShare would be in doubt.
func (s *Scheduler) dropExcessiveDoubts(doubted map[*server]bool) {
	if len(doubted) == 0 {
		return
	}
	var excessive []*pool
	for _, p := range s.poolOrder {
		usable, n := 0, 0
		for _, v := range p.members {
			if v.Leaving {
				continue
			}
			usable++
			if doubted[v] {
				n++
			}
		}
		if float64(n) > maxDoubtedShare*float64(usable) {
			excessive = append(excessive, p)
		}
	}
	for _, p := range excessive {
		for _, v := range p.members {
			delete(doubted, v)
		}
	}
}

// expireEvidence ends all doubts if the evidence is old.
func (s *Scheduler) expireEvidence() {
	if s.now-s.evidenceAt <= evidenceMaxAge {
		return
	}
	for _, v := range slices.Clone(s.doubted) {
		s.setDoubt(v, false)
	}
}

func (s *Scheduler) setDoubt(v *server, inDoubt bool) {
	v.inDoubt = inDoubt
	if inDoubt {
		s.doubted = append(s.doubted, v)
		s.planTrial(v)
	} else {
		s.doubted = slices.DeleteFunc(s.doubted, func(o *server) bool { return o == v })
	}
	s.updateEligibility(v)
}

// planTrial sets the time from which this host may try a run on a server in
// doubt.
func (s *Scheduler) planTrial(v *server) {
	v.nextTrial = s.now + time.Duration(2*s.random.Float64()*float64(s.hosts)*float64(trialInterval))
}

// trial returns a server in doubt on which to try a call, or nil. Calls that
// cannot be repeated are not tried, nor those that have already failed.
func (s *Scheduler) trial(c *call) *server {
	if c.Service != "" && !c.Idempotent || len(c.Avoid) > 0 || c.running > 0 {
		return nil
	}
	for _, v := range s.doubted {
		if s.now >= v.nextTrial && v.inFlight < s.limit(v) && v.usable(s.now) && v.membershipOf(c.pool) != nil && c.mayRunOn(v) {
			s.planTrial(v)
			return v
		}
	}
	return nil
}

// usable reports whether the server may get runs at present, regardless of its
// free slots and of doubts.
func (v *server) usable(now time.Duration) bool {
	return v.available() && now >= v.pausedUntil && v.speed.mayStartRun(now, v.inFlight)
}
