// Package operator implements the HTTP API for operators and its client:
// planning, applying, reading and watching changes of the configuration tree,
// and the status of the deployment. It checks credentials and values; a
// Backend stores and replicates the tree. Start with New and Client.
package operator

import (
	"context"

	"github.com/sycamoreline/sycamoreline/credential"
	"github.com/sycamoreline/sycamoreline/tree"
)

// Backend executes the requests of operators. Its errors are verdict errors;
// any other error counts as may-have-run.
type Backend interface {
	// Apply makes a conditional change. If the change is rejected because of
	// its content or a conflict, it returns an Outcome, not an error.
	Apply(ctx context.Context, c tree.Change) (tree.Outcome, error)
	// Get returns the entries whose path begins with the prefix.
	Get(ctx context.Context, prefix string) (tree.Difference, error)
	// Since returns the changes after a revision.
	Since(ctx context.Context, revision int64) (tree.Difference, error)
	Status(ctx context.Context) (Status, error)
}

// Authenticator returns the identity of a credential's holder.
type Authenticator interface {
	Find(credential string) (credential.Identity, bool)
}

// Status is the state of the deployment as reported by one entry host. A
// Client merges the reports of its entry hosts.
type Status struct {
	Revision int64 `json:"revision"` // configuration revision
	// InForce means that every entry host with a lease has applied the revision.
	InForce    bool           `json:"in-force"`
	Waiting    []string       `json:"waiting"` // entry hosts that have not applied the revision
	EntryHosts []EntryStatus  `json:"entry-hosts"`
	Servers    []ServerStatus `json:"servers"`
	Groups     []GroupStatus  `json:"log-groups"`
}

// GroupStatus is the state of a log group as reported by one control host.
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
	Phase           string `json:"phase"`           // "serving", or a phase of the shutdown
	Error           string `json:"error,omitempty"` // set if the host did not answer
}

// ServerStatus is the state of a backend server.
type ServerStatus struct {
	Server     string   `json:"server"`
	Kind       string   `json:"kind"`
	DataCentre string   `json:"data-centre"`
	Address    string   `json:"address"`
	Serves     []string `json:"serves"`  // models, or service/operation
	Running    int      `json:"running"` // in-flight calls from the entry hosts that answered
	Slots      int      `json:"slots"`
	Leaving    bool     `json:"leaving"`
}
