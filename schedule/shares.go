package schedule

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// serviceTimeConstant is the time constant with which the service of a team is
	// forgotten.
	serviceTimeConstant = 5 * time.Second
	// serviceMaxAge is the age from which the service at all hosts is not considered.
	serviceMaxAge = time.Second
	// shareMargin and shareNoise are the multiple of its share from which a team is
	// above it: shareMargin plus shareNoise divided by the root of the number of its
	// calls. A team with a few calls per second is far above its share now and then by
	// chance, and takes little.
	shareMargin = 1.25
	shareNoise  = 2.5
	// maxReportedTeams and minReportedShare bound the teams in the report of a host, and
	// maxSharedTeams those in the service at all hosts.
	maxReportedTeams = 24
	minReportedShare = 0.01
	maxSharedTeams   = 32
	// priorityLevels is the number of priorities in the queue of a server.
	priorityLevels = 10
	// promptWork is the work of a token of a prompt, in tokens of output. Most of a
	// prompt is cached history.
	promptWork = 0.05
	// minLeftShare is the part of the servers that teams above their share are taken to
	// get at least.
	minLeftShare = 0.02
	// maxObjective limits the time by which a call with a shorter objective may overtake
	// others of the same urgency.
	maxObjective = time.Second
	// maxSharedRetry limits the time after which a caller is told to return if teams
	// have shares.
	maxSharedRetry = 8 * time.Second
)

// TeamKey names a team in reports.
type TeamKey uint32

// Check returns an error if the report of a host would spoil the sum.
func (v *Service) Check() error {
	if len(v.Used) > maxReportedTeams || v.Teams < 0 || v.Total > math.MaxUint32 {
		return fmt.Errorf("service of %d of %d teams, %d ms in total: want at most %d teams and %d ms", len(v.Used), v.Teams, v.Total, maxReportedTeams, math.MaxUint32)
	}
	return nil
}

// KeyOf returns the key of a team. Teams whose keys collide share their service.
func KeyOf(team string) TeamKey { return TeamKey(xxhash.Sum64String(team)) }

// Service is the work that servers have done for teams lately, in milliseconds of a
// slot, with a time constant of serviceTimeConstant.
type Service struct {
	Used  map[TeamKey]uint32 `json:"used,omitempty"` // by the teams that have used most
	Total uint64             `json:"total"`          // by all teams
	Teams int                `json:"teams"`          // number of teams that have used any
}

// SumService returns the service at all hosts of their reports.
func SumService(reports []*Service) *Service {
	sum := &Service{Used: map[TeamKey]uint32{}}
	for _, r := range reports {
		sum.Total += r.Total
		sum.Teams = max(sum.Teams, r.Teams)
		for k, used := range r.Used {
			sum.Used[k] += min(used, math.MaxUint32-sum.Used[k])
		}
	}
	sum.Teams = max(sum.Teams, len(sum.Used))
	sum.limit(maxSharedTeams, 0)
	return sum
}

// limit keeps the n teams that have used most, of those with at least a share of the
// total.
func (v *Service) limit(n int, minShare float64) {
	keys := make([]TeamKey, 0, len(v.Used))
	for k, used := range v.Used {
		if float64(used) >= minShare*float64(v.Total) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b TeamKey) int {
		return cmp.Or(cmp.Compare(v.Used[b], v.Used[a]), cmp.Compare(a, b))
	})
	kept := make(map[TeamKey]uint32, min(n, len(keys)))
	for _, k := range keys[:min(n, len(keys))] {
		kept[k] = v.Used[k]
	}
	v.Used = kept
}

// Shares configures how teams share the servers.
type Shares struct {
	Weights map[string]float64 // by team; others have the mean
	// Urgencies is the number of values of Request.Urgency of model calls, and
	// ServiceUrgencies that of tool calls.
	Urgencies, ServiceUrgencies int
}

// sharing is the state of a scheduler about the teams that share the servers.
type sharing struct {
	shared bool // see SetShares
	// urgencies and serviceUrgencies are the numbers of values of Request.Urgency of
	// model calls and of tool calls.
	urgencies, serviceUrgencies int
	meanWeight                  float64 // of the teams
	meanCharge                  float64 // to teams for a call, in seconds of a slot; 0 before the first
	// usedAbove is the part of the service that the teams of each grade or a higher one
	// have got.
	usedAbove [priorityLevels]float64
	serviceAt time.Duration // of the last SetService
}

// SetShares makes teams share the servers of all hosts: calls go in the order of
// their urgency, then those of teams within their share of the service, then the
// others, of which those least above it go first. Without weights, calls go in the
// order of the policies.
func (s *Scheduler) SetShares(now time.Duration, c Shares) {
	s.advance(now)
	if len(c.Weights) == 0 && !s.shared {
		return
	}
	s.shared = len(c.Weights) > 0
	s.urgencies, s.serviceUrgencies = max(1, c.Urgencies), max(1, c.ServiceUrgencies)
	sum := 0.0
	for _, w := range c.Weights {
		sum += w
	}
	s.meanWeight = 1
	if sum > 0 {
		s.meanWeight = sum / float64(len(c.Weights))
	}
	for name, w := range c.Weights {
		s.team(name).limits.Weight = w
	}
	for name, t := range s.teams {
		t.key, t.excess = KeyOf(name), 0
		if _, ok := c.Weights[name]; !ok {
			t.limits.Weight = s.meanWeight
		}
	}
	s.removeIdleTeams(c.Weights)
	for _, p := range s.poolOrder {
		p.queue.shared = s.shared
	}
}

// removeIdleTeams removes the teams that are not configured and have no programs.
func (s *Scheduler) removeIdleTeams(configured map[string]float64) {
	for name, t := range s.teams {
		if _, ok := configured[name]; ok || t.programs > 0 || !s.shared {
			continue
		}
		delete(s.teams, name)
		s.teamOrder = slices.DeleteFunc(s.teamOrder, func(o *team) bool { return o == t })
	}
}

// SetService sets the service of teams at all hosts.
func (s *Scheduler) SetService(now time.Duration, v *Service) {
	s.advance(now)
	s.serviceAt = s.now
	known, weight := 0, 0.0
	for _, t := range s.teamOrder {
		if _, ok := v.Used[t.key]; ok {
			known++
			weight += t.weight()
		}
	}
	weight += float64(max(0, v.Teams-known)) * s.meanWeight
	s.usedAbove = [priorityLevels]float64{}
	for _, t := range s.teamOrder {
		t.excess = 0
		used := v.Used[t.key]
		if used == 0 || v.Total == 0 || weight == 0 || s.meanCharge == 0 {
			continue
		}
		share := float64(used) / float64(v.Total)
		calls := max(1, float64(used)/1000/s.meanCharge)
		t.excess = share / (t.weight() / weight) / (shareMargin + shareNoise/math.Sqrt(calls))
		for i := range min(t.grade(s.now, s.serviceAt), priorityLevels-1) + 1 {
			s.usedAbove[i] += share
		}
	}
}

// Service returns the service of the teams at this host, or nil if they do not share
// the servers.
func (s *Scheduler) Service(now time.Duration) *Service {
	s.advance(now)
	if !s.shared {
		return nil
	}
	v := &Service{Used: map[TeamKey]uint32{}}
	for _, t := range s.teamOrder {
		if used := uint32(t.used(s.now) * 1000); used > 0 {
			v.Used[t.key] += used
			v.Total += uint64(used)
			v.Teams++
		}
	}
	v.limit(maxReportedTeams, minReportedShare)
	return v
}

// used returns the service of a team at this host, in seconds of a slot.
func (t *team) used(now time.Duration) float64 {
	return t.service * math.Exp(-(now-t.serviceAt).Seconds()/serviceTimeConstant.Seconds())
}

// charge adds service, which may be negative.
func (t *team) charge(now time.Duration, seconds float64) {
	t.service, t.serviceAt = max(0, t.used(now)+seconds), now
}

// grade returns how far a team is above its share: 0 within it, or else 1 and one
// more for each factor of two.
func (t *team) grade(now, serviceAt time.Duration) int {
	if t.excess <= 1 || now-serviceAt > serviceMaxAge {
		return 0
	}
	return 1 + int(math.Log2(t.excess))
}

// level returns the priority of a call in the queue of a server, from 0 to
// priorityLevels-1. Its urgency counts first.
func (s *Scheduler) level(c *call) int {
	count := s.urgencies
	if c.Service != "" {
		count = s.serviceUrgencies
	}
	urgency := min(max(0, c.Urgency), count-1)
	if count > priorityLevels {
		return urgency * priorityLevels / count
	}
	grades := priorityLevels / count
	return urgency*grades + min(c.team.shares.grade(s.now, s.serviceAt), grades-1)
}

// Levels returns the number of calls of this host by level, by model or service. Both
// waiting calls and those that run count.
func (s *Scheduler) Levels() map[string][]int {
	if !s.shared {
		return nil
	}
	out := map[string][]int{}
	for _, c := range s.calls {
		name, level := c.pool.key.name(), s.level(c)
		list := out[name]
		for len(list) <= level {
			list = append(list, 0)
		}
		list[level]++
		out[name] = list
	}
	return out
}

// objective returns the part of the rank of a call by which calls with less time left
// of their objectives go first. It is limited, so that no call waits forever.
func (c *call) objective() time.Duration {
	if c.Objective == 0 {
		return maxObjective
	}
	return min(c.Objective, maxObjective)
}

// chargeStart charges the expected work of a run, before its cost is known: a team
// could otherwise start any number of runs.
func (s *Scheduler) chargeStart(c *call) {
	if !s.shared {
		return
	}
	work := c.pool.costs.meanRunSeconds
	if s.meanCharge == 0 {
		s.meanCharge = work
	}
	s.meanCharge += meanWeight * (work - s.meanCharge)
	c.charged += work
	c.team.shares.charge(s.now, work)
}

// chargeEnd corrects the charge at the end of a run by its work. A run that the
// server has not begun is free.
func (s *Scheduler) chargeEnd(c *call, u Usage, o Outcome) {
	if c.charged == 0 {
		return
	}
	work := c.charged
	switch {
	case o == FailedUnsent || o == Unreachable || o == Rejected || o == Superseded:
		work = 0
	case o == Succeeded && c.Service == "" && u.OutputTokens > 0:
		tokens := float64(u.OutputTokens) + promptWork*float64(u.PromptTokens)
		k := c.pool.costs
		if k.meanRunWork == 0 {
			k.meanRunWork = tokens
		}
		k.meanRunWork += meanWeight * (tokens - k.meanRunWork)
		work = k.meanRunSeconds * tokens / k.meanRunWork
	}
	c.team.shares.charge(s.now, work-c.charged)
	c.charged = 0
}

// sharedWait returns the expected wait of a call that arrives now, behind the calls
// of all hosts that go before it. The servers' queues
// have the order of the levels. Teams above their share get only the part of the
// servers that the others leave: the part that they have got lately.
func (s *Scheduler) sharedWait(c *call, q ServiceQueue) time.Duration {
	level, before, same := s.level(c), 0, 0
	for _, v := range c.pool.members {
		before -= v.slots()
	}
	for i, n := range q.Levels {
		switch {
		case i < level:
			before += n
		case i == level:
			same = n
		}
	}
	grade := min(c.team.shares.grade(s.now, s.serviceAt), priorityLevels-1)
	rate := q.PerSecond
	if grade > 0 {
		rate *= max(minLeftShare, s.usedAbove[grade])
	}
	same = max(0, min(same, before+same))
	seconds := float64(max(0, before))/q.PerSecond + float64(same)/rate
	return time.Duration(seconds * float64(time.Second))
}

// sharedRetry returns the time after which the caller of a refused call is told to
// return: once there is room, spread over the time in which the servers can run what
// was refused lately at all hosts.
func (s *Scheduler) sharedRetry(p *pool, q ServiceQueue, room time.Duration) time.Duration {
	p.refusals *= math.Exp(-(s.now - p.refusalsAt).Seconds() / serviceTimeConstant.Seconds())
	p.refusalsAt = s.now
	p.refusals++
	backlog := time.Duration(p.refusals * float64(s.hosts) / q.PerSecond * float64(time.Second))
	d := room + time.Duration(s.random.Float64()*float64(max(room, backlog)))
	return min(maxSharedRetry, max(minHopelessRetry, d))
}
