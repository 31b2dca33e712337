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

// Status is the state of the deployment as one entry host sees it. A Client
// joins the entry hosts of all that it is given.
type Status struct {
	Revision int64 `json:"revision"` // of the configuration
	// InForce means that every entry host with a lease has applied the revision.
	InForce    bool           `json:"in-force"`
	Waiting    []string       `json:"waiting"` // entry hosts that have not
	EntryHosts []EntryStatus  `json:"entry-hosts"`
	Servers    []ServerStatus `json:"servers"`
	Groups     []GroupStatus  `json:"log-groups"`
}

// GroupStatus is one log group as one control host sees it.
type GroupStatus struct {
	Group    int      `json:"group"`
	Host     string   `json:"host"`
	Role     string   `json:"role"`
	Leader   string   `json:"leader"`
	Commit   uint64   `json:"commit"`
	Voters   []string `json:"voters"`
	Learners []string `json:"learners"`
}

// EntryStatus is the state of an entry host.
type EntryStatus struct {
	Host            string `json:"host"`
	DataCentre      string `json:"data-centre"`
	Address         string `json:"address"`
	LeaseLive       bool   `json:"lease-live"`
	AppliedRevision int64  `json:"applied-revision"`
	Queued          int    `json:"queued"`
	Running         int    `json:"running"`
	Phase           string `json:"phase"`           // serving, or how far its shutdown is
	Error           string `json:"error,omitempty"` // why the host did not answer
}

// ServerStatus is the state of a backend server.
type ServerStatus struct {
	Server     string   `json:"server"`
	Kind       string   `json:"kind"`
	DataCentre string   `json:"data-centre"`
	Address    string   `json:"address"`
	Serves     []string `json:"serves"`  // models, or service/operation
	Running    int      `json:"running"` // calls of the entry hosts that answered
	Slots      int      `json:"slots"`
	Leaving    bool     `json:"leaving"`
}
