package main

import (
	"fmt"
	"io"

	"github.com/google/subcommands"
)

// Groups of the list of commands.
const (
	groupCaller   = "for callers"
	groupOperator = "for operators"
)

// registration is a command with the group that lists it.
type registration struct {
	command subcommands.Command
	group   string
}

// commands returns all commands but those of the package subcommands.
func commands(out, errs io.Writer) []registration {
	o := output{out: out, errs: errs}
	return []registration{
		{&runCommand{output: o}, groupCaller},
		{&checkCommand{output: o}, groupOperator},
		{&versionCommand{output: o}, groupOperator},
	}
}

// output is where a command writes.
type output struct {
	out  io.Writer
	errs io.Writer
}

// usage reports invalid usage or settings, with exit code 2.
func (o output) usage(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(o.errs, format+"\n", args...)
	return subcommands.ExitUsageError
}

// failure reports anything else that went wrong, with exit code 1.
func (o output) failure(err error) subcommands.ExitStatus {
	fmt.Fprintln(o.errs, err)
	return subcommands.ExitFailure
}
