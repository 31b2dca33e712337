// Command sycamoreline runs the roles of Sycamoreline and the tools of its
// callers and operators. Each of them is a subcommand. Start with commands,
// which lists them, and with controlModule, entryModule and standInModule for
// the contents of a role.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "sycamoreline")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.CommandsCommand(), "")
	for _, c := range commands(os.Stdout, os.Stderr) {
		commander.Register(c.command, c.group)
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := commander.Execute(ctx)
	stop()
	os.Exit(int(status))
}
