package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"github.com/sycamoreline/sycamoreline/history"
)

// historyCommand prints the log lines about one request, program or session.
type historyCommand struct{ id string }

func (*historyCommand) Name() string { return "history" }
func (*historyCommand) Synopsis() string {
	return "print the log lines about a request, a program or a session"
}

func (*historyCommand) Usage() string {
	return "sycamoreline-platform history -id ID [FILE...]\n\nReads the logs of any number of hosts, or standard input, and prints the lines\nabout a request, a program or a session, sorted by time.\n\nExample:\n  sycamoreline-platform history -id 1f2421b8822018ef front-*.log\n\nFlags:\n"
}

func (c *historyCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.id, "id", "", "id of a request, a program or a session")
}

func (c *historyCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.id == "" {
		return usageError(errors.New("history: want -id"))
	}
	logs := []io.Reader{os.Stdin}
	if f.NArg() > 0 {
		logs = nil
	}
	for _, path := range f.Args() {
		file, err := os.Open(path)
		if err != nil {
			return usageError(err)
		}
		defer file.Close()
		logs = append(logs, file)
	}
	lines, err := history.Find(c.id, logs...)
	if err == nil {
		err = history.Write(os.Stdout, lines)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "sycamoreline-platform: history of %q: %v\n", c.id, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
