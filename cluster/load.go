package cluster

import (
	"slices"
	"time"
)

const (
	// loadMaxAge is the age above which the report of an entry host is ignored.
	// Hosts report about every syncInterval or more often.
	loadMaxAge = 1500 * time.Millisecond
	// suspectTTL is how long a suspect is kept after its last report.
	// Callers retry within a minute.
	suspectTTL = 90 * time.Second
)

type hostLoad struct {
	inFlight   map[string]int
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
}

func newLoads() *loads {
	return &loads{hosts: map[string]hostLoad{}, suspects: map[uint64]*suspectRecord{}}
}

func (l *loads) report(now time.Duration, r *syncRequest) {
	l.hosts[r.Host] = hostLoad{inFlight: r.InFlight, reportedAt: now}
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
		}
	}
	for f, s := range l.suspects {
		if now-s.reportedAt > suspectTTL {
			delete(l.suspects, f)
		}
	}
}

// remoteInFlight returns the sum of the in-flight requests of all hosts but
// one, by server.
func (l *loads) remoteInFlight(now time.Duration, host string) map[string]int {
	sum := map[string]int{}
	for h, r := range l.hosts {
		if h == host || now-r.reportedAt > loadMaxAge {
			continue
		}
		for id, n := range r.inFlight {
			sum[id] += n
		}
	}
	return sum
}

func (l *loads) suspectList() []Suspect {
	var out []Suspect
	for f, s := range l.suspects {
		out = append(out, Suspect{Fingerprint: f, Servers: s.servers})
	}
	return out
}
