package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/balancer"
	"github.com/sycamoreline/sycamoreline/board"
	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/settings"
)

var (
	errNoLease   = errors.New("the host has no valid lease from the control hosts")
	errNoServers = errors.New("no backend server is available")
)

// newGate returns the gate that reports the readiness of the host to the load
// balancer and drains it before a stop.
func newGate(s settings.Entry, b *board.Board, clock dispatch.Clock, logger *zap.Logger) *balancer.Gate {
	return balancer.NewGate(
		balancer.WithDelay(s.DrainDelay.D()),
		balancer.WithLogger(logger),
		balancer.WithReady(func() error {
			switch {
			case !b.LeaseLive(clock()):
				return errNoLease
			case len(b.Servers()) == 0:
				return errNoServers
			}
			return nil
		}),
		balancer.WithHandOver(func(context.Context) error {
			b.SetDraining()
			return nil
		}),
	)
}

// drainOnStop drains the host before its other parts stop. It must be the last
// hook that is added, since hooks stop in reverse order. A second signal skips
// the drain delay and cancels the running requests.
func drainOnStop(lifecycle fx.Lifecycle, g *balancer.Gate) {
	lifecycle.Append(fx.StopHook(func(ctx context.Context) error {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
		defer signal.Stop(signals)
		g.Signal()
		for {
			select {
			case <-g.Done():
				return nil
			case <-signals:
				g.Signal()
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}))
}
