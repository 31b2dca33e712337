package control

import (
	"context"
	"fmt"

	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// ReportCrash records the requests that were in flight on a server when it
// crashed.
func (c *Client) ReportCrash(ctx context.Context, r membership.ReportCrash) error {
	_, err := c.proposeMember(ctx, membership.Command{ReportCrash: &r})
	return err
}

// Quarantine requests the exclusive right to run suspect requests on a server.
// It is refused while another live host holds the right.
func (c *Client) Quarantine(ctx context.Context, host, incarnation, server string) (membership.Grant, error) {
	r, err := c.proposeMember(ctx, membership.Command{Acquire: &membership.Acquire{
		Resource: "/quarantine/" + server, Server: server, Host: host, HostIncarnation: incarnation,
	}})
	if err != nil {
		return membership.Grant{}, err
	}
	if r.Grant == nil {
		return membership.Grant{}, incompleteError("grant")
	}
	return *r.Grant, nil
}

// EndQuarantine releases the right that Quarantine granted.
func (c *Client) EndQuarantine(ctx context.Context, g membership.Grant) error {
	_, err := c.proposeMember(ctx, membership.Command{Yield: &membership.Yield{Resource: g.Resource, Fencing: g.Fencing}})
	return err
}

func (c *Client) proposeMember(ctx context.Context, m membership.Command) (membership.Result, error) {
	r, err := Propose[membership.Result](ctx, c, ConfigGroup, configCommand{Member: &m})
	if err == nil && r.Refusal != nil {
		err = verdict.New(verdict.NotRun, r.Refusal.Reason, r.Refusal.Message)
	}
	return r, err
}

// EngineReleaser is a Releaser that calls engines.
type EngineReleaser struct {
	client *engine.Client
}

// NewEngineReleaser returns a Releaser that uses the client.
func NewEngineReleaser(c *engine.Client) *EngineReleaser { return &EngineReleaser{client: c} }

// Release implements Releaser. A confirmation by another incarnation is an
// error: the release is recorded for the incarnation that held the memory.
func (r *EngineReleaser) Release(ctx context.Context, address, incarnation, program string) error {
	released, err := r.client.Release(ctx, address, program)
	if err != nil {
		return err
	}
	if released.Incarnation != incarnation {
		return fmt.Errorf("engine at %s is incarnation %s, not %s", address, released.Incarnation, incarnation)
	}
	return nil
}
