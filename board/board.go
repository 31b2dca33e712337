// Package board holds the state that the components of an entry host share: the
// backend servers, the configuration in force and the host's lease. It does no
// I/O: package control writes the updates that it receives from the control
// hosts, and package dispatch reads them. Start reading at Board.
package board

import (
	"sort"
	"sync"
	"time"

	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/tree"
)

// Board is the shared state of an entry host. It is safe for concurrent use.
// Times are durations since the process started.
type Board struct {
	mu              sync.RWMutex
	servers         map[string]membership.Server  // by id
	suspects        map[string]membership.Suspect // by fingerprint
	memberRevision  int64
	hosts           int                   // entry hosts with a live lease, at least 1
	entries         map[string]tree.Entry // configuration tree, by path
	appliedRevision int64
	config          *Config
	leaseExpiry     time.Duration
	draining        bool
	listeners       []func(Event)
}

// Event identifies the part of the board that has changed.
type Event uint8

// The events.
const (
	ServersChanged Event = iota // servers, suspects or number of hosts
	ConfigChanged
	LeaseChanged // lease or draining
)

// New returns an empty board without a lease.
func New() *Board {
	return &Board{
		servers:  make(map[string]membership.Server),
		suspects: make(map[string]membership.Suspect),
		entries:  make(map[string]tree.Entry),
		config:   newConfig(nil),
		hosts:    1,
	}
}

// Subscribe registers a function that is called after each change, on the
// writer's goroutine and without the board's lock. Subscribe must be called
// before the first write.
func (b *Board) Subscribe(f func(Event)) { b.listeners = append(b.listeners, f) }

func (b *Board) notify(e Event) {
	for _, f := range b.listeners {
		f(e)
	}
}

// ApplyMembers applies a member difference. A difference with a lower revision
// than the applied one is ignored, since responses can arrive late.
func (b *Board) ApplyMembers(d membership.Difference) {
	b.mu.Lock()
	changed := d.Revision > b.memberRevision || d.Full || d.Hosts != b.hosts
	if d.Revision < b.memberRevision {
		b.mu.Unlock()
		return
	}
	if d.Full {
		b.servers = make(map[string]membership.Server, len(d.Servers))
		b.suspects = make(map[string]membership.Suspect, len(d.Suspects))
	}
	for _, v := range d.Servers {
		if v.Gone {
			delete(b.servers, v.Server)
			continue
		}
		b.servers[v.Server] = v
	}
	for _, v := range d.Suspects {
		if v.Crashes == 0 {
			delete(b.suspects, v.Fingerprint)
			continue
		}
		b.suspects[v.Fingerprint] = v
	}
	b.memberRevision = d.Revision
	b.hosts = max(1, d.Hosts)
	b.mu.Unlock()
	if changed {
		b.notify(ServersChanged)
	}
}

// ApplyConfig applies a configuration difference. It is ignored unless its
// revision is higher than the applied one, so that the configuration never
// reverts.
func (b *Board) ApplyConfig(d tree.Difference) {
	b.mu.Lock()
	if d.Revision <= b.appliedRevision {
		b.mu.Unlock()
		return
	}
	if d.Full {
		b.entries = make(map[string]tree.Entry, len(d.Entries))
	}
	for _, e := range d.Entries {
		if e.Deleted {
			delete(b.entries, e.Path)
			continue
		}
		b.entries[e.Path] = e
	}
	b.config = newConfig(b.entries)
	b.appliedRevision = d.Revision
	b.mu.Unlock()
	b.notify(ConfigChanged)
}

// ExtendLease extends the lease of this host to the given time. It never
// shortens the lease.
func (b *Board) ExtendLease(until time.Duration) {
	b.mu.Lock()
	changed := until > b.leaseExpiry
	b.leaseExpiry = max(b.leaseExpiry, until)
	b.mu.Unlock()
	if changed {
		b.notify(LeaseChanged)
	}
}

// LeaseLive reports whether the lease is live at the given time. Without a live
// lease, the host must not accept new work.
func (b *Board) LeaseLive(now time.Duration) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return now < b.leaseExpiry
}

// SetDraining marks the host as shutting down. The board itself rejects nothing.
func (b *Board) SetDraining() {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	b.notify(LeaseChanged)
}

// Draining reports whether the host is shutting down.
func (b *Board) Draining() bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.draining
}

// Server returns a backend server by its id.
func (b *Board) Server(id string) (membership.Server, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	v, ok := b.servers[id]
	return v, ok
}

// Servers returns all backend servers, ordered by id.
func (b *Board) Servers() []membership.Server {
	b.mu.RLock()
	defer b.mu.RUnlock()
	all := make([]membership.Server, 0, len(b.servers))
	for _, v := range b.servers {
		all = append(all, v)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Server < all[j].Server })
	return all
}

// Suspects returns the requests that were in flight on crashed servers.
func (b *Board) Suspects() []membership.Suspect {
	b.mu.RLock()
	defer b.mu.RUnlock()
	all := make([]membership.Suspect, 0, len(b.suspects))
	for _, v := range b.suspects {
		all = append(all, v)
	}
	return all
}

// Operation returns an operation of a plain service as its servers announce it.
// The operation is idempotent only if all of them announce it as idempotent.
func (b *Board) Operation(service, operation string) (op membership.Operation, found bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, v := range b.servers {
		if v.Kind != membership.Service || v.ServiceName != service {
			continue
		}
		for _, o := range v.Operations {
			if o.Name == operation {
				// Servers may differ during an upgrade. Non-idempotent is the safe choice.
				if !found || !o.Idempotent {
					op = o
				}
				found = true
			}
		}
	}
	return op, found
}

// HasModel reports whether any server announces the model.
func (b *Board) HasModel(model string) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, v := range b.servers {
		for _, m := range v.Models {
			if m.Name == model {
				return true
			}
		}
	}
	return false
}

// Hosts returns the number of entry hosts with a live lease, at least 1.
func (b *Board) Hosts() int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.hosts
}

// Config returns the configuration in force on this host.
func (b *Board) Config() *Config {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.config
}

// Revisions returns the applied configuration revision and the member
// revision.
func (b *Board) Revisions() (applied, members int64) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.appliedRevision, b.memberRevision
}
