package main

import (
	"context"
	"flag"
	"fmt"
	"path/filepath"
	"sort"
	"strings"

	"github.com/google/subcommands"

	"github.com/sycamoreline/sycamoreline/caller"
	"github.com/sycamoreline/sycamoreline/credential"
	"github.com/sycamoreline/sycamoreline/load"
	"github.com/sycamoreline/sycamoreline/settings"
)

// checks reads a file of each kind.
var checks = map[string]func(path string) error{
	"entry":            reads(settings.Read[settings.Entry]),
	"control":          reads(settings.Read[settings.Control]),
	"stand-in-engine":  reads(settings.Read[engineSettings]),
	"stand-in-service": reads(settings.Read[serviceSettings]),
	"program":          reads(caller.ReadProgram),
	"load":             reads(settings.Read[load.Settings]),
	"credentials":      reads(func(path string) (*credential.Store, error) { return credential.Open(path) }),
}

func reads[T any](read func(string) (T, error)) func(string) error {
	return func(path string) error {
		_, err := read(path)
		return err
	}
}

func kinds() string {
	names := make([]string, 0, len(checks))
	for name := range checks {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

type checkCommand struct {
	output
	kind string
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "validate settings files" }
func (*checkCommand) Usage() string {
	return `sycamoreline check [-kind KIND] FILE...

Reads each file as its role would and reports the first fault of each. Without
-kind, the kind is the part of the file name before "-N.json" or ".json".

Example:
  sycamoreline check examples/local/entry-1.json

Flags:
`
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.kind, "kind", "", "kind of file: "+kinds())
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return c.usage("check: want at least one file")
	}
	status := subcommands.ExitSuccess
	for _, path := range f.Args() {
		kind := c.kind
		if kind == "" {
			kind = kindOf(path)
		}
		check, ok := checks[kind]
		if !ok {
			return c.usage("check: kind %q: want -kind with one of %s", kind, kinds())
		}
		if err := check(path); err != nil {
			status = c.usage("%s", err)
			continue
		}
		fmt.Fprintf(c.out, "%s: ok (%s)\n", path, kind)
	}
	return status
}

// kindOf returns the kind that the name of a file tells.
func kindOf(path string) string {
	name := strings.TrimSuffix(filepath.Base(path), ".json")
	return strings.TrimRight(strings.TrimRight(name, "0123456789"), "-")
}
