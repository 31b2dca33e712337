package main

import (
	"context"
	"flag"
	"net/http"

	"github.com/google/subcommands"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/service"
	"github.com/sycamoreline/sycamoreline/settings"
	"github.com/sycamoreline/sycamoreline/standin"
)

// standIn is a backend server that implements the protocol of an engine or a
// service without doing the work.
type standIn interface {
	http.Handler
	Announcement() membership.Announcement
	Faults() *standin.FaultInjector
}

// standInModule runs a stand-in.
func standInModule(role string, s standin.Settings, server standIn, listen listenFunc, newLog func(role, id string) (*zap.Logger, error)) fx.Option {
	return fx.Module(role+" "+s.Server, fx.Invoke(func(lifecycle fx.Lifecycle) error {
		logger, err := newLog(role, s.Server)
		if err != nil {
			return err
		}
		listener, err := listen.open("listen", s.Listen, settings.TLS{})
		if err != nil {
			return err
		}
		serveHTTP(lifecycle, logger, listener, server)
		var announcer *standin.Announcer
		lifecycle.Append(fx.Hook{
			OnStart: func(context.Context) error {
				announcer = standin.NewAnnouncer(s.EntryHosts, s.Renewal(), server.Announcement,
					standin.WithPause(server.Faults().Frozen),
					standin.WithAnnounceErrors(func(host string, err error) {
						logger.Info("announcement failed", zap.String("entry-host", host), zap.Error(err))
					}))
				logger.Info("stand-in started", zap.String("listen", s.Listen))
				return nil
			},
			OnStop: func(context.Context) error {
				announcer.Close()
				return nil
			},
		})
		return nil
	}))
}

type standInEngineCommand struct {
	output
	path string
}

func (*standInEngineCommand) Name() string     { return "stand-in-engine" }
func (*standInEngineCommand) Synopsis() string { return "run a stand-in of a model engine" }
func (*standInEngineCommand) Usage() string {
	return `sycamoreline stand-in-engine -settings FILE

Runs a model engine that answers with placeholder text, for trials and tests.

Example:
  sycamoreline stand-in-engine -settings examples/local/stand-in-engine-1.json

Flags:
`
}

func (c *standInEngineCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "settings file")
}

func (c *standInEngineCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.path == "" || f.NArg() > 0 {
		return c.missingSettings(c.Name())
	}
	s, err := settings.Read[engineSettings](c.path)
	if err != nil {
		return c.usageError("%s", err)
	}
	server, err := engine.NewStandIn(s.StandInSettings)
	if err != nil {
		return c.usageError("%s: %s", c.path, err)
	}
	return runRole(ctx, c.output, standInModule(c.Name(), s.Settings, server, listenTCP, c.logger("info")))
}

type standInServiceCommand struct {
	output
	path string
}

func (*standInServiceCommand) Name() string     { return "stand-in-service" }
func (*standInServiceCommand) Synopsis() string { return "run a stand-in of a plain service" }
func (*standInServiceCommand) Usage() string {
	return `sycamoreline stand-in-service -settings FILE

Runs a plain service that counts how often each call has run, for trials and
tests.

Example:
  sycamoreline stand-in-service -settings examples/local/stand-in-service-1.json

Flags:
`
}

func (c *standInServiceCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "settings file")
}

func (c *standInServiceCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.path == "" || f.NArg() > 0 {
		return c.missingSettings(c.Name())
	}
	s, err := settings.Read[serviceSettings](c.path)
	if err != nil {
		return c.usageError("%s", err)
	}
	server, err := service.NewStandIn(s.StandInSettings)
	if err != nil {
		return c.usageError("%s: %s", c.path, err)
	}
	return runRole(ctx, c.output, standInModule(c.Name(), s.Settings, server, listenTCP, c.logger("info")))
}

// engineSettings and serviceSettings add the Check method on a pointer that
// settings.Read requires.
type engineSettings struct{ engine.StandInSettings }

func (s *engineSettings) Check() error { return s.StandInSettings.Check() }

type serviceSettings struct{ service.StandInSettings }

func (s *serviceSettings) Check() error { return s.StandInSettings.Check() }
