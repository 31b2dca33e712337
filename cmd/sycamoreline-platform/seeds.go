package main

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/platform"
)

// settingsPollInterval is the time between reads of the settings file, which may
// change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// watchSeeds calls f with the IDs of the seeds whenever they change in the
// settings file.
func watchSeeds(ctx context.Context, path string, s platform.Settings, logger *zap.Logger, f func(ids []string)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	seeds := s.SeedHosts()
	for ctx.Err() == nil {
		waitCtx, cancel := context.WithTimeout(ctx, settingsPollInterval)
		select {
		case <-hup:
		case <-waitCtx.Done():
		}
		cancel()
		reloaded, err := platform.ReadSettings(path)
		if err != nil {
			logger.Warn("settings file not reloaded; keeping the previous settings", zap.Error(err))
			continue
		}
		if ids := reloaded.SeedHosts(); !slices.Equal(ids, seeds) {
			logger.Info("settings reloaded", zap.Strings("seeds", ids))
			seeds = ids
			f(ids)
		}
	}
}
