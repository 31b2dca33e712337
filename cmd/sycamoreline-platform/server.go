package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/platform"
)

const (
	// headerTimeout and idleTimeout are longer than those of any configuration.
	// Callers keep idle connections for 4/5 of the configured timeout.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	// maxHeaderBytes is above the limit of any configuration.
	maxHeaderBytes = 64 << 10
	// unusedTimeout is the time for which stop waits for the first request on an
	// open connection. The request may be on its way. http.Server.Shutdown waits
	// 5 s, most of the time until the process is killed.
	unusedTimeout = 200 * time.Millisecond
)

// server is an HTTP server on one address.
type server struct {
	http.Server
	done sync.WaitGroup

	mu     sync.Mutex
	unused map[net.Conn]struct{} // connections before their first request
}

// serve listens on an address and starts an HTTP server there.
func serve(address string, h http.Handler, logger *zap.Logger) (*server, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	s := &server{Server: http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(logger),
	}, unused: map[net.Conn]struct{}{}}
	s.ConnState = s.connectionChanged
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

func (s *server) connectionChanged(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.unused[c] = struct{}{}
	} else {
		delete(s.unused, c)
	}
}

func (s *server) closeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.unused {
		c.Close()
	}
}

// stop waits for in-flight requests until the context ends, and then closes their
// connections.
func (s *server) stop(ctx context.Context) error {
	timer := time.AfterFunc(unusedTimeout, s.closeUnused)
	defer timer.Stop()
	err := s.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.Close())
	}
	s.done.Wait()
	return err
}

// stopNow closes all connections. Requests in progress get no answer.
func (s *server) stopNow() error {
	err := s.Close()
	s.done.Wait()
	return err
}

// serveMetrics returns a function that adds the server of the metrics endpoint to
// the lifecycle of an app. Hooks stop in reverse order: invoked before the role's
// module, the server runs until the role has stopped.
func serveMetrics(s platform.Settings, handler http.Handler, logger *zap.Logger) func(fx.Lifecycle) {
	return func(lifecycle fx.Lifecycle) {
		var metricsServer *server
		lifecycle.Append(fx.Hook{
			OnStart: func(context.Context) (err error) {
				metricsServer, err = serve(s.MetricsAddress(), handler, logger)
				return err
			},
			OnStop: func(context.Context) error { return metricsServer.stopNow() },
		})
	}
}
