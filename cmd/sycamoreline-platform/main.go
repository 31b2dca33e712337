// Command sycamoreline-platform runs the roles of Sycamoreline on the users'
// platform.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/sycamoreline/sycamoreline/logsink"
	"github.com/sycamoreline/sycamoreline/metrics"
	"github.com/sycamoreline/sycamoreline/platform"
)

// memoryLimitFraction is the part of the machine's memory that the Go runtime may fill
// before it collects garbage at any price. The rest is for bytes in sockets and
// for the program itself.
const memoryLimitFraction = 0.6

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "sycamoreline-platform")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&roleCommand{name: "entry", synopsis: "run an entry host", module: entryModule}, "")
	commander.Register(&roleCommand{name: "control", synopsis: "run a control host", module: controlModule}, "")
	commander.Register(&roleCommand{name: "ledger", synopsis: "run a host of the ledger of programs", module: ledgerModule}, "")
	commander.Register(&checkCommand{}, "")
	commander.Register(&historyCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := commander.Execute(ctx)
	stop()
	os.Exit(int(status))
}

// metricsInterval is how often values are gathered. They are read every five
// seconds.
const metricsInterval = 2500 * time.Millisecond

// maxLogLinesPerSecond bounds the log lines of one kind each second, refusals and failures
// excepted.
const maxLogLinesPerSecond = 200

// roleParams is what every role is built from.
type roleParams struct {
	settings     platform.Settings
	settingsPath string // of the settings file
	logger       *zap.Logger
	metrics      tally.Scope
}

// roleCommand runs a role until it gets a signal to stop.
type roleCommand struct {
	name, synopsis string
	module         func(p roleParams) fx.Option
}

func (c *roleCommand) Name() string           { return c.name }
func (c *roleCommand) Synopsis() string       { return c.synopsis }
func (*roleCommand) SetFlags(_ *flag.FlagSet) {}
func (c *roleCommand) Usage() string {
	return fmt.Sprintf("sycamoreline-platform %s\n\nRuns until SIGTERM. The settings file is named by the environment.\n", c.name)
}

func (c *roleCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	path, err := platform.SettingsPath()
	if err != nil {
		return usageError(err)
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		return usageError(err)
	}
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	logger, err := newLogger(sink, s)
	if err != nil {
		return usageError(err)
	}
	scope, handler, closer := metrics.New(metricsInterval)
	defer closer.Close()
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * memoryLimitFraction))
	}
	logger.Info("starting", zap.String("data-centre", s.DataCentre), zap.Strings("seeds", s.Seeds), zap.Bool("first-start", s.FirstStart))
	app := fx.New(c.module(roleParams{s, path, logger, scope}), fx.Invoke(serveMetrics(s, handler, logger)), fx.StopTimeout(s.Drain()),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }))
	if err := app.Start(ctx); err != nil {
		logger.Error("not started", zap.Error(err))
		return subcommands.ExitFailure
	}
	status := subcommands.ExitSuccess
	select {
	case <-ctx.Done():
	case v := <-app.Wait():
		status = subcommands.ExitStatus(v.ExitCode)
	}
	logger.Info("stopping")
	stopping, cancel := context.WithTimeout(context.Background(), s.Drain())
	defer cancel()
	if err := app.Stop(stopping); err != nil {
		logger.Error("not stopped in order", zap.Error(err))
		return subcommands.ExitFailure
	}
	logger.Info("stopped")
	return status
}

func usageError(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "sycamoreline-platform:", err)
	return subcommands.ExitUsageError
}

func newLogger(out zapcore.WriteSyncer, s platform.Settings) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("log-level: %q: want debug, info, warn or error", s.LogLevel)
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), out, level)
	return zap.New(logsink.Limit(core, maxLogLinesPerSecond)).With(zap.String("host", s.Host)), nil
}

// checkCommand checks a settings file.
type checkCommand struct{}

func (*checkCommand) Name() string             { return "check" }
func (*checkCommand) Synopsis() string         { return "check settings files" }
func (*checkCommand) SetFlags(_ *flag.FlagSet) {}
func (*checkCommand) Usage() string {
	return "sycamoreline-platform check FILE...\n\nChecks settings files and names the first fault of each.\n"
}

func (*checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return usageError(fmt.Errorf("check: want one settings file or more"))
	}
	for _, path := range f.Args() {
		if _, err := platform.ReadSettings(path); err != nil {
			return usageError(err)
		}
	}
	return subcommands.ExitSuccess
}
