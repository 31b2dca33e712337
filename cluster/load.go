package cluster

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoreline/sycamoreline/cborwire"
	"github.com/sycamoreline/sycamoreline/schedule"
)

const (
	// loadMaxAge is the age above which the report of an entry host is ignored.
	// Hosts report about every syncInterval or more often.
	loadMaxAge = 1500 * time.Millisecond
	// snapshotAgePerHost is the maximum age of the aggregated load, for each entry
	// host. The work of a control host on aggregates then grows with the number of
	// entry hosts and not with its square, and at 330 hosts they are 0.1 s old.
	snapshotAgePerHost = 300 * time.Microsecond
	// suspectTTL is how long a suspect is kept after its last report.
	// Callers retry within a minute.
	suspectTTL = 90 * time.Second
)

type hostLoad struct {
	dataCentre string
	inFlight   map[string]int
	outcomes   []ServerOutcomes
	succeeded  map[string]float64 // by service
	waiting    map[string]int     // by service
	levels     map[string][]int   // calls by level, by service
	work       *schedule.Service  // nil without workspaces
	reportedAt time.Duration
}

type suspectRecord struct {
	servers    []string
	reportedAt time.Duration
}

// loads aggregates the reports of entry hosts. It is not safe for concurrent
// use.
type loads struct {
	hosts    map[string]hostLoad
	suspects map[uint64]*suspectRecord
	// aggregate is the last aggregated load, and nil if a host has been removed since.
	aggregate *aggregatedLoad
	speeds    *schedule.Speeds
	// evidenceStale is set by a report of failures that may put a server in doubt.
	evidenceStale bool
}

// aggregatedLoad is the sum of the recent reports of all entry hosts.
type aggregatedLoad struct {
	at      time.Duration
	work    cborwire.Raw   // the encoded schedule.Service, or nil without workspaces
	total   map[string]int // in-flight requests by server
	encoded cborwire.Raw   // total, encoded once for all recipients
	byHost  map[string]map[string]int
	// evidence is the encoded list of ServerEvidence, or nil if it is empty.
	evidence   cborwire.Raw
	evidenceAt time.Duration
	// failed is the weight of the failures by server in the evidence, and of those
	// reported since.
	failed       map[string]float64
	speeds       map[string]int // in percent, of servers that differ
	speedsDigest uint64
	queues       map[string]schedule.ServiceQueue // those with waiting calls, by service
}

func newLoads() *loads {
	return &loads{hosts: map[string]hostLoad{}, suspects: map[uint64]*suspectRecord{}, speeds: schedule.NewSpeeds()}
}

func (l *loads) report(now time.Duration, r *syncRequest) {
	l.noteFailures(now, r)
	l.hosts[r.Host] = hostLoad{dataCentre: r.DataCentre, inFlight: r.InFlight, outcomes: r.Outcomes, succeeded: r.Succeeded, waiting: r.Waiting, levels: r.Levels, work: r.Service, reportedAt: now}
	for _, s := range r.Suspects {
		record := l.suspects[s.Fingerprint]
		if record == nil {
			record = &suspectRecord{}
			l.suspects[s.Fingerprint] = record
		}
		record.reportedAt = now
		for _, id := range s.Servers {
			if !slices.Contains(record.servers, id) {
				record.servers = append(record.servers, id)
			}
		}
	}
}

// expire removes entry hosts without a recent report, and suspects after
// suspectTTL.
func (l *loads) expire(now time.Duration) {
	for h, r := range l.hosts {
		if now-r.reportedAt > 4*loadMaxAge {
			delete(l.hosts, h)
			l.aggregate = nil
		}
	}
	for f, s := range l.suspects {
		if now-s.reportedAt > suspectTTL {
			delete(l.suspects, f)
		}
	}
}

// aggregated returns the aggregated load, which is computed again when it is too
// old.
func (l *loads) aggregated(now time.Duration, directory serviceDirectory) *aggregatedLoad {
	maxAge := time.Duration(len(l.hosts)) * snapshotAgePerHost
	if a := l.aggregate; a != nil && now-a.at < maxAge {
		if l.evidenceStale && now-a.evidenceAt >= maxAge/evidencePerAggregate {
			l.refreshEvidence(now, directory)
		}
		return a
	}
	a := &aggregatedLoad{at: now, total: map[string]int{}, byHost: map[string]map[string]int{}}
	var work []*schedule.Service
	for h, r := range l.hosts {
		if now-r.reportedAt > loadMaxAge {
			continue
		}
		a.byHost[h] = r.inFlight
		if r.work != nil {
			work = append(work, r.work)
		}
		for id, n := range r.inFlight {
			a.total[id] += n
		}
	}
	if len(work) > 0 {
		a.work = cborwire.MustMarshal(schedule.SumService(work))
	}
	a.encoded = cborwire.MustMarshal(a.total)
	a.queues = l.queues(now)
	a.speeds = l.speeds.Relative(now)
	a.speedsDigest = digestSpeeds(a.speeds)
	l.aggregate = a
	l.refreshEvidence(now, directory)
	return a
}

// queues returns the queues of all entry hosts together.
func (l *loads) queues(now time.Duration) map[string]schedule.ServiceQueue {
	var out map[string]schedule.ServiceQueue
	for _, r := range l.hosts {
		if now-r.reportedAt > loadMaxAge {
			continue
		}
		for service, n := range r.waiting {
			if out == nil {
				out = map[string]schedule.ServiceQueue{}
			}
			q := out[service]
			q.Waiting += n
			out[service] = q
		}
		for service, counts := range r.levels {
			if out == nil {
				out = map[string]schedule.ServiceQueue{}
			}
			q := out[service]
			q.AddLevels(counts)
			out[service] = q
		}
	}
	for service, q := range out {
		for _, r := range l.hosts {
			if age := now - r.reportedAt; age <= loadMaxAge {
				q.PerSecond += weightAfter(age) * r.succeeded[service] * outcomesPerSecond
			}
		}
		out[service] = q
	}
	return out
}

// remoteInFlight returns the in-flight requests of all hosts but one, by server.
func (a *aggregatedLoad) remoteInFlight(host string) map[string]int {
	return withoutOwn(maps.Clone(a.total), a.byHost[host])
}

// withoutOwn subtracts the in-flight requests of one host from those of all.
func withoutOwn(total, own map[string]int) map[string]int {
	for id, n := range own {
		if total[id] -= n; total[id] <= 0 {
			delete(total, id)
		}
	}
	return total
}

func (l *loads) suspectList() []Suspect {
	var out []Suspect
	for f, s := range l.suspects {
		out = append(out, Suspect{Fingerprint: f, Servers: s.servers})
	}
	return out
}

// reportTimings records the times that an entry host has seen on servers.
func (l *loads) reportTimings(now time.Duration, timings map[string]int, directory serviceDirectory) {
	for id, micros := range timings {
		if service := directory.Service(id); service != "" {
			l.speeds.Report(now, service, id, micros)
		}
	}
}

// digestSpeeds returns a hash of the speeds, which is 0 if there are none.
func digestSpeeds(speeds map[string]int) uint64 {
	if len(speeds) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, id := range slices.Sorted(maps.Keys(speeds)) {
		fmt.Fprintln(d, id, speeds[id])
	}
	return d.Sum64()
}
