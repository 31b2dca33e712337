package cluster

import (
	"slices"
	"time"
)

const (
	// loadMaxAge is how long the report of an entry host counts. Hosts report
	// several times a second.
	loadMaxAge = 1500 * time.Millisecond
	// suspectTTL is how long a request is remembered after the last server
	// that it was seen to crash. Callers return within a minute.
	suspectTTL = 90 * time.Second
)

type hostLoad struct {
	inFlight map[string]int
	at   time.Duration
}

type suspectRecord struct {
	servers []string
	at      time.Duration
}

// loads sums up what entry hosts report. It is not safe for concurrent use.
type loads struct {
	hosts    map[string]hostLoad
	suspects map[uint64]*suspectRecord
}

func newLoads() *loads {
	return &loads{hosts: map[string]hostLoad{}, suspects: map[uint64]*suspectRecord{}}
}

func (l *loads) report(now time.Duration, r *syncRequest) {
	l.hosts[r.Host] = hostLoad{inFlight: r.InFlight, at: now}
	for _, s := range r.Suspects {
		k := l.suspects[s.Fingerprint]
		if k == nil {
			k = &suspectRecord{}
			l.suspects[s.Fingerprint] = k
		}
		k.at = now
		for _, id := range s.Servers {
			if !slices.Contains(k.servers, id) {
				k.servers = append(k.servers, id)
			}
		}
	}
}

// expire forgets hosts and suspects that have not been heard of.
func (l *loads) expire(now time.Duration) {
	for h, r := range l.hosts {
		if now-r.at > 4*loadMaxAge {
			delete(l.hosts, h)
		}
	}
	for f, s := range l.suspects {
		if now-s.at > suspectTTL {
			delete(l.suspects, f)
		}
	}
}

// remoteInFlight sums the runs of all hosts but one.
func (l *loads) remoteInFlight(now time.Duration, host string) map[string]int {
	sum := map[string]int{}
	for h, r := range l.hosts {
		if h == host || now-r.at > loadMaxAge {
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
