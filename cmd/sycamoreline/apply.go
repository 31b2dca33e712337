package main

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"github.com/sycamoreline/sycamoreline/operator"
	"github.com/sycamoreline/sycamoreline/tree"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// folderCommand holds the flags and methods that plan and apply share.
type folderCommand struct {
	output
	connection
	prune bool
}

func (c *folderCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.BoolVar(&c.prune, "prune", false, "delete paths for which the directory has no file")
}

// plan returns the changes that make the configuration tree match a directory.
func (c *folderCommand) plan(ctx context.Context, client *operator.Client, root string) (operator.Plan, error) {
	folder, err := operator.ReadFolder(root)
	if err != nil {
		return operator.Plan{}, err
	}
	current, err := client.Get(ctx, "")
	if err != nil {
		return operator.Plan{}, err
	}
	return operator.NewPlan(folder, current.Entries, c.prune), nil
}

// client checks the arguments and creates a client for the operator API.
func (c *folderCommand) client(name string, f *flag.FlagSet) (*operator.Client, subcommands.ExitStatus) {
	if f.NArg() != 1 || !c.complete() {
		return nil, c.usageError("%s: want -entry, -credential and one settings directory; see sycamoreline help %s", name, name)
	}
	token, httpClient, err := c.newHTTPClient()
	if err != nil {
		return nil, c.usageError("%s: %s", name, err)
	}
	return operator.NewClient(c.urls(), token, httpClient), subcommands.ExitSuccess
}

type planCommand struct{ folderCommand }

func (*planCommand) Name() string     { return "plan" }
func (*planCommand) Synopsis() string { return "show what apply would change" }
func (*planCommand) Usage() string {
	return `sycamoreline plan -entry URL[,URL...] -credential FILE [-prune] DIRECTORY

Compares a directory of settings files with the configuration tree. The file
teams/tailor-paws/limits.json holds the value of /teams/tailor-paws/limits.

Example:
  sycamoreline plan -entry http://127.0.0.1:7211 \
    -credential examples/local/operator.credential examples/local/settings

Flags:
`
}

func (c *planCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, status := c.client("plan", f)
	if client == nil {
		return status
	}
	plan, err := c.plan(ctx, client, f.Arg(0))
	if err != nil {
		return c.exitStatus(err)
	}
	plan.Print(c.out)
	return subcommands.ExitSuccess
}

type applyCommand struct{ folderCommand }

func (*applyCommand) Name() string     { return "apply" }
func (*applyCommand) Synopsis() string { return "change the configuration tree to match a directory" }

func (*applyCommand) Usage() string {
	return `sycamoreline apply -entry URL[,URL...] -credential FILE [-prune] DIRECTORY

Sends the difference that plan shows as one change. It is applied as a whole,
or not at all if any of its paths was changed meanwhile. The change is kept in
the directory until its outcome is known; if the response is lost, the next
apply sends the same change again and gets its outcome. Then waits until the
change is in force on every entry host.

Example:
  sycamoreline apply -entry http://127.0.0.1:7211 \
    -credential examples/local/operator.credential examples/local/settings

Flags:
`
}

func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, status := c.client("apply", f)
	if client == nil {
		return status
	}
	pending := operator.NewPending(f.Arg(0))
	change, err := pending.Load()
	if err != nil {
		return c.exitStatus(err)
	}
	if change != nil {
		fmt.Fprintf(c.out, "sending change %s again, since its outcome is not known\n", change.ChangeID)
		if status := c.send(ctx, client, pending, *change, true); status != subcommands.ExitSuccess {
			return status
		}
	}
	plan, err := c.plan(ctx, client, f.Arg(0))
	if err != nil {
		return c.exitStatus(err)
	}
	plan.Print(c.out)
	if len(plan.Steps) == 0 {
		return subcommands.ExitSuccess
	}
	next := tree.Change{ChangeID: "change-" + rand.Text(), Writes: plan.Writes()}
	if err := pending.Save(next); err != nil {
		return c.failure(err)
	}
	return c.send(ctx, client, pending, next, false)
}

// send sends a change, and clears the pending change once its outcome is known.
// The rejection of a resend does not reveal the outcome of the first send.
func (c *applyCommand) send(ctx context.Context, client *operator.Client, pending operator.Pending, change tree.Change, resend bool) subcommands.ExitStatus {
	outcome, err := client.Apply(ctx, change)
	if err != nil && (resend || verdict.Of(err) == verdict.MayHaveRun) {
		fmt.Fprintf(c.errs, "%s\nthe outcome is not known: run apply again, which sends change %s again\n", err, change.ChangeID)
		return subcommands.ExitFailure
	}
	if clearErr := pending.Clear(); clearErr != nil {
		return c.failure(clearErr)
	}
	if err != nil {
		return c.failure(err)
	}
	if !outcome.Applied {
		fmt.Fprintf(c.errs, "change %s was not applied: %s: %s\n", change.ChangeID, outcome.Reason, outcome.Message)
		for _, e := range outcome.Conflicts {
			fmt.Fprintf(c.errs, "  %s is at version %d, set by change %s: %s\n", e.Path, e.Version, e.ChangeID, e.Value)
		}
		return subcommands.ExitFailure
	}
	fmt.Fprintf(c.out, "change %s applied at revision %d\n", change.ChangeID, outcome.Revision)
	c.reportInForce(ctx, client, outcome.Revision)
	return subcommands.ExitSuccess
}

const (
	// inForceTimeout is the maximum time until an accepted change is in force on
	// every entry host.
	inForceTimeout      = 8 * time.Second
	inForcePollInterval = 100 * time.Millisecond
)

// reportInForce waits until the change is in force on every entry host. A timeout
// is not a failure of the command, since the change has been accepted.
func (c *applyCommand) reportInForce(ctx context.Context, client *operator.Client, revision int64) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for {
		s, err := client.Status(ctx)
		switch {
		case err == nil && s.InForce && s.Revision >= revision:
			fmt.Fprintf(c.out, "in force on every entry host after %s\n", time.Since(started).Round(time.Millisecond))
			return
		case verdict.From(err) != nil && verdict.From(err).Reason() == verdict.Forbidden:
			// Only operators may read the status of all hosts.
			return
		}
		select {
		case <-ctx.Done():
			fmt.Fprintf(c.errs, "not confirmed to be in force everywhere after %s: see sycamoreline status\n", inForceTimeout)
			return
		case <-time.After(inForcePollInterval):
		}
	}
}
