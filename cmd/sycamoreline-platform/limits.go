package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/sycamoreline/sycamoreline/limits"
)

// limitsCommand prints the limits in force of the workspaces, and what became of their
// requests.
type limitsCommand struct{ timeout time.Duration }

func (*limitsCommand) Name() string     { return "limits" }
func (*limitsCommand) Synopsis() string { return "print the limits in force and use of workspaces" }

func (*limitsCommand) Usage() string {
	return "sycamoreline-platform limits HOST:PORT...\n\nReads the metrics pages of running entry and control hosts, and prints the limits\nof workspaces that are in force, who counts their requests, and what became of\nthem since the hosts were started.\n\nExample:\n  sycamoreline-platform limits 10.0.1.11:9464 10.0.1.12:9464\n\nFlags:\n"
}

func (c *limitsCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.timeout, "timeout", 2*time.Second, "timeout for each host")
}

func (c *limitsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return usageError(errors.New("limits: want the address of the metrics page of at least one host"))
	}
	s, status := limits.New(), subcommands.ExitSuccess
	for _, host := range f.Args() {
		if err := c.read(ctx, s, host); err != nil {
			fmt.Fprintln(os.Stderr, "sycamoreline-platform: limits:", err)
			status = subcommands.ExitFailure
		}
	}
	if err := s.Write(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "sycamoreline-platform: limits:", err)
		return subcommands.ExitFailure
	}
	return status
}

// read adds the metrics page of a host, given by its address or URL.
func (c *limitsCommand) read(ctx context.Context, s *limits.Summary, host string) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	url := host
	if !strings.Contains(url, "://") {
		url = "http://" + host + "/metrics"
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %s", url, resp.Status)
	}
	return s.Read(host, resp.Body)
}
