package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"github.com/sycamoreline/sycamoreline/operator"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/tree"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// inspectCommand holds the flags and methods that get, watch and status share.
type inspectCommand struct {
	output
	connection
	json bool
}

func (c *inspectCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *inspectCommand) client(name string, f *flag.FlagSet, maxArguments int) (*operator.Client, subcommands.ExitStatus) {
	if f.NArg() > maxArguments || !c.complete() {
		return nil, c.usageError("%s: want -entry, -credential and at most %d arguments; see sycamoreline help %s", name, maxArguments, name)
	}
	token, httpClient, err := c.newHTTPClient()
	if err != nil {
		return nil, c.usageError("%s: %s", name, err)
	}
	return operator.NewClient(c.urls(), token, httpClient), subcommands.ExitSuccess
}

func (c *inspectCommand) print(entries []tree.Entry) {
	for _, e := range entries {
		switch {
		case c.json:
			// Marshalling cannot fail: the entries were unmarshalled from JSON.
			data, _ := json.Marshal(e)
			fmt.Fprintln(c.out, string(data))
		case e.Deleted:
			fmt.Fprintf(c.out, "%s deleted at revision %d by %s\n", e.Path, e.Revision, e.ChangeID)
		default:
			fmt.Fprintf(c.out, "%s version %d, revision %d, by %s\n    %s\n", e.Path, e.Version, e.Revision, e.ChangeID, e.Value)
		}
	}
}

type getCommand struct{ inspectCommand }

func (*getCommand) Name() string     { return "get" }
func (*getCommand) Synopsis() string { return "print paths of the configuration tree" }
func (*getCommand) Usage() string {
	return `sycamoreline get -entry URL[,URL...] -credential FILE [-json] [PREFIX]

Prints the paths that begin with the prefix, with version and value.

Example:
  sycamoreline get -entry http://127.0.0.1:7211 \
    -credential examples/local/operator.credential /teams/

Flags:
`
}

func (c *getCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, status := c.client("get", f, 1)
	if client == nil {
		return status
	}
	d, err := client.Get(ctx, f.Arg(0))
	if err != nil {
		return c.failure(err)
	}
	c.print(d.Entries)
	return subcommands.ExitSuccess
}

type watchCommand struct {
	inspectCommand
	since int64
}

func (*watchCommand) Name() string { return "watch" }
func (*watchCommand) Synopsis() string {
	return "print changes of the configuration tree as they happen"
}

func (*watchCommand) Usage() string {
	return `sycamoreline watch -entry URL[,URL...] -credential FILE [-json] [-since REVISION]

Prints each changed path until interrupted. Without -since, it begins with the
whole tree.

Example:
  sycamoreline watch -entry http://127.0.0.1:7211 \
    -credential examples/local/operator.credential

Flags:
`
}

func (c *watchCommand) SetFlags(f *flag.FlagSet) {
	c.inspectCommand.SetFlags(f)
	f.Int64Var(&c.since, "since", 0, "print only changes after this revision")
}

// watchRetryInterval is the backoff after a watch that no entry host could serve.
const watchRetryInterval = time.Second

func (c *watchCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, status := c.client("watch", f, 0)
	if client == nil {
		return status
	}
	for {
		d, err := client.Since(ctx, c.since)
		switch {
		case ctx.Err() != nil:
			return subcommands.ExitSuccess
		case err != nil && verdict.From(err).Status() < 500:
			return c.failure(err)
		case err != nil:
			fmt.Fprintln(c.errs, err)
			pause.For(ctx, watchRetryInterval)
			continue
		}
		c.print(d.Entries)
		c.since = max(c.since, d.Revision)
	}
}

type statusCommand struct{ inspectCommand }

func (*statusCommand) Name() string { return "status" }
func (*statusCommand) Synopsis() string {
	return "print hosts, servers, leases and configuration versions"
}

func (*statusCommand) Usage() string {
	return `sycamoreline status -entry URL[,URL...] -credential FILE [-json]

Prints control hosts, entry hosts and backend servers as tables, or as JSON.

Example:
  sycamoreline status -entry http://127.0.0.1:7211 \
    -credential examples/local/operator.credential

Flags:
`
}

func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, status := c.client("status", f, 0)
	if client == nil {
		return status
	}
	state, err := client.Status(ctx)
	if err != nil {
		return c.failure(err)
	}
	if c.json {
		// Marshalling cannot fail: the status was unmarshalled from JSON.
		data, _ := json.MarshalIndent(state, "", "  ")
		fmt.Fprintln(c.out, string(data))
		return subcommands.ExitSuccess
	}
	if err := state.Print(c.out); err != nil {
		return c.failure(err)
	}
	return subcommands.ExitSuccess
}
