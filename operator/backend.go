// Package operator is the HTTP API for operators, and its client: plan, apply,
// get, watch and status of the configuration tree.
package operator

import (
	"context"

	"github.com/sycamoreline/sycamoreline/credential"
	"github.com/sycamoreline/sycamoreline/tree"
)

// Backend carries out what operators ask for. Errors are verdict errors; any
// other error counts as may-have-run.
type Backend interface {
	// Apply makes a conditional change. A change that is refused for its
	// content or a conflict is an Outcome, not an error.
	Apply(ctx context.Context, c tree.Change) (tree.Outcome, error)
	// Get returns the entries whose path begins with the prefix.
	Get(ctx context.Context, prefix string) (tree.Difference, error)
	// Since returns what changed after a revision.
	Since(ctx context.Context, revision int64) (tree.Difference, error)
	Status(ctx context.Context) (Status, error)
}

// Authenticator finds the holder of a credential.
type Authenticator interface {
	Find(credential string) (credential.Identity, bool)
}

// Status is the state of the deployment.
type Status struct {
	Revision     int64           `json:"revision"` // of the configuration
	InForce      int64           `json:"in-force"` // applied by every entry host with a lease
	ControlHosts []ControlStatus `json:"control-hosts"`
	EntryHosts   []EntryStatus   `json:"entry-hosts"`
	Servers      []ServerStatus  `json:"servers"`
}

// ControlStatus is the state of one log group on one control host.
type ControlStatus struct {
	Host    string `json:"host"`
	Group   int    `json:"group"`
	Leader  bool   `json:"leader"`
	Applied uint64 `json:"applied"` // index of the last applied entry
}

// EntryStatus is the state of an entry host.
type EntryStatus struct {
	Host            string `json:"host"`
	DataCentre      string `json:"data-centre"`
	Address         string `json:"address"`
	LeaseMillis     int64  `json:"lease-ms"` // what is left of the lease
	AppliedRevision int64  `json:"applied-revision"`
	Queued          int    `json:"queued"`
	Running         int    `json:"running"`
}

// ServerStatus is the state of a backend server.
type ServerStatus struct {
	Server     string   `json:"server"`
	Kind       string   `json:"kind"`
	DataCentre string   `json:"data-centre"`
	Address    string   `json:"address"`
	Serves     []string `json:"serves"` // models, or service/operation
	Running    int      `json:"running"`
	Slots      int      `json:"slots"`
	Leaving    bool     `json:"leaving"`
}
