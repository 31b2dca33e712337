package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/balancer"
	"github.com/sycamoreline/sycamoreline/connlimit"
	"github.com/sycamoreline/sycamoreline/platform"
)

const (
	// headerTimeout and idleTimeout are longer than those of any configuration.
	// Callers keep idle connections for 4/5 of the configured timeout.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	// maxHeaderBytes is above the limit of any configuration.
	maxHeaderBytes = 64 << 10
	// serverDiscardBytes is the part of a body that http.Server reads and discards
	// after the handler has returned.
	serverDiscardBytes = 256 << 10
	// maxDiscardBytes and discardTimeout limit what is read of a body after its
	// answer. The default limit of bodies is half as long.
	maxDiscardBytes = 8 << 20
	discardTimeout  = 2 * time.Second
	// bodyTimeout is the time in which a body must arrive that counts as memory of
	// connections: a configuration of 4 MB takes 2 s on a link of 16 Mbit/s.
	bodyTimeout = 10 * time.Second
	// unusedTimeout is the time for which stop waits for the first request on an
	// open connection, and for the rest of a request's header. They may be on their
	// way. http.Server.Shutdown waits 5 s, most of the time until the process is
	// killed.
	unusedTimeout = 200 * time.Millisecond
	// queueTimeout is the time for which stop waits for a further connection of the
	// listen queue, queueLimit the time in which it accepts any.
	queueTimeout = 5 * time.Millisecond
	queueLimit   = 500 * time.Millisecond
	// refusalTimeout limits the writing of a refusal. It fits into the buffer of
	// the socket.
	refusalTimeout = 100 * time.Millisecond
	// stopInterval is the interval at which stop looks at the open connections.
	stopInterval = 5 * time.Millisecond
)

// server is an HTTP server on one address.
type server struct {
	http.Server
	logger  *zap.Logger
	metrics tally.Scope
	phase   func() balancer.Phase // of the host's shutdown, nil if it has none
	port    *connlimit.Port
	limits  func() connlimit.Limits // those in force, nil if there are none
	// countsBodies is set if bodies count as memory of connections and must arrive
	// within bodyTimeout.
	countsBodies bool
	done         sync.WaitGroup

	listener *net.TCPListener
	stopping atomic.Bool

	mu   sync.Mutex
	open map[*connection]struct{}
}

// serverOption configures a server.
type serverOption func(*server)

// withMetrics sets the scope of a server's metrics. By default, there are none.
func withMetrics(m tally.Scope) serverOption { return func(s *server) { s.metrics = m } }

// withPhase sets the phase of the host's shutdown, for logs and metrics.
func withPhase(f func() balancer.Phase) serverOption { return func(s *server) { s.phase = f } }

// withLimits sets the limits on heads.
func withLimits(f func() connlimit.Limits) serverOption { return func(s *server) { s.limits = f } }

// withCountedBodies makes bodies count as memory of connections.
func withCountedBodies() serverOption { return func(s *server) { s.countsBodies = true } }

// serve listens on an address and starts an HTTP server there, whose connections
// are those of the port.
func serve(address string, port *connlimit.Port, h http.Handler, logger *zap.Logger, opts ...serverOption) (*server, error) {
	// Among the errors of the server are panics of handlers, which lose a request.
	errorLog, err := zap.NewStdLogAt(logger, zap.ErrorLevel)
	if err != nil {
		return nil, fmt.Errorf("create the server's error log: %w", err)
	}
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, errors.Join(fmt.Errorf("listen on %q: got a %T", address, l), l.Close())
	}
	s := &server{Server: http.Server{
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: errorLog, ConnContext: withConnection,
	}, logger: logger, port: port, metrics: tally.NoopScope, listener: tcp, open: map[*connection]struct{}{}}
	s.Handler = s.recordStages(h)
	for _, o := range opts {
		o(s)
	}
	s.ConnState = s.connectionChanged
	s.done.Go(func() {
		if err := s.Serve(&connectionListener{TCPListener: tcp, server: s}); !errors.Is(err, http.ErrServerClosed) {
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

func (s *server) connectionChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.open[c] = struct{}{}
	case http.StateActive:
		c.head.Parsed()
		c.setStage(parsed)
	case http.StateIdle:
		c.head.Idle()
		c.setStage(awaited)
	case http.StateHijacked, http.StateClosed:
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.open, c)
	}
}

// closedUnanswered reports a connection that is closed with an unanswered request.
func (s *server) closedUnanswered(c *connection, cause unansweredCause, received int, receivedAt time.Time) {
	phase := "none"
	if s.phase != nil {
		phase = s.phase().String()
	}
	fields := []zap.Field{
		zap.String("cause", string(cause)), zap.String("phase", phase), zap.Int("bytes-read", received),
		zap.Stringer("address", c.LocalAddr()), zap.Stringer("client", c.RemoteAddr()),
	}
	if received > 0 {
		fields = append(fields, zap.Duration("since-last-read", time.Since(receivedAt)))
	}
	s.logger.Warn("connection closed with an unanswered request", fields...)
	s.metrics.Tagged(map[string]string{"cause": string(cause), "phase": phase}).Counter("connections-closed-unanswered").Inc(1)
}

// refusedHead reports a head that exceeds the configured limit.
func (s *server) refusedHead(c *connection) {
	s.metrics.Counter("heads-too-large").Inc(1)
	s.logger.Info("request refused: its head is larger than configured",
		zap.Stringer("address", c.LocalAddr()), zap.Stringer("client", c.RemoteAddr()))
}

// stop answers the requests that have arrived and waits for those in progress until
// the context ends, and then closes their connections. http.Server.Shutdown alone
// drops requests: it resets connections in the listen queue and those on which a
// request has arrived unread, and the HTTP server handles none that it has read
// since.
func (s *server) stop(ctx context.Context) error {
	s.stopping.Store(true)
	err := s.listener.SetDeadline(time.Now()) // ends Accept
	s.done.Wait()
	start := time.Now()
	t := time.NewTicker(stopInterval)
	defer t.Stop()
	for s.expireSilent(start) > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return errors.Join(err, ctx.Err(), s.Close())
		}
	}
	return errors.Join(err, s.Shutdown(ctx))
}

// expireSilent expires silent connections and returns the number of open ones.
func (s *server) expireSilent(start time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.open {
		c.expireIfSilent(now, now.Sub(start))
	}
	return len(s.open)
}

// stopNow closes all connections. Requests in progress get no answer.
func (s *server) stopNow() error {
	s.stopping.Store(true)
	err := s.Close()
	s.done.Wait()
	return err
}

// serveMetrics returns a function that adds the server of the metrics endpoint to
// the lifecycle of an app. Hooks stop in reverse order: invoked before the role's
// module, the server runs until the role has stopped.
func serveMetrics(s platform.Settings, account *connlimit.Account, handler http.Handler, logger *zap.Logger) func(fx.Lifecycle) {
	return func(lifecycle fx.Lifecycle) {
		var metricsServer *server
		lifecycle.Append(fx.Hook{
			OnStart: func(context.Context) (err error) {
				metricsServer, err = serve(s.MetricsAddress(), account.Port("metrics", metricsReserveDivisor, false), handler, logger)
				return err
			},
			OnStop: func(context.Context) error { return metricsServer.stopNow() },
		})
	}
}
