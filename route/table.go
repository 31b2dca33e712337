// Package route is the routing table of a deployment: which backend service
// takes a request, and what may be done with it.
package route

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind string

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non-idempotent"
	// Stream requests are answered by server-sent events and run at most once,
	// but may be continued elsewhere if the route is resumable.
	Stream Kind = "stream"
)

// Target is a service that takes a part of a route's requests.
type Target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"` // relative to the other targets
}

// Route sends the requests of a host name and path prefix to services.
type Route struct {
	Name    string   `json:"name"`
	Host    string   `json:"host"`
	Prefix  string   `json:"prefix"` // begins and ends with a slash
	Kind    Kind     `json:"kind"`
	Targets []Target `json:"targets"`
	// Timeout is the longest time that a request may wait for its answer.
	Timeout time.Duration `json:"timeout"`
	// Objective is the time in which an answer is on time; of a stream, its
	// first event.
	Objective time.Duration `json:"objective"`
	// GapObjective is the longest pause between events that is on time.
	GapObjective time.Duration `json:"gap-objective,omitempty"`
	Priority     int           `json:"priority"`     // 0 is the most urgent
	MaxAttempts  int           `json:"max-attempts"` // servers that may run one request
	Sticky       bool          `json:"sticky,omitempty"`
	Resumable    bool          `json:"resumable,omitempty"`
	// KeepsHistory makes each answered request a turn that a later one can
	// continue, for Retention after the last turn of the chain.
	KeepsHistory bool          `json:"keeps-history,omitempty"`
	Retention    time.Duration `json:"retention,omitempty"`
}

// Service is a group of backend servers that run the same requests.
type Service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"health-path,omitempty"`
	MaxConnections int     `json:"max-connections,omitempty"` // of one server, from all hosts
	Engine         *Engine `json:"engine,omitempty"`          // nil for plain services
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int   `json:"slots"` // requests in one batch
	CacheTokens    int64 `json:"cache-tokens"`
	TokensPerEvent int64 `json:"tokens-per-event"`
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int           `json:"max-header-bytes,omitempty"`
	MaxBodyBytes   int64         `json:"max-body-bytes,omitempty"`
	HeaderTimeout  time.Duration `json:"header-timeout,omitempty"`
	IdleTimeout    time.Duration `json:"idle-timeout,omitempty"`
}

// Table is a whole routing configuration. Of two tables, the one with the
// higher version is in force.
type Table struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Check returns what makes the table unusable, or nil.
func (t *Table) Check() error {
	if t.Version < 1 {
		return fmt.Errorf("version %d: want 1 or more", t.Version)
	}
	services := map[string]bool{}
	for _, s := range t.Services {
		if s.Name == "" || services[s.Name] {
			return fmt.Errorf("service %q: want a name that no other service has", s.Name)
		}
		services[s.Name] = true
	}
	places := map[string]bool{}
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := r.check(services); err != nil {
			return fmt.Errorf("route %q: %w", r.Name, err)
		}
		place := r.Host + r.Prefix
		if places[place] {
			return fmt.Errorf("route %q: another route has the same host and prefix", r.Name)
		}
		places[place] = true
	}
	return nil
}

func (r *Route) check(services map[string]bool) error {
	switch r.Kind {
	case Idempotent, NonIdempotent, Stream:
	default:
		return fmt.Errorf("kind %q: want idempotent, non-idempotent or stream", r.Kind)
	}
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("host %q and prefix %q: want a host, and a prefix between slashes", r.Host, r.Prefix)
	}
	if r.Timeout <= 0 {
		return fmt.Errorf("timeout %v: want more than 0", r.Timeout)
	}
	sum := 0
	for _, g := range r.Targets {
		if !services[g.Service] {
			return fmt.Errorf("service %q is not in the table", g.Service)
		}
		if g.Weight < 0 {
			return fmt.Errorf("weight %d of service %q: want 0 or more", g.Weight, g.Service)
		}
		sum += g.Weight
	}
	if sum == 0 {
		return fmt.Errorf("the weights of its services add up to 0")
	}
	return nil
}

// Pick returns the service for a request. A draw is in [0, 1).
func (r *Route) Pick(draw float64) string {
	sum := 0
	for _, g := range r.Targets {
		sum += g.Weight
	}
	at := int(draw * float64(sum))
	for _, g := range r.Targets {
		if at < g.Weight {
			return g.Service
		}
		at -= g.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Index finds routes and services of a table.
type Index struct {
	table    *Table
	routes   map[string][]*Route // by host, longest prefix first
	services map[string]*Service
}

// NewIndex returns the index of a checked table.
func NewIndex(t *Table) *Index {
	x := &Index{table: t, routes: map[string][]*Route{}, services: map[string]*Service{}}
	for i := range t.Routes {
		r := &t.Routes[i]
		x.routes[r.Host] = append(x.routes[r.Host], r)
	}
	for _, rs := range x.routes {
		slices.SortFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range t.Services {
		x.services[t.Services[i].Name] = &t.Services[i]
	}
	return x
}

// Version returns the version of the table.
func (x *Index) Version() int64 { return x.table.Version }

// Limits returns the limits of the table.
func (x *Index) Limits() Limits { return x.table.Limits }

// Match returns the route with the longest prefix that begins the path, or nil.
func (x *Index) Match(host, path string) *Route {
	for _, r := range x.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }
