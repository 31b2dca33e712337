package board

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/tree"
)

func limitsDifference(revision int64, weight string) tree.Difference {
	return tree.Difference{Revision: revision, Entries: []tree.Entry{
		{Path: "/teams/a/limits", Value: json.RawMessage(`{"weight":` + weight + `}`), Revision: revision},
	}}
}

// Guards against a late response that reverts the configuration or the members
// to an earlier revision.
func TestLateDifferencesAreIgnored(t *testing.T) {
	b := New()
	b.ApplyConfig(limitsDifference(2, "2"))
	b.ApplyConfig(limitsDifference(1, "1"))
	team, ok := b.Config().Team("a")
	assert.Assert(t, ok)
	assert.Equal(t, team.Weight, 2.0)

	b.ApplyMembers(membership.Difference{Revision: 2, Servers: []membership.Server{server("s", true)}})
	b.ApplyMembers(membership.Difference{Revision: 1, Servers: []membership.Server{server("s", false)}})
	v, ok := b.Server("s")
	assert.Assert(t, ok && v.Leaving)
}

// server returns a backend server whose operation is idempotent only if the id
// is "old".
func server(id string, leaving bool) membership.Server {
	return membership.Server{Announcement: membership.Announcement{
		Server: id, Kind: membership.Service, ServiceName: "orders", Leaving: leaving,
		Operations: []membership.Operation{{Name: "charge", Idempotent: id == "old"}},
	}}
}

// Guards against servers that remain although a full difference lacks them, and
// against paths that remain after their deletion.
func TestFullDifferenceReplaces(t *testing.T) {
	b := New()
	b.ApplyMembers(membership.Difference{Revision: 1, Servers: []membership.Server{server("s", false)}})
	b.ApplyMembers(membership.Difference{Revision: 5, Full: true})
	assert.Equal(t, len(b.Servers()), 0)

	b.ApplyConfig(limitsDifference(1, "1"))
	b.ApplyConfig(tree.Difference{Revision: 2, Entries: []tree.Entry{{Path: "/teams/a/limits", Deleted: true}}})
	_, ok := b.Config().Team("a")
	assert.Assert(t, !ok)
}

// Guards against retries of a non-idempotent call if a server that is not yet
// upgraded still announces its operation as idempotent.
func TestServersThatDisagreeOnIdempotency(t *testing.T) {
	b := New()
	b.ApplyMembers(membership.Difference{Revision: 1, Servers: []membership.Server{server("old", false), server("new", false)}})
	operation, found := b.Operation("orders", "charge")
	assert.Assert(t, found)
	assert.Assert(t, !operation.Idempotent)
}

// Guards against a late response that shortens a lease which a newer one has
// extended, and against a host that accepts work without a lease.
func TestLease(t *testing.T) {
	b := New()
	assert.Assert(t, !b.LeaseLive(0))
	b.ExtendLease(3 * time.Second)
	b.ExtendLease(2 * time.Second)
	assert.Assert(t, b.LeaseLive(2500*time.Millisecond))
	assert.Assert(t, !b.LeaseLive(3*time.Second))
}
