package control

import (
	"context"

	"github.com/sycamoreline/sycamoreline/tree"
)

// Configuration reads and changes the configuration tree through a client.
type Configuration struct {
	client *Client
}

// NewConfiguration returns a Configuration that uses the client.
func NewConfiguration(c *Client) *Configuration { return &Configuration{client: c} }

// Apply commits a change. A rejected change is reported in the Outcome, not as
// an error.
func (c *Configuration) Apply(ctx context.Context, change tree.Change) (tree.Outcome, error) {
	return Propose[tree.Outcome](ctx, c.client, ConfigGroup, configCommand{Change: &change})
}

// InForce reports whether a revision is in force on every entry host that has a
// live lease, and which of these have not applied it yet.
func (c *Configuration) InForce(ctx context.Context, revision int64) (InForce, error) {
	var r InForce
	err := c.client.callLeader(ctx, methodInForce, ConfigGroup, inForceRequest{Revision: revision}, &r)
	return r, err
}

// Since returns the changes after a revision.
func (c *Configuration) Since(ctx context.Context, revision int64) (tree.Difference, error) {
	q := configQuery{Tree: &tree.Query{Difference: &tree.DifferenceQuery{Since: revision}}}
	r, err := Query[tree.QueryResult](ctx, c.client, ConfigGroup, q)
	if err != nil || r.Difference == nil {
		return tree.Difference{}, err
	}
	return *r.Difference, nil
}
