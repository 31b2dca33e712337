package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/fx"

	"github.com/sycamoreline/sycamoreline/balancer"
	"github.com/sycamoreline/sycamoreline/cluster"
	"github.com/sycamoreline/sycamoreline/connlimit"
	"github.com/sycamoreline/sycamoreline/control"
	"github.com/sycamoreline/sycamoreline/forward"
	"github.com/sycamoreline/sycamoreline/platform"
	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/schedule"
)

const (
	// drainDelay is the time until the load balancer detects an unhealthy host:
	// two checks, 1 s apart. Later requests are rejected, since a stream of 4 s
	// would not end before the process is killed.
	drainDelay = 3 * time.Second
	// drainRetryAfter is the Retry-After of requests rejected during a drain: a
	// new connection goes to another host.
	drainRetryAfter = 50 * time.Millisecond
	// answerTimeout is the part of the drain time in which cancelled requests
	// return their answers. Requests that are accepted during drainDelay and take
	// 4 s end before they are cancelled.
	answerTimeout = 400 * time.Millisecond
	// closeTimeout is the part of the drain time that is reserved for closing
	// the servers and the host.
	closeTimeout = 500 * time.Millisecond
	// controlCloseTimeout is the time in which requests to the control API may end.
	controlCloseTimeout = 700 * time.Millisecond
	// chainMemoryDivisor limits the cache of conversations that may be continued
	// on this host to 1/8 of the memory.
	chainMemoryDivisor = 8
	// bodyMemoryDivisor limits the bodies of in-flight requests to 1/5 of the
	// memory.
	bodyMemoryDivisor = 5
	// healthReserveDivisor and the like are the shares of the memory of connections
	// that a port does not lose to others.
	healthReserveDivisor  = 8
	metricsReserveDivisor = 16
	controlReserveDivisor = 8
	peerReserveDivisor    = 4
	// slowBelow and recoveredAbove are the relative speeds for
	// schedule.WithSlowThresholds. Noisy neighbours slow a server by a factor of
	// 2.5 for half a second, which must not mark it as slow.
	slowBelow      = 0.3
	recoveredAbove = 0.5
	// engineFloor and serviceFloor are the numbers of runs that a host may always
	// have on an engine and on a server of a plain service, regardless of the other
	// hosts. Servers of both kinds queue a few more requests than they run.
	engineFloor  = 2
	serviceFloor = 3
)

// controlModule runs a control host.
func controlModule(p roleParams) fx.Option {
	s, logger := p.settings, p.logger
	return fx.Invoke(func(lifecycle fx.Lifecycle, shutdown fx.Shutdowner) error {
		key, err := control.NewKey(s.DeploymentKey)
		if err != nil {
			return err
		}
		var host *cluster.Host
		var api *server
		ctx, cancel := context.WithCancel(context.Background())
		lifecycle.Append(fx.Hook{
			OnStart: func(context.Context) error {
				l, err := listenToPeers(p)
				if err != nil {
					return err
				}
				c := cluster.HostConfig{
					ID: s.IP, DataCentre: s.DataCentre, DataFolder: s.DataFolder, Seeds: s.SeedHosts(), Key: key,
					Address: s.PeerAddress, ToleratedLosses: s.ToleratedLosses, Metrics: p.metrics,
					Quota: s.Quota(),
				}
				if s.FirstStart {
					c.Founders = cluster.Founders(c.Seeds)
				}
				if host, err = cluster.StartHost(c, l, logger); err != nil {
					return err
				}
				go watchSeeds(ctx, p, host.SetSeeds)
				go stopOnFailure(ctx, host, shutdown, logger)
				api, err = serve(s.Listen.Control, p.account.Port("control", controlReserveDivisor, false), platform.NewControlAPI(host, s, logger), logger,
					withMetrics(p.metrics), withCountedBodies())
				return err
			},
			OnStop: func(ctx context.Context) error {
				cancel()
				ctx, cancelStop := context.WithTimeout(ctx, controlCloseTimeout)
				defer cancelStop()
				return errors.Join(api.stop(ctx), host.Close())
			},
		})
		return nil
	})
}

// entryModule runs an entry host.
func entryModule(p roleParams) fx.Option {
	s, logger := p.settings, p.logger
	return fx.Invoke(func(lifecycle fx.Lifecycle) error {
		key, err := control.NewKey(s.DeploymentKey)
		if err != nil {
			return err
		}
		link := cluster.NewLink(cluster.LinkConfig{
			ID: s.IP, DataCentre: s.DataCentre, Seeds: s.SeedHosts(), Key: key, Address: s.PeerAddress,
			StrictRevocation: s.RevocationTime(),
		}, logger)
		f := forward.New(platform.Protocol{}, link, forward.WithLogger(logger), forward.WithMetrics(p.metrics), forward.WithPermits(link), forward.WithQuotas(link), forward.WithReporter(link),
			forward.WithChainBytes((s.MemoryMB<<20)/chainMemoryDivisor),
			forward.WithBodyBytes(int64(s.MemoryMB<<20)/bodyMemoryDivisor),
			forward.WithDataCentre(s.DataCentre), forward.WithScheduler(schedule.WithPrefixAffinity(s.DataCentre), schedule.WithSlowThresholds(slowBelow, recoveredAbove), schedule.WithFloors(engineFloor, serviceFloor)))
		gate := balancer.NewGate(balancer.WithDelay(drainDelay), balancer.WithRetryAfter(drainRetryAfter), balancer.WithLogger(logger), balancer.WithReady(func() error {
			if link.Index() == nil {
				return errors.New("no routing table has been received yet")
			}
			return nil
		}))
		var callers, health *server
		ctx, cancel := context.WithCancel(context.Background())
		lifecycle.Append(fx.Hook{
			OnStart: func(context.Context) error {
				link.Start(f.View())
				go watchSeeds(ctx, p, link.SetSeeds)
				var err error
				if health, err = serve(s.Listen.Health, p.account.Port("health", healthReserveDivisor, false), gate.Health(), logger); err != nil {
					return err
				}
				callers, err = serve(s.Listen.Callers, p.account.Port("callers", 0, false), gate.Wrap(countRequests(gate, platform.NewIngress(f, link, platform.WithIngressMetrics(p.metrics)))), logger,
					withMetrics(p.metrics), withPhase(gate.Phase), withLimits(func() connlimit.Limits { return headLimits(link.Index()) }))
				return err
			},
			OnStop: func(ctx context.Context) error {
				defer cancel()
				err := drain(ctx, gate, callers, s.DrainTimeout()-closeTimeout)
				f.Close()
				link.Close()
				return errors.Join(err, health.stopNow())
			},
		})
		return nil
	})
}

// headLimits returns the limits on heads of a table, which may be nil.
func headLimits(x *route.Index) connlimit.Limits {
	if x == nil {
		return connlimit.Limits{}
	}
	l := x.Limits()
	return connlimit.Limits{HeadBytes: l.MaxHeaderBytes, HeadTimeout: l.HeaderTimeout}
}

// listenToPeers listens for connections of other hosts.
func listenToPeers(p roleParams) (net.Listener, error) {
	l, err := listen(p.settings.PeerListenAddress())
	if err != nil {
		return nil, err
	}
	return connlimit.NewListener(l, p.account.Port("peers", peerReserveDivisor, false)), nil
}

// drain drains the gate and stops the callers' server. It cancels requests that
// are still running answerTimeout before the timeout, so that their callers learn
// whether they may have run, and closes the remaining connections at the timeout.
func drain(ctx context.Context, g *balancer.Gate, callers *server, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	g.Signal()
	select {
	case <-g.Done():
	case <-time.After(timeout - answerTimeout):
		g.Signal()
	case <-ctx.Done():
	}
	select {
	case <-g.Done():
	case <-ctx.Done():
	}
	return callers.stop(ctx)
}

// countRequests counts in-flight requests, so that a shutdown waits for them, and
// rejects requests that the gate does not admit.
func countRequests(g *balancer.Gate, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := g.BeginRequest(true); err != nil {
			platform.Reject(w, r, err)
			return
		}
		defer g.EndRequest()
		h.ServeHTTP(w, r)
	})
}
