package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/connlimit"
	"github.com/sycamoreline/sycamoreline/control"
	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/replica"
	"github.com/sycamoreline/sycamoreline/settings"
)

// controlModule runs a control host.
func controlModule(s settings.Control, listen listenFunc, newLog func(role, id string) (*zap.Logger, error), opts ...replica.Option) fx.Option {
	return fx.Module("control "+s.ID, fx.Invoke(func(lifecycle fx.Lifecycle, shutdown fx.Shutdowner) error {
		logger, err := newLog("control", s.ID)
		if err != nil {
			return err
		}
		key, err := control.ReadKey(s.DeploymentKeyFile)
		if err != nil {
			return err
		}
		var host *control.Host
		engines := engine.NewClient()
		lifecycle.Append(fx.Hook{
			OnStart: func(context.Context) error {
				if err := s.CheckDataFolder(); err != nil {
					return err
				}
				serverTLS, err := s.Config()
				if err != nil {
					return err
				}
				clientTLS, err := settings.ControlTLS(s.ControlCAFile)
				if err != nil {
					return err
				}
				// The control server adds TLS itself.
				account := connlimit.NewAccount(int64(s.ConnectionMemoryMB)<<20, connlimit.WithLogger(logger))
				listener, err := listen.open("listen", s.Listen, settings.TLS{})
				if err != nil {
					return err
				}
				listener = connlimit.NewListener(listener, account.Port("hosts", 0, serverTLS != nil))
				host, err = control.StartHost(control.HostConfig{
					ID: s.ID, Hosts: controlAddresses(s.ControlHosts), ProgramGroups: s.GroupCount,
					DataFolder: s.DataFolder, LeaseTTL: s.LeaseTTL.D(), Key: key, Engines: control.NewEngineReleaser(engines),
					ServerTLS: serverTLS, ClientTLS: clientTLS,
				}, listener, logger, opts...)
				if err != nil {
					return err
				}
				go stopOnFailure(host, shutdown, logger)
				logger.Info("control host started", zap.String("listen", s.Listen))
				return nil
			},
			OnStop: func(context.Context) error {
				defer engines.Close()
				return host.Close()
			},
		})
		return nil
	}))
}

// stopOnFailure shuts the process down when a log group has stopped, since a
// replica that cannot write must not continue.
func stopOnFailure(host *control.Host, shutdown fx.Shutdowner, logger *zap.Logger) {
	<-host.Done()
	if err := host.Err(); err != nil {
		logger.Error("log group stopped", zap.Error(err))
		_ = shutdown.Shutdown(fx.ExitCode(int(subcommands.ExitFailure)))
	}
}

func controlAddresses(hosts []settings.ControlHost) []control.HostAddress {
	addresses := make([]control.HostAddress, 0, len(hosts))
	for _, h := range hosts {
		addresses = append(addresses, control.HostAddress{ID: h.ID, Address: h.Address})
	}
	return addresses
}

type controlCommand struct {
	output
	path   string
	rejoin bool
}

func (*controlCommand) Name() string     { return "control" }
func (*controlCommand) Synopsis() string { return "run a control host" }
func (*controlCommand) Usage() string {
	return `sycamoreline control -settings FILE [-rejoin]

Runs a control host until it is interrupted. Logs go to standard error. The
host stops if its data folder is damaged or older than its state on the other
control hosts. With -rejoin, such a folder is set aside and the host catches up
from the others as a new replica.

Example:
  sycamoreline control -settings examples/local/control-1.json

Flags:
`
}

func (c *controlCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "settings file")
	f.BoolVar(&c.rejoin, "rejoin", false, "set a damaged data folder aside and catch up from the others")
}

func (c *controlCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.path == "" || f.NArg() > 0 {
		return c.missingSettings(c.Name())
	}
	s, err := settings.Read[settings.Control](c.path)
	if err != nil {
		return c.usageError("%s", err)
	}
	var opts []replica.Option
	if c.rejoin {
		opts = append(opts, replica.WithRejoin())
	}
	return runRole(ctx, c.output, controlModule(s, listenTCP, c.logger(s.LogLevel), opts...))
}
