package main

import (
	"bytes"
	"context"
	"flag"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"gotest.tools/v3/assert"
)

// execute runs a command line and returns its exit code, standard output and
// standard error.
func execute(args ...string) (subcommands.ExitStatus, string, string) {
	var out, errs bytes.Buffer
	flags := flag.NewFlagSet("sycamoreline", flag.ContinueOnError)
	flags.SetOutput(&errs)
	commander := subcommands.NewCommander(flags, "sycamoreline")
	commander.Error = &errs
	for _, c := range commands(&out, &errs) {
		commander.Register(c.command, c.group)
	}
	if err := flags.Parse(args); err != nil {
		return subcommands.ExitUsageError, "", errs.String()
	}
	status := commander.Execute(context.Background())
	return status, out.String(), errs.String()
}

func example(name string) string { return filepath.Join("..", "..", "examples", "local", name) }

// Guards against wrong exit codes, and against errors without the text that
// names the cause.
func TestExitCodes(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want subcommands.ExitStatus
		text string
	}{
		{"version", []string{"version"}, 0, "sycamoreline"},
		{"version with argument", []string{"version", "x"}, 2, "no arguments"},
		{"check", []string{"check", example("entry-1.json"), example("control-3.json"), example("credentials.json"), example("program.json")}, 0, "ok (program)"},
		{"check nothing", []string{"check"}, 2, "at least one file"},
		{"check missing file", []string{"check", "entry-9.json"}, 2, "no such file"},
		{"check wrong kind", []string{"check", "-kind", "entry", example("control-1.json")}, 2, "unknown key"},
		{"check unknown kind", []string{"check", "x.json"}, 2, "want -kind"},
		{"run without entry", []string{"run", example("program.json")}, 2, "want -entry"},
		{"run without credential", []string{"run", "-entry", "http://127.0.0.1:1", "-credential", "none", example("program.json")}, 2, "no such file"},
		{"run with wrong program", []string{"run", "-entry", "http://127.0.0.1:1", "-credential", example("caller.credential"), example("entry-1.json")}, 2, "unknown key"},
		{"run against a malformed URL", []string{"run", "-entry", "http://\x7f", "-credential", example("caller.credential"), example("program.json")}, 1, "entry"},
		{"role without settings", []string{"entry"}, 2, "want -settings"},
		{"role with argument", []string{"control", example("control-1.json")}, 2, "want -settings"},
		{"role with another role's settings", []string{"entry", "-settings", example("control-1.json")}, 2, `field "data-folder": unknown key`},
		{"stand-in without settings", []string{"stand-in-engine"}, 2, "want -settings"},
		{"plan without directory", []string{"plan", "-entry", "http://127.0.0.1:1", "-credential", example("operator.credential")}, 2, "one settings directory"},
		{"plan of a wrong directory", []string{"plan", "-entry", "http://127.0.0.1:1", "-credential", example("operator.credential"), example("")}, 2, "want only files with the ending .json"},
		{"status without entry", []string{"status"}, 2, "want -entry"},
		{"unknown command", []string{"fly"}, 2, ""},
		{"unknown flag", []string{"check", "-fly"}, 2, "Flags:"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, out, errs := execute(tt.args...)
			assert.Equal(t, status, tt.want, out+errs)
			assert.Assert(t, strings.Contains(out+errs, tt.text), out+errs)
		})
	}
}

// Guards against a command without a synopsis, or whose usage text does not begin
// with its name.
func TestUsageTexts(t *testing.T) {
	for _, c := range commands(nil, nil) {
		assert.Assert(t, strings.HasPrefix(c.command.Usage(), "sycamoreline "+c.command.Name()), c.command.Name())
		assert.Assert(t, c.command.Synopsis() != "")
	}
}
