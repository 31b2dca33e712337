package control

import (
	"context"
	"fmt"

	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// ReportCrash records which requests were in flight on a server that crashed.
func (c *Client) ReportCrash(ctx context.Context, r membership.ReportCrash) error {
	command := configCommand{Member: &membership.Command{ReportCrash: &r}}
	res, err := Propose[membership.Result](ctx, c, ConfigGroup, command)
	if err == nil && res.Refusal != nil {
		err = verdict.New(verdict.NotRun, res.Refusal.Reason, res.Refusal.Message)
	}
	return err
}

// EngineReleaser asks engines to release memory through their client.
type EngineReleaser struct {
	client *engine.Client
}

// NewEngineReleaser returns a Releaser over the client.
func NewEngineReleaser(c *engine.Client) *EngineReleaser { return &EngineReleaser{client: c} }

// Release implements Releaser. A confirmation by another incarnation is an
// error: the record belongs to the one that held the memory.
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
