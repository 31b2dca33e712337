package main

import (
	"context"
	"crypto/rand"
	"embed"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/google/subcommands"
	"go.uber.org/fx"

	"github.com/sycamoreline/sycamoreline/caller"
)

const (
	demoTimeout       = 60 * time.Second
	readyTimeout      = 15 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

//go:embed demo/*.json
var demoPrograms embed.FS

// demoRun is one program of the demo.
type demoRun struct {
	title  string
	team   string
	file   string
	entry  int  // index of the caller's first entry host
	resend bool // run again with the same keys, through another entry host
}

var demoRuns = []demoRun{
	{title: "Trois-Sillons: a kiosk lookup", team: "trois-sillons", file: "kiosk-lookup.json"},
	{title: "Trois-Sillons: a library conversation of nine turns", team: "trois-sillons", file: "library-conversation.json", entry: 1},
	{title: "Tailor Paws: a fit program that cuts an order", team: "tailor-paws", file: "fit-program.json", resend: true},
}

type demoCommand struct {
	output
	serve   bool
	verbose bool
}

func (*demoCommand) Name() string { return "demo" }
func (*demoCommand) Synopsis() string {
	return "run a deployment and some programs in one process"
}

func (*demoCommand) Usage() string {
	return `sycamoreline demo [-serve] [-logs]

Runs three control hosts, two entry hosts and stand-ins of backend servers in
one process on free loopback ports, with data in a temporary folder, and runs
programs of two deployments on them. With -serve it then keeps running until it
is interrupted.

Example:
  sycamoreline demo

Flags:
`
}

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.serve, "serve", false, "keep running after the programs")
	f.BoolVar(&c.verbose, "logs", false, "write the logs of all roles to standard error")
}

func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx); err != nil {
		return c.failure(err)
	}
	return subcommands.ExitSuccess
}

func (c *demoCommand) run(ctx context.Context) (err error) {
	folder, err := os.MkdirTemp("", "sycamoreline-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	d, err := newLocalDeployment(folder)
	if err != nil {
		return err
	}
	defer d.Close()
	level := "fatal"
	if c.verbose {
		level = "info"
	}
	app := fx.New(d.modules(c.logger(level)), withoutFxLog(), fx.StartTimeout(startTimeout), fx.StopTimeout(startTimeout))
	if err := app.Start(ctx); err != nil {
		return rootCause(err)
	}
	defer func() {
		stopCtx, cancel := context.WithTimeout(context.Background(), startTimeout)
		defer cancel()
		if stopErr := app.Stop(stopCtx); err == nil && stopErr != nil {
			err = rootCause(stopErr)
		}
	}()
	return c.runPrograms(ctx, d)
}

func (c *demoCommand) runPrograms(ctx context.Context, d *localDeployment) error {
	started := time.Now()
	timeoutCtx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	fmt.Fprintf(c.out, "%d control hosts, %d entry hosts, %d engines and %d services on loopback\n",
		len(d.controls), len(d.entries), len(d.engines), len(d.services))
	if err := d.waitReady(timeoutCtx); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "ready after %s\n", time.Since(started).Round(time.Millisecond))
	for _, r := range demoRuns {
		if err := c.runProgram(timeoutCtx, d, r); err != nil {
			return fmt.Errorf("%s: %w", r.title, err)
		}
	}
	if c.serve {
		c.printAddresses(d)
		<-ctx.Done()
	}
	fmt.Fprintf(c.out, "demo: ok: %d programs in %s\n", len(demoRuns), time.Since(started).Round(time.Millisecond))
	return nil
}

func (c *demoCommand) runProgram(ctx context.Context, d *localDeployment, r demoRun) error {
	fmt.Fprintf(c.out, "\n== %s, through %s\n", r.title, d.entries[r.entry].ID)
	program, err := d.readDemo(r.file)
	if err != nil {
		return err
	}
	urls := d.entryURLs()
	key := rand.Text()
	run := func(entry int, report func(caller.Event)) error {
		order := append(append([]string{}, urls[entry:]...), urls[:entry]...)
		return caller.NewRunner(caller.NewClient(order, d.credentials[r.team]), key, report).Run(ctx, program)
	}
	if err := run(r.entry, func(e caller.Event) { printEvent(c.out, e) }); err != nil || !r.resend {
		return err
	}
	runsBefore := len(d.services["orders"].Runs())
	otherEntry := (r.entry + 1) % len(urls)
	if err := run(otherEntry, func(caller.Event) {}); err != nil {
		return fmt.Errorf("resend of the program: %w", err)
	}
	if runsAfter := len(d.services["orders"].Runs()); runsAfter != runsBefore {
		return fmt.Errorf("a resend ran tool calls again: %d runs before, %d after", runsBefore, runsAfter)
	}
	fmt.Fprintf(c.out, "the same program sent again with the same keys, through %s: same answers, no call ran twice\n", d.entries[otherEntry].ID)
	return nil
}

func (d *localDeployment) readDemo(name string) (caller.ProgramFile, error) {
	data, err := demoPrograms.ReadFile("demo/" + name)
	if err != nil {
		return caller.ProgramFile{}, err
	}
	path := filepath.Join(d.folder, name)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return caller.ProgramFile{}, err
	}
	return caller.ReadProgram(path)
}

// waitReady waits until every entry host is ready: it has a lease and at least
// one backend server.
func (d *localDeployment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, e := range d.entries {
		for !isReady(ctx, e.OperatorListen) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("entry host %s was not ready within %s", e.ID, readyTimeout)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, address string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (c *demoCommand) printAddresses(d *localDeployment) {
	fmt.Fprintln(c.out)
	for _, e := range d.entries {
		fmt.Fprintf(c.out, "%s: callers http://%s, operators http://%s\n", e.ID, e.Listen, e.OperatorListen)
	}
	for team, token := range d.credentials {
		if team == "" {
			team = "operator"
		}
		fmt.Fprintf(c.out, "credential of %s: %s\n", team, token)
	}
	fmt.Fprintf(c.out, `try:
  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' \
    -d '{"model":"finder-3b","stream":true,"messages":[{"role":"user","content":"Which stylus fits a Dual 1219?"}]}'
interrupt to stop
`, d.entryURLs()[0], d.credentials["trois-sillons"])
}
