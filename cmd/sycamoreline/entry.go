package main

import (
	"context"
	"crypto/rand"
	"flag"
	"net"
	"net/http"
	"time"

	"github.com/google/subcommands"
	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/balancer"
	"github.com/sycamoreline/sycamoreline/board"
	"github.com/sycamoreline/sycamoreline/caller"
	"github.com/sycamoreline/sycamoreline/connlimit"
	"github.com/sycamoreline/sycamoreline/control"
	"github.com/sycamoreline/sycamoreline/credential"
	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/metrics"
	"github.com/sycamoreline/sycamoreline/operator"
	"github.com/sycamoreline/sycamoreline/service"
	"github.com/sycamoreline/sycamoreline/settings"
)

const (
	metricsInterval = time.Second
	// operatorReserveDivisor is the share of the memory of connections that the
	// port of operators, health and metrics does not lose to callers.
	operatorReserveDivisor = 4
)

// entryModule runs an entry host. Its components are private, so that several
// entry hosts can share one app.
func entryModule(s settings.Entry, listen listenFunc, newLog func(role, id string) (*zap.Logger, error)) fx.Option {
	return fx.Module("entry "+s.ID,
		fx.Provide(
			func() (*zap.Logger, error) { return newLog("entry", s.ID) },
			func(l *zap.Logger) (*credential.Store, error) { return openCredentials(s.CredentialsFile, l) },
			func(lifecycle fx.Lifecycle) (*control.Client, error) { return newControlClient(lifecycle, s) },
			func() dispatch.Clock { return monotonicClock() },
			board.New,
			func(b *board.Board, clock dispatch.Clock, l *zap.Logger) *balancer.Gate {
				return newGate(s, b, clock, l)
			},
			newMetrics,
			newEngineClient,
			newServiceClient,
			func(lifecycle fx.Lifecycle, p dispatchParams) *dispatch.Dispatcher {
				return newDispatcher(lifecycle, s, p)
			},
			fx.Private,
		),
		fx.Invoke(func(lifecycle fx.Lifecycle, p entryParams) error { return startEntry(lifecycle, s, listen, p) }),
	)
}

// openCredentials opens the credentials file and logs each reload, so that an
// operator sees whether a changed file is in force.
func openCredentials(path string, logger *zap.Logger) (*credential.Store, error) {
	return credential.Open(path, credential.WithReloadHook(func(err error) {
		if err != nil {
			logger.Error("credentials file not read; keeping the previous credentials", zap.Error(err))
			return
		}
		logger.Info("credentials file read")
	}))
}

func monotonicClock() dispatch.Clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

func newControlClient(lifecycle fx.Lifecycle, s settings.Entry) (*control.Client, error) {
	key, err := control.ReadKey(s.DeploymentKeyFile)
	if err != nil {
		return nil, err
	}
	config, err := settings.ControlTLS(s.ControlCAFile)
	if err != nil {
		return nil, err
	}
	c := control.NewClient(s.ID, key, controlAddresses(s.ControlHosts), s.GroupCount, control.WithClientTLS(config))
	lifecycle.Append(fx.StopHook(c.Close))
	return c, nil
}

func newEngineClient(lifecycle fx.Lifecycle, logger *zap.Logger) *engine.Client {
	c := engine.NewClient(engine.WithDrops(func(d engine.Drop) {
		logger.Warn("answer event dropped", zap.Any("event", d))
	}))
	lifecycle.Append(fx.StopHook(c.Close))
	return c
}

func newServiceClient(lifecycle fx.Lifecycle) *service.Client {
	c := service.NewClient()
	lifecycle.Append(fx.StopHook(c.Close))
	return c
}

// hostMetrics holds the metrics of one entry host and the handler that exposes
// them.
type hostMetrics struct {
	scope   tally.Scope
	handler http.Handler
}

func newMetrics(lifecycle fx.Lifecycle) hostMetrics {
	scope, handler, closer := metrics.New(metricsInterval)
	lifecycle.Append(fx.StopHook(closer.Close))
	return hostMetrics{scope: scope, handler: handler}
}

type dispatchParams struct {
	fx.In
	Logger   *zap.Logger
	Client   *control.Client
	Clock    dispatch.Clock
	Board    *board.Board
	Metrics  hostMetrics
	Engines  *engine.Client
	Services *service.Client
}

func newDispatcher(lifecycle fx.Lifecycle, s settings.Entry, p dispatchParams) *dispatch.Dispatcher {
	d := dispatch.New(dispatch.Config{
		Host: s.ID, Incarnation: rand.Text(),
		Ledger: control.NewPrograms(p.Client), Engines: p.Engines, Services: p.Services, Crashes: p.Client,
		Prober: serverProber{engines: p.Engines}, LeaseTTL: s.LeaseTTL.D(),
		Board: p.Board, Clock: p.Clock, Seed: uint64(time.Now().UnixNano()),
	}, dispatch.WithLogger(p.Logger), dispatch.WithMetrics(p.Metrics.scope))
	lifecycle.Append(fx.StopHook(d.Close))
	watchers := dispatch.NewWatchers(p.Board, d.Queue(), func(address string, interval time.Duration, callbacks engine.WatcherCallbacks) dispatch.Watcher {
		return engine.NewWatcher(p.Engines, address, interval, callbacks)
	})
	lifecycle.Append(fx.StopHook(watchers.Close))
	return d
}

// serverProber checks whether backend servers are alive.
type serverProber struct {
	engines *engine.Client
}

// Alive implements dispatch.Prober. Plain services do not report their
// incarnation, so one that accepts connections counts as alive.
func (p serverProber) Alive(ctx context.Context, v membership.Server) bool {
	if v.Kind == membership.Engine {
		l, err := p.engines.Load(ctx, v.Address)
		return err == nil && l.Incarnation == v.Incarnation
	}
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", v.Address)
	if err != nil {
		return false
	}
	nc.Close()
	return true
}

type entryParams struct {
	fx.In
	Logger      *zap.Logger
	Client      *control.Client
	Credentials *credential.Store
	Clock       dispatch.Clock
	Board       *board.Board
	Dispatcher  *dispatch.Dispatcher
	Metrics     hostMetrics
	Gate        *balancer.Gate
}

func startEntry(lifecycle fx.Lifecycle, s settings.Entry, listen listenFunc, p entryParams) error {
	callers, err := listen.open("listen", s.Listen, s.TLS)
	if err != nil {
		return err
	}
	operators, err := listen.open("operator-listen", s.OperatorListen, s.TLS)
	if err != nil {
		callers.Close()
		return err
	}
	renewLease(lifecycle, s, callers, p)
	account := connlimit.NewAccount(int64(s.ConnectionMemoryMB)<<20, connlimit.WithLogger(p.Logger), connlimit.WithMetrics(p.Metrics.scope))
	serveHTTP(lifecycle, p.Logger, connlimit.NewListener(operators, account.Port("operators", operatorReserveDivisor, s.Enabled())), operatorHandler(s, p))
	serveHTTP(lifecycle, p.Logger, connlimit.NewListener(callers, account.Port("callers", 0, s.Enabled())), callerHandler(s, p))
	drainOnStop(lifecycle, p.Gate)
	p.Logger.Info("entry host starting", zap.String("listen", s.Listen), zap.String("operator-listen", s.OperatorListen))
	return nil
}

// renewLease renews the lease from start to stop. The caller port is open before
// the first lease is granted, and requests are rejected until then.
func renewLease(lifecycle fx.Lifecycle, s settings.Entry, listener net.Listener, p entryParams) {
	var renewer *control.LeaseRenewer
	host := membership.Host{
		Host: s.ID, Incarnation: p.Dispatcher.Incarnation(),
		Address: listener.Addr().String(), DataCentre: s.DataCentre,
	}
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			renewer = control.NewLeaseRenewer(p.Client, host, p.Board, p.Clock, s.LeaseTTL.D()/3, p.Logger)
			return nil
		},
		OnStop: func(context.Context) error {
			renewer.Close()
			return nil
		},
	})
}

func callerHandler(s settings.Entry, p entryParams) http.Handler {
	r := http.NewServeMux()
	r.Handle(backend.PathAnnounce, backend.AnnounceHandler(p.Client))
	r.Handle("/healthz", p.Gate.Health())
	r.Handle("/", p.Gate.Wrap(caller.New(p.Dispatcher,
		caller.WithAuthenticator(p.Credentials),
		caller.WithGate(p.Gate),
		caller.WithLogger(p.Logger),
		caller.WithMetrics(p.Metrics.scope),
		caller.WithDefaultMaxTokens(s.DefaultMaxTokens),
		caller.WithMaxBodyBytes(s.MaxBodyBytes),
	)))
	return r
}

func operatorHandler(s settings.Entry, p entryParams) http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", p.Metrics.handler).Methods(http.MethodGet)
	r.Handle("/healthz", p.Gate.Health()).Methods(http.MethodGet)
	r.Handle("/readyz", p.Gate.Health()).Methods(http.MethodGet)
	r.PathPrefix("/v1/operator/").Handler(operator.New(&operatorBackend{
		Configuration: control.NewConfiguration(p.Client), client: p.Client,
		settings: s, board: p.Board, dispatcher: p.Dispatcher, clock: p.Clock, gate: p.Gate,
	}, p.Credentials))
	return r
}

type entryCommand struct {
	output
	path string
}

func (*entryCommand) Name() string     { return "entry" }
func (*entryCommand) Synopsis() string { return "run an entry host" }
func (*entryCommand) Usage() string {
	return `sycamoreline entry -settings FILE

Runs an entry host until it is interrupted. Logs go to standard error.

Example:
  sycamoreline entry -settings examples/local/entry-1.json

Flags:
`
}

func (c *entryCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "settings file")
}

func (c *entryCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.path == "" || f.NArg() > 0 {
		return c.missingSettings(c.Name())
	}
	s, err := settings.Read[settings.Entry](c.path)
	if err != nil {
		return c.usageError("%s", err)
	}
	return runRole(ctx, c.output, entryModule(s, listenTCP, c.logger(s.LogLevel)))
}
