package main

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"
)

type versionCommand struct{ output }

func (*versionCommand) Name() string     { return "version" }
func (*versionCommand) Synopsis() string { return "print the version" }
func (*versionCommand) Usage() string {
	return "sycamoreline version\n\nPrints the module version, the commit and the Go version.\n"
}
func (*versionCommand) SetFlags(*flag.FlagSet) {}

func (c *versionCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return c.usageError("version: argument %q: no arguments are allowed", f.Arg(0))
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Fprintln(c.out, "sycamoreline (unknown build)")
		return subcommands.ExitSuccess
	}
	commit := ""
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			commit = " " + s.Value
		}
	}
	fmt.Fprintf(c.out, "sycamoreline %s%s %s\n", info.Main.Version, commit, info.GoVersion)
	return subcommands.ExitSuccess
}
