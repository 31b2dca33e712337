package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/balancer"
	"github.com/sycamoreline/sycamoreline/cluster"
	"github.com/sycamoreline/sycamoreline/control"
	"github.com/sycamoreline/sycamoreline/forward"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/platform"
	"github.com/sycamoreline/sycamoreline/schedule"
)

const (
	// drainDelay is the time that the balancer takes to notice an unhealthy
	// host: two checks, a second apart. What arrives later is refused, since a
	// stream of four seconds would not end before the process is killed.
	drainDelay = 3 * time.Second
	// drainRetryAfter is told callers that are refused: a new connection goes
	// to another host.
	drainRetryAfter = 50 * time.Millisecond
	// closeMargin is left of the time to stop for closing what is open.
	closeMargin = 700 * time.Millisecond
	// chainShare is the part of the memory, one in so many, for conversations
	// that may be continued on this host.
	chainShare = 8
	// slowBelow and recoveredAbove leave aside what neighbours do to a server for
	// half a second: a factor of two and a half.
	slowBelow      = 0.3
	recoveredAbove = 0.5
	// engineFloor and serviceFloor are the runs that a host may have on a server
	// whatever the others have there: both kinds queue a few more than they run.
	engineFloor  = 2
	serviceFloor = 3
	// settingsInterval separates two looks at the settings file, which may
	// change without a signal.
	settingsInterval = 2 * time.Second
	// headerTimeout and idleTimeout are above those that any configuration
	// names for callers, who keep connections for four fifths of theirs.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	// maxHeaderBytes is above what a configuration lets callers send.
	maxHeaderBytes = 64 << 10
)

// server is an HTTP server and its port.
type server struct {
	http.Server
	done sync.WaitGroup
}

// serve starts an HTTP server.
func serve(address string, h http.Handler, logger *zap.Logger) (*server, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	s := &server{Server: http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(logger),
	}}
	s.done.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			logger.Error("HTTP server stopped", zap.String("address", address), zap.Error(err))
		}
	})
	return s, nil
}

func listen(address string) (net.Listener, error) {
	var c net.ListenConfig
	l, err := c.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %q: %w", address, err)
	}
	return l, nil
}

// stop lets requests in progress finish until the context ends.
func (s *server) stop(ctx context.Context) error {
	err := s.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.Close())
	}
	s.done.Wait()
	return err
}

// withSeeds calls f with the seeds whenever the settings file names others.
func withSeeds(ctx context.Context, path string, s platform.Settings, logger *zap.Logger, f func(ids []string)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	seeds := s.SeedHosts()
	for ctx.Err() == nil {
		wait, cancel := context.WithTimeout(ctx, settingsInterval)
		select {
		case <-hup:
		case <-wait.Done():
		}
		cancel()
		n, err := platform.ReadSettings(path)
		if err != nil {
			logger.Warn("settings file not read; the last one stays", zap.Error(err))
			continue
		}
		if ids := n.SeedHosts(); !slices.Equal(ids, seeds) {
			logger.Info("settings reloaded", zap.Strings("seeds", ids))
			seeds = ids
			f(ids)
		}
	}
}

// controlModule is a control host.
func controlModule(p parts) fx.Option {
	s, path, logger := p.settings, p.path, p.logger
	return fx.Invoke(func(life fx.Lifecycle, shutdown fx.Shutdowner) error {
		key, err := control.NewKey(s.DeploymentKey)
		if err != nil {
			return err
		}
		var host *cluster.Host
		var api *server
		ctx, cancel := context.WithCancel(context.Background())
		life.Append(fx.Hook{
			OnStart: func(context.Context) error {
				l, err := listen(s.PeerAddress(s.IP))
				if err != nil {
					return err
				}
				c := cluster.HostConfig{
					ID: s.IP, DataCentre: s.DataCentre, DataFolder: s.DataFolder, Seeds: s.SeedHosts(), Key: key,
					Address: s.PeerAddress, Tolerate: s.Tolerate, Metrics: p.metrics,
				}
				if s.FirstStart {
					c.Founders = cluster.Founding(c.Seeds)
				}
				if host, err = cluster.StartHost(c, l, logger); err != nil {
					return err
				}
				go withSeeds(ctx, path, s, logger, host.SetSeeds)
				go stopOnFailure(ctx, host, shutdown, logger)
				api, err = serve(s.Listen.Control, platform.NewControlAPI(host, s, logger), logger)
				return err
			},
			OnStop: func(ctx context.Context) error {
				cancel()
				ctx, done := context.WithTimeout(ctx, closeMargin)
				defer done()
				return errors.Join(api.stop(ctx), host.Close())
			},
		})
		return nil
	})
}

// stopOnFailure ends the process when its log has stopped: a replica that cannot
// write must not go on.
func stopOnFailure(ctx context.Context, host *cluster.Host, shutdown fx.Shutdowner, logger *zap.Logger) {
	select {
	case <-ctx.Done():
		return
	case <-host.Done():
	}
	if ctx.Err() != nil {
		return
	}
	logger.Error("log stopped", zap.Error(host.Err()))
	if err := shutdown.Shutdown(fx.ExitCode(1)); err != nil {
		logger.Error("shutdown failed", zap.Error(err))
	}
}

// entryModule is an entry host.
func entryModule(p parts) fx.Option {
	s, path, logger := p.settings, p.path, p.logger
	return fx.Invoke(func(life fx.Lifecycle) error {
		key, err := control.NewKey(s.DeploymentKey)
		if err != nil {
			return err
		}
		link := cluster.NewLink(cluster.LinkConfig{
			ID: s.IP, DataCentre: s.DataCentre, Seeds: s.SeedHosts(), Key: key, Address: s.PeerAddress,
		}, logger)
		f := forward.New(platform.Servers{}, link, forward.WithLogger(logger), forward.WithMetrics(p.metrics), forward.WithChainBytes((s.MemoryMB<<20)/chainShare),
			forward.WithScheduler(schedule.WithPrefixAffinity(s.DataCentre), schedule.WithSlowness(slowBelow, recoveredAbove), schedule.WithFloors(engineFloor, serviceFloor)))
		gate := balancer.NewGate(balancer.WithDelay(drainDelay), balancer.WithRetryAfter(drainRetryAfter), balancer.WithLogger(logger), balancer.WithReady(func() error {
			if link.Index() == nil {
				return errors.New("no routing table yet")
			}
			return nil
		}))
		var callers, health *server
		ctx, cancel := context.WithCancel(context.Background())
		life.Append(fx.Hook{
			OnStart: func(context.Context) error {
				link.Start(f.Board())
				go withSeeds(ctx, path, s, logger, link.SetSeeds)
				var err error
				if health, err = serve(s.Listen.Health, gate.Health(), logger); err != nil {
					return err
				}
				callers, err = serve(s.Listen.Callers, gate.Wrap(gated(gate, platform.NewIngress(f, link.Index))), logger)
				return err
			},
			OnStop: func(ctx context.Context) error {
				defer cancel()
				ctx, done := context.WithTimeout(ctx, s.Drain()-closeMargin)
				defer done()
				gate.Signal()
				select {
				case <-gate.Done():
				case <-ctx.Done():
				}
				err := callers.stop(ctx)
				f.Close()
				link.Close()
				return errors.Join(err, health.stop(ctx))
			},
		})
		return nil
	})
}

// gated counts requests, so that a shutdown waits for them.
func gated(g *balancer.Gate, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := g.Enter(true); err != nil {
			platform.Refuse(w, err)
			return
		}
		defer g.Leave()
		h.ServeHTTP(w, r)
	})
}

// planInterval separates two looks at what control hosts plan for the ledger.
const planInterval = 250 * time.Millisecond

// ledgerModule is a host of the ledger. It learns from the control hosts who
// the others are.
func ledgerModule(p parts) fx.Option {
	s, path, logger := p.settings, p.path, p.logger
	return fx.Invoke(func(life fx.Lifecycle, shutdown fx.Shutdowner) error {
		key, err := control.NewKey(s.DeploymentKey)
		if err != nil {
			return err
		}
		var host atomic.Pointer[cluster.Host]
		link := cluster.NewLink(cluster.LinkConfig{
			ID: s.IP, DataCentre: s.DataCentre, Seeds: s.SeedHosts(), Key: key, Address: s.PeerAddress,
			Ledger: func() *cluster.LedgerReport {
				if h := host.Load(); h != nil {
					return h.Report(s.Host)
				}
				return &cluster.LedgerReport{Name: s.Host}
			},
		}, logger)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		life.Append(fx.Hook{
			OnStart: func(context.Context) error {
				link.Start(nil)
				go withSeeds(ctx, path, s, logger, link.SetSeeds)
				running.Go(func() {
					if err := keepLedger(ctx, p, key, link, &host); err != nil {
						logger.Error("ledger stopped", zap.Error(err))
						if err := shutdown.Shutdown(fx.ExitCode(1)); err != nil {
							logger.Error("shutdown failed", zap.Error(err))
						}
					}
				})
				return nil
			},
			OnStop: func(context.Context) error {
				cancel()
				running.Wait()
				link.Close()
				if h := host.Load(); h != nil {
					return h.Close()
				}
				return nil
			},
		})
		return nil
	})
}

// keepLedger runs the host until the context ends or its log stops.
func keepLedger(ctx context.Context, p parts, key control.Key, link *cluster.Link, host *atomic.Pointer[cluster.Host]) error {
	s, logger := p.settings, p.logger
	for ; ctx.Err() == nil; pause.For(ctx, planInterval) {
		plan := link.Ledger()
		if plan == nil {
			plan = &cluster.LedgerView{}
		}
		h := host.Load()
		if h == nil {
			if s.FirstStart && len(plan.Founders) == 0 {
				continue // the founders are decided once
			}
			l, err := listen(s.PeerAddress(s.IP))
			if err != nil {
				return err
			}
			c := cluster.HostConfig{
				ID: s.IP, DataCentre: s.DataCentre, DataFolder: s.DataFolder, Seeds: plan.Hosts, Key: key, Address: s.PeerAddress,
				Tolerate: s.Tolerate, Metrics: p.metrics,
			}
			if s.FirstStart && slices.Contains(plan.Founders, s.IP) {
				c.Founders = plan.Founders
			}
			if h, err = cluster.StartHost(c, l, logger); err != nil {
				return err
			}
			host.Store(h)
			logger.Info("ledger host started", zap.Strings("founders", c.Founders), zap.Strings("hosts", plan.Hosts))
		}
		h.SetSeeds(plan.Hosts)
		h.SetRetiring(plan.Retiring)
		select {
		case <-h.Done():
			return h.Err()
		default:
		}
	}
	return nil
}

// serveMetrics shows the metrics at the port that the deploy file names.
func serveMetrics(s platform.Settings, page http.Handler, logger *zap.Logger) func(fx.Lifecycle) {
	return func(life fx.Lifecycle) {
		var pages *server
		life.Append(fx.Hook{
			OnStart: func(context.Context) (err error) {
				pages, err = serve(s.MetricsAddress(), page, logger)
				return err
			},
			OnStop: func(ctx context.Context) error { return pages.stop(ctx) },
		})
	}
}
