package main

import (
	"fmt"
	"io"

	"github.com/google/subcommands"
	"go.uber.org/zap"
)

// Groups of the list of commands.
const (
	groupRole     = "roles"
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
		{&entryCommand{output: o}, groupRole},
		{&controlCommand{output: o}, groupRole},
		{&standInEngineCommand{output: o}, groupRole},
		{&standInServiceCommand{output: o}, groupRole},
		{&demoCommand{output: o}, groupRole},
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

// logger returns a constructor of loggers that write to the error output.
func (o output) logger(level string) func(role, id string) (*zap.Logger, error) {
	return func(role, id string) (*zap.Logger, error) { return newLogger(o.errs, level, role, id) }
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
