// Command sycamoreline-platform runs the roles of Sycamoreline on the users'
// platform. Each role is a subcommand that runs until it is signalled to stop;
// check validates settings files, history searches logs and limits shows those of
// workspaces. Start with
// roleCommand, and with controlModule, entryModule and ledgerModule for the
// contents of a role.
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

	"github.com/sycamoreline/sycamoreline/connlimit"
	"github.com/sycamoreline/sycamoreline/logsink"
	"github.com/sycamoreline/sycamoreline/metrics"
	"github.com/sycamoreline/sycamoreline/platform"
)

// memoryLimitFraction is the fraction of the host's memory that is the memory
// limit of the Go runtime. The rest is for socket buffers and for the program
// itself.
const memoryLimitFraction = 0.6

func main() {
	// SIGHUP would end the process at any time at which it is not registered.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	commander := subcommands.NewCommander(flag.CommandLine, "sycamoreline-platform")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&roleCommand{name: "entry", synopsis: "run an entry host", module: entryModule, reload: reload}, "")
	commander.Register(&roleCommand{name: "control", synopsis: "run a control host", module: controlModule, reload: reload}, "")
	commander.Register(&roleCommand{name: "ledger", synopsis: "run a ledger host", module: ledgerModule, reload: reload}, "")
	commander.Register(&checkCommand{}, "")
	commander.Register(&historyCommand{}, "")
	commander.Register(&limitsCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := commander.Execute(ctx)
	stop()
	os.Exit(int(status))
}

// metricsInterval is the interval at which metrics are collected. They are
// scraped every 5 s.
const metricsInterval = 2500 * time.Millisecond

// maxLogLinesPerSecond limits log lines with the same message. Warnings and
// errors, which report rejected requests and failures, are not limited.
const maxLogLinesPerSecond = 200

// exitTimeout is the part of the drain time that is reserved for the end of the
// process, such as writing its last log lines.
const exitTimeout = 200 * time.Millisecond

// roleParams are the inputs of every role's module.
type roleParams struct {
	settings     platform.Settings
	settingsPath string
	logger       *zap.Logger
	metrics      tally.Scope
	account      *connlimit.Account
	reload       <-chan os.Signal // receives a signal when the settings file has changed
}

// roleCommand runs a role until the process is signalled to stop.
type roleCommand struct {
	name, synopsis string
	module         func(p roleParams) fx.Option
	reload         <-chan os.Signal
}

func (c *roleCommand) Name() string           { return c.name }
func (c *roleCommand) Synopsis() string       { return c.synopsis }
func (*roleCommand) SetFlags(_ *flag.FlagSet) {}
func (c *roleCommand) Usage() string {
	return fmt.Sprintf("sycamoreline-platform %s\n\nRuns until SIGTERM. The environment variable %s is the path of\nthe settings file.\n", c.name, platform.SettingsVariable)
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
	account := connlimit.NewAccount(s.ConnectionBytes(), connlimit.WithLogger(logger), connlimit.WithMetrics(scope))
	app := fx.New(fx.Invoke(serveMetrics(s, account, handler, logger)), c.module(roleParams{s, path, logger, scope, account, c.reload}), fx.StopTimeout(s.DrainTimeout()),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }))
	if err := app.Start(ctx); err != nil {
		logger.Error("start failed", zap.Error(err))
		return subcommands.ExitFailure
	}
	status := subcommands.ExitSuccess
	select {
	case <-ctx.Done():
	case v := <-app.Wait():
		status = subcommands.ExitStatus(v.ExitCode)
	}
	logger.Info("stopping")
	stopCtx, cancel := context.WithTimeout(context.Background(), s.DrainTimeout()-exitTimeout)
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		logger.Error("graceful shutdown failed", zap.Error(err))
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

// checkCommand validates settings files.
type checkCommand struct{}

func (*checkCommand) Name() string             { return "check" }
func (*checkCommand) Synopsis() string         { return "validate settings files" }
func (*checkCommand) SetFlags(_ *flag.FlagSet) {}
func (*checkCommand) Usage() string {
	return "sycamoreline-platform check FILE...\n\nValidates settings files and reports the first error that it finds.\n"
}

func (*checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return usageError(fmt.Errorf("check: want at least one settings file"))
	}
	for _, path := range f.Args() {
		if _, err := platform.ReadSettings(path); err != nil {
			return usageError(err)
		}
	}
	return subcommands.ExitSuccess
}
