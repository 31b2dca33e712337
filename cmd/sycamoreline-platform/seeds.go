package main

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/platform"
)

// settingsPollInterval is the time between reads of the settings file, which may
// change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// watchSeeds calls f with the IDs of the seeds whenever they change in the
// settings file.
func watchSeeds(ctx context.Context, p roleParams, f func(ids []string)) {
	seeds := p.settings.SeedHosts()
	for ctx.Err() == nil {
		waitCtx, cancel := context.WithTimeout(ctx, settingsPollInterval)
		select {
		case <-p.reload:
		case <-waitCtx.Done():
		}
		cancel()
		reloaded, err := platform.ReadSettings(p.settingsPath)
		if err != nil {
			p.logger.Warn("settings file not reloaded; keeping the previous settings", zap.Error(err))
			continue
		}
		if ids := reloaded.SeedHosts(); !slices.Equal(ids, seeds) {
			p.logger.Info("settings reloaded", zap.Strings("seeds", ids))
			seeds = ids
			f(ids)
		}
	}
}
