package main

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/cluster"
	"github.com/sycamoreline/sycamoreline/control"
	"github.com/sycamoreline/sycamoreline/pause"
)

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
