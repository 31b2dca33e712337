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

// checkers holds the function that validates a file, by kind of file.
var checkers = map[string]func(path string) error{
	"entry":            checker(settings.Read[settings.Entry]),
	"control":          checker(settings.Read[settings.Control]),
	"stand-in-engine":  checker(settings.Read[engineSettings]),
	"stand-in-service": checker(settings.Read[serviceSettings]),
	"program":          checker(caller.ReadProgram),
	"load":             checker(settings.Read[load.Settings]),
	"credentials":      checker(func(path string) (*credential.Store, error) { return credential.Open(path) }),
}

func checker[T any](read func(string) (T, error)) func(string) error {
	return func(path string) error {
		_, err := read(path)
		return err
	}
}

func kindNames() string {
	names := make([]string, 0, len(checkers))
	for name := range checkers {
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

Reads each file as its role would and reports the first error in each. Without
-kind, the kind is the part of the file name before "-N.json" or ".json".

Example:
  sycamoreline check examples/local/entry-1.json

Flags:
`
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.kind, "kind", "", "kind of file: "+kindNames())
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return c.usageError("check: want at least one file")
	}
	status := subcommands.ExitSuccess
	for _, path := range f.Args() {
		kind := c.kind
		if kind == "" {
			kind = kindFromName(path)
		}
		check, ok := checkers[kind]
		if !ok {
			return c.usageError("check: kind %q: want -kind with one of %s", kind, kindNames())
		}
		if err := check(path); err != nil {
			status = c.usageError("%s", err)
			continue
		}
		fmt.Fprintf(c.out, "%s: ok (%s)\n", path, kind)
	}
	return status
}

// kindFromName returns the kind in a file name such as entry-1.json.
func kindFromName(path string) string {
	name := strings.TrimSuffix(filepath.Base(path), ".json")
	return strings.TrimRight(strings.TrimRight(name, "0123456789"), "-")
}
