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
	// headerTimeout and idleTimeout are above those that any configuration
	// names for callers, who keep connections for four fifths of theirs.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	// maxHeaderBytes is above what a configuration lets callers send.
	maxHeaderBytes = 64 << 10
)

// server is an HTTP server and its port.
type server struct {
	http.Server
	done sync.WaitGroup
}

// serve starts an HTTP server.
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

// stop lets requests in progress finish until the context ends.
func (s *server) stop(ctx context.Context) error {
	err := s.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.Close())
	}
	s.done.Wait()
	return err
}

// serveMetrics shows the metrics at the port that the deploy file names.
func serveMetrics(s platform.Settings, handler http.Handler, logger *zap.Logger) func(fx.Lifecycle) {
	return func(life fx.Lifecycle) {
		var metricsServer *server
		life.Append(fx.Hook{
			OnStart: func(context.Context) (err error) {
				metricsServer, err = serve(s.MetricsAddress(), handler, logger)
				return err
			},
			OnStop: func(ctx context.Context) error { return metricsServer.stop(ctx) },
		})
	}
}
