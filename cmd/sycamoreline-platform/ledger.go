package main

import (
	"context"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/cluster"
	"github.com/sycamoreline/sycamoreline/control"
)

// ledgerModule runs a ledger host. The control hosts assign its partitions.
func ledgerModule(p roleParams) fx.Option {
	s, logger := p.settings, p.logger
	return fx.Invoke(func(lifecycle fx.Lifecycle, shutdown fx.Shutdowner) error {
		key, err := control.NewKey(s.DeploymentKey)
		if err != nil {
			return err
		}
		var host *cluster.LedgerHost
		ctx, cancel := context.WithCancel(context.Background())
		lifecycle.Append(fx.Hook{
			OnStart: func(context.Context) error {
				l, err := listenToPeers(p)
				if err != nil {
					return err
				}
				host, err = cluster.StartLedgerHost(cluster.LedgerHostConfig{
					HostConfig: cluster.HostConfig{
						ID: s.IP, DataCentre: s.DataCentre, DataFolder: s.DataFolder, Seeds: s.SeedHosts(), Key: key,
						Address: s.PeerAddress, ToleratedLosses: s.ToleratedLosses, Metrics: p.metrics,
						MemoryBytes: int64(s.MemoryMB) << 20,
					},
					Name: s.Host, FirstStart: s.FirstStart, DiskBytes: int64(s.DiskMB) << 20,
				}, l, logger)
				if err != nil {
					return err
				}
				logger.Info("ledger host started")
				go watchSeeds(ctx, p, host.SetSeeds)
				go stopOnFailure(ctx, host, shutdown, logger)
				return nil
			},
			OnStop: func(context.Context) error {
				cancel()
				return host.Close()
			},
		})
		return nil
	})
}

// replicaHost is a host with replicas of logs.
type replicaHost interface {
	Done() <-chan struct{}
	Err() error
}

// stopOnFailure shuts the process down when a replicated log has stopped, since a
// replica that cannot write must not continue.
func stopOnFailure(ctx context.Context, host replicaHost, shutdown fx.Shutdowner, logger *zap.Logger) {
	select {
	case <-ctx.Done():
		return
	case <-host.Done():
	}
	if ctx.Err() != nil {
		return
	}
	logger.Error("replicated log stopped", zap.Error(host.Err()))
	if err := shutdown.Shutdown(fx.ExitCode(1)); err != nil {
		logger.Error("shutdown failed", zap.Error(err))
	}
}
