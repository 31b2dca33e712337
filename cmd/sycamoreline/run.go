package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/sycamoreline/sycamoreline/caller"
)

type runCommand struct {
	output
	connection
	key  string
	json bool
}

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run a program file as a caller" }
func (*runCommand) Usage() string {
	return `sycamoreline run -entry URL[,URL...] -credential FILE [-ca FILE] [-key KEY] [-json] PROGRAM.json

Opens the program, runs its steps in order and ends it, printing each step and
its answer. Requests that fail are resent under the same idempotency key, to
the next entry host. A run that is repeated with the same -key continues where
it stopped.

Example:
  sycamoreline run -entry http://127.0.0.1:7201 \
    -credential examples/local/caller.credential examples/local/program.json

Flags:
`
}

func (c *runCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.key, "key", "", "prefix of the idempotency keys (default: random)")
	f.BoolVar(&c.json, "json", false, "print one JSON object per line")
}

func (c *runCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || !c.complete() {
		return c.usageError("run: want -entry, -credential and one program file; see sycamoreline help run")
	}
	program, err := caller.ReadProgram(f.Arg(0))
	if err != nil {
		return c.usageError("%s", err)
	}
	token, httpClient, err := c.newHTTPClient()
	if err != nil {
		return c.usageError("run: %s", err)
	}
	if c.key == "" {
		c.key = "run-" + rand.Text()
	}
	apiClient := caller.NewClient(c.urls(), token, caller.WithHTTPClient(httpClient))
	if err := caller.NewRunner(apiClient, c.key, c.report).Run(ctx, program); err != nil {
		return c.failure(err)
	}
	return subcommands.ExitSuccess
}

func (c *runCommand) report(e caller.Event) {
	if c.json {
		// Marshalling cannot fail: events consist of strings and numbers.
		data, _ := json.Marshal(e)
		fmt.Fprintln(c.out, string(data))
		return
	}
	printEvent(c.out, e)
}
