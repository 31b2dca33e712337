package main

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"

	"github.com/google/subcommands"

	"github.com/sycamoreline/sycamoreline/load"
	"github.com/sycamoreline/sycamoreline/settings"
)

type loadCommand struct {
	output
	path   string
	result string
	plot   string
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "generate load on entry hosts and measure latency" }
func (*loadCommand) Usage() string {
	return `sycamoreline load -settings FILE [-result FILE] [-plot FILE]

Runs programs against entry hosts by a fixed arrival schedule. Progress goes to
standard error, and the result as JSON to standard output unless -result is
given. -plot writes an SVG of program latency by percentile.

Example:
  sycamoreline load -settings examples/local/load-1.json -plot load.svg

Flags:
`
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "settings file")
	f.StringVar(&c.result, "result", "", "file for the result")
	f.StringVar(&c.plot, "plot", "", "file for the plot")
}

func (c *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		return c.usageError("load: unexpected argument %q", f.Arg(0))
	}
	s, err := settings.Read[load.Settings](c.path)
	if err != nil {
		return c.usageError("%s", err)
	}
	r, err := load.Run(ctx, s, c.errs)
	if err != nil {
		return c.failure(err)
	}
	if err := c.write(r); err != nil {
		return c.failure(err)
	}
	return subcommands.ExitSuccess
}

func (c *loadCommand) write(r load.Result) error {
	writeResult := func(w io.Writer) error {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	if c.result == "" {
		if err := writeResult(c.out); err != nil {
			return err
		}
	} else if err := writeFile(c.result, writeResult); err != nil {
		return err
	}
	if c.plot == "" {
		return nil
	}
	return writeFile(c.plot, r.WriteSVG)
}

func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
