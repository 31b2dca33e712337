// Package route defines the routing table of a deployment: which backend
// service serves a request, and which timeouts, retries and limits apply to it.
// It only describes, checks and searches the table; it neither distributes
// tables nor sends requests. Start reading at Table.
package route

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind determines how often a request may run.
type Kind string

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non-idempotent"
	// Stream requests are answered with server-sent events and run at most once,
	// but may be resumed on another server if the route is resumable.
	Stream Kind = "stream"
)

// Target is a service that gets a share of the requests of a route.
type Target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"` // relative to the other targets
}

// Route maps the requests for a host name and path prefix to services.
type Route struct {
	Name    string   `json:"name"`
	Host    string   `json:"host"`
	Prefix  string   `json:"prefix"` // begins and ends with a slash
	Kind    Kind     `json:"kind"`
	Targets []Target `json:"targets"`
	// Timeout is the maximum time from a request to its response.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency objective of responses. For streams it applies
	// to the first event.
	Objective time.Duration `json:"objective"`
	// GapObjective is the latency objective for the time between two events of
	// a stream.
	GapObjective time.Duration `json:"gap-objective,omitempty"`
	Priority     int           `json:"priority"`     // 0 is the most urgent
	MaxAttempts  int           `json:"max-attempts"` // servers to which one request may be sent
	Sticky       bool          `json:"sticky,omitempty"`
	Resumable    bool          `json:"resumable,omitempty"`
	// KeepsHistory stores each request and its response as a turn of a
	// conversation that a later request can continue. A conversation is stored
	// for Retention after its last turn.
	KeepsHistory bool          `json:"keeps-history,omitempty"`
	Retention    time.Duration `json:"retention,omitempty"`
	// Public routes serve requests without a key of a workspace.
	Public bool `json:"public,omitempty"`
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"health-path,omitempty"`
	MaxConnections int     `json:"max-connections,omitempty"` // to one server, from all hosts together
	Engine         *Engine `json:"engine,omitempty"`          // nil for plain services
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int   `json:"slots"` // maximum number of requests in a batch
	CacheTokens    int64 `json:"cache-tokens"`
	TokensPerEvent int64 `json:"tokens-per-event"`
}

// Limits are the limits on requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int           `json:"max-header-bytes,omitempty"`
	MaxBodyBytes   int64         `json:"max-body-bytes,omitempty"`
	HeaderTimeout  time.Duration `json:"header-timeout,omitempty"`
	IdleTimeout    time.Duration `json:"idle-timeout,omitempty"`
}

// Table is a complete routing table. A table replaces those with lower
// versions.
type Table struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	// Workspaces are the customers of the deployment. Without any, requests need no
	// key.
	Workspaces []Workspace `json:"workspaces,omitempty"`
}

// Check returns an error if the table is not valid.
func (t *Table) Check() error {
	if t.Version < 1 {
		return fmt.Errorf("version %d: want 1 or more", t.Version)
	}
	services := map[string]bool{}
	for _, s := range t.Services {
		if s.Name == "" || services[s.Name] {
			return fmt.Errorf("service %q: want a unique, non-empty name", s.Name)
		}
		services[s.Name] = true
	}
	prefixes := map[string]bool{}
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := r.check(services); err != nil {
			return fmt.Errorf("route %q: %w", r.Name, err)
		}
		prefix := r.Host + r.Prefix
		if prefixes[prefix] {
			return fmt.Errorf("route %q: another route has the same host and prefix", r.Name)
		}
		prefixes[prefix] = true
	}
	return checkWorkspaces(t.Workspaces)
}

func (r *Route) check(services map[string]bool) error {
	switch r.Kind {
	case Idempotent, NonIdempotent, Stream:
	default:
		return fmt.Errorf("kind %q: want idempotent, non-idempotent or stream", r.Kind)
	}
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("host %q and prefix %q: want a host, and a prefix that begins and ends with a slash", r.Host, r.Prefix)
	}
	if r.Timeout <= 0 {
		return fmt.Errorf("timeout %v: want more than 0", r.Timeout)
	}
	sum := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return fmt.Errorf("service %q is not in the table", t.Service)
		}
		if t.Weight < 0 {
			return fmt.Errorf("weight %d of service %q: want 0 or more", t.Weight, t.Service)
		}
		sum += t.Weight
	}
	if sum == 0 {
		return fmt.Errorf("the weights of its services add up to 0")
	}
	return nil
}

// Pick returns a service at random by weight. Draw is a random number with
// 0 <= draw < 1.
func (r *Route) Pick(draw float64) string {
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	at := int(draw * float64(sum))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Index is a lookup structure for the routes, services and workspaces of a Table.
type Index struct {
	table      *Table
	routes     map[string][]*Route // by host, longest prefix first
	services   map[string]*Service
	workspaces map[string]*Workspace // by hash of a key
}

// NewIndex returns the index of a table, which must be valid.
func NewIndex(t *Table) *Index {
	x := &Index{table: t, routes: map[string][]*Route{}, services: map[string]*Service{}, workspaces: map[string]*Workspace{}}
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
	for i := range t.Workspaces {
		for _, hash := range t.Workspaces[i].KeyHashes {
			x.workspaces[hash] = &t.Workspaces[i]
		}
	}
	return x
}

// Version returns the version of the table.
func (x *Index) Version() int64 { return x.table.Version }

// Limits returns the limits of the table.
func (x *Index) Limits() Limits { return x.table.Limits }

// Match returns the route with the longest prefix of path among the routes of
// host, or nil if none matches.
func (x *Index) Match(host, path string) *Route {
	for _, r := range x.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }
