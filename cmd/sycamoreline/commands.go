package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/google/subcommands"
	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/strictjson"
)

// Groups in the list of commands.
const (
	groupRole     = "roles"
	groupCaller   = "callers"
	groupOperator = "operators"
)

// registration is a command and its group in the list of commands.
type registration struct {
	command subcommands.Command
	group   string
}

// commands returns all commands except those of the package subcommands.
func commands(out, errs io.Writer) []registration {
	o := output{out: out, errs: errs}
	return []registration{
		{&entryCommand{output: o}, groupRole},
		{&controlCommand{output: o}, groupRole},
		{&standInEngineCommand{output: o}, groupRole},
		{&standInServiceCommand{output: o}, groupRole},
		{&demoCommand{output: o}, groupRole},
		{&runCommand{output: o}, groupCaller},
		{&loadCommand{output: o}, groupCaller},
		{&checkCommand{output: o}, groupOperator},
		{&versionCommand{output: o}, groupOperator},
		{&planCommand{folderCommand{output: o}}, groupOperator},
		{&applyCommand{folderCommand{output: o}}, groupOperator},
		{&getCommand{inspectCommand{output: o}}, groupOperator},
		{&watchCommand{inspectCommand: inspectCommand{output: o}}, groupOperator},
		{&statusCommand{inspectCommand{output: o}}, groupOperator},
	}
}

// output holds the output streams of a command.
type output struct {
	out  io.Writer
	errs io.Writer
}

// logger returns a constructor of loggers that write to the error output.
func (o output) logger(level string) func(role, id string) (*zap.Logger, error) {
	return func(role, id string) (*zap.Logger, error) { return newLogger(o.errs, level, role, id) }
}

// usageError reports invalid usage or settings, with exit code 2.
func (o output) usageError(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(o.errs, format+"\n", args...)
	return subcommands.ExitUsageError
}

// failure reports any other error, with exit code 1.
func (o output) failure(err error) subcommands.ExitStatus {
	fmt.Fprintln(o.errs, err)
	return subcommands.ExitFailure
}

// exitStatus reports an error: invalid files with exit code 2, any other error
// with exit code 1.
func (o output) exitStatus(err error) subcommands.ExitStatus {
	var invalid *strictjson.Error
	if errors.As(err, &invalid) {
		return o.usageError("%s", err)
	}
	return o.failure(err)
}

// missingSettings reports that a role was started without -settings or with
// arguments.
func (o output) missingSettings(role string) subcommands.ExitStatus {
	return o.usageError("%s: want -settings FILE and no arguments; see sycamoreline help %s", role, role)
}
