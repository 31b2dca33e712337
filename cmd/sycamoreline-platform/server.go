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
)

// server is an HTTP server on one address.
type server struct {
	http.Server
	done sync.WaitGroup
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
	}}
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

// stop waits for in-flight requests until the context ends, and then closes their
// connections.
func (s *server) stop(ctx context.Context) error {
	err := s.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.Close())
	}
	s.done.Wait()
	return err
}

// serveMetrics returns a function that adds the server of the metrics endpoint to
// the lifecycle of an app.
func serveMetrics(s platform.Settings, handler http.Handler, logger *zap.Logger) func(fx.Lifecycle) {
	return func(lifecycle fx.Lifecycle) {
		var metricsServer *server
		lifecycle.Append(fx.Hook{
			OnStart: func(context.Context) (err error) {
				metricsServer, err = serve(s.MetricsAddress(), handler, logger)
				return err
			},
			OnStop: func(ctx context.Context) error { return metricsServer.stop(ctx) },
		})
	}
}
