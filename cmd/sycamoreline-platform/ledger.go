package main

import (
	"context"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/cluster"
	"github.com/sycamoreline/sycamoreline/control"
)

// ledgerModule is a host of the ledger. It learns from the control hosts which
// partitions it keeps.
func ledgerModule(p parts) fx.Option {
	s, path, logger := p.settings, p.path, p.logger
	return fx.Invoke(func(life fx.Lifecycle, shutdown fx.Shutdowner) error {
		key, err := control.NewKey(s.DeploymentKey)
		if err != nil {
			return err
		}
		var keeper *cluster.LedgerHost
		ctx, cancel := context.WithCancel(context.Background())
		life.Append(fx.Hook{
			OnStart: func(context.Context) error {
				l, err := listen(s.ListenPeers())
				if err != nil {
					return err
				}
				keeper, err = cluster.StartLedgerHost(cluster.LedgerHostConfig{
					HostConfig: cluster.HostConfig{
						ID: s.IP, DataCentre: s.DataCentre, DataFolder: s.DataFolder, Seeds: s.SeedHosts(), Key: key,
						Address: s.PeerAddress, Tolerate: s.Tolerate, Metrics: p.metrics,
					},
					Name: s.Host, FirstStart: s.FirstStart,
				}, l, logger)
				if err != nil {
					return err
				}
				logger.Info("ledger host started")
				go withSeeds(ctx, path, s, logger, keeper.SetSeeds)
				go stopOnFailure(ctx, keeper, shutdown, logger)
				return nil
			},
			OnStop: func(context.Context) error {
				cancel()
				return keeper.Close()
			},
		})
		return nil
	})
}

// replicas is a host that keeps copies of logs.
type replicas interface {
	Done() <-chan struct{}
	Err() error
}

// stopOnFailure ends the process when a log has stopped: a replica that cannot
// write must not go on.
func stopOnFailure(ctx context.Context, host replicas, shutdown fx.Shutdowner, logger *zap.Logger) {
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
