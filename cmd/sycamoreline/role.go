package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/google/subcommands"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/sycamoreline/sycamoreline/connlimit"
	"github.com/sycamoreline/sycamoreline/settings"
	"github.com/sycamoreline/sycamoreline/strictjson"
)

const (
	startTimeout = 30 * time.Second
	// stopTimeout covers the drain delay and the longest stream.
	stopTimeout = 11 * time.Minute
	// shutdownTimeout limits the wait for in-flight HTTP requests.
	shutdownTimeout = 10 * time.Minute
	// idleTimeout closes connections of callers that disappeared without closing
	// them.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is far above the size of the longest idempotency key and IDs.
	maxHeaderBytes = 64 << 10
)

// listenFunc opens a listener on an address.
type listenFunc func(address string) (net.Listener, error)

func listenTCP(address string) (net.Listener, error) {
	var c net.ListenConfig
	l, err := c.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return l, nil
}

// open opens a listener on the address in a field of the settings, with TLS if
// it is configured. It reports errors as invalid settings.
func (f listenFunc) open(field, address string, t settings.TLS) (net.Listener, error) {
	l, err := f(address)
	if err != nil {
		return nil, strictjson.Invalid(field, address, "want an address of this host with a free port: "+rootCause(err).Error())
	}
	secured, err := t.Wrap(l)
	if err != nil {
		l.Close()
		return nil, err
	}
	return secured, nil
}

// newLogger returns a logger that writes JSON lines.
func newLogger(out io.Writer, level, role, id string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log-level: %q: want debug, info, warn or error", level)
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(zapcore.AddSync(out)), l)
	return zap.New(core).With(zap.String("role", role), zap.String("id", id)), nil
}

// runRole runs modules until the context ends or one of them fails.
func runRole(ctx context.Context, o output, modules ...fx.Option) subcommands.ExitStatus {
	app := fx.New(append(modules, withoutFxLog(), fx.StartTimeout(startTimeout), fx.StopTimeout(stopTimeout))...)
	if err := app.Err(); err != nil {
		return o.exitStatus(rootCause(err))
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return o.exitStatus(rootCause(err))
	}
	status := subcommands.ExitSuccess
	select {
	case <-ctx.Done():
	case s := <-app.Wait():
		status = subcommands.ExitStatus(s.ExitCode)
	}
	stopCtx, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	if err := app.Stop(stopCtx); err != nil {
		return o.exitStatus(rootCause(err))
	}
	return status
}

// withoutFxLog disables the event log of fx. App.Err, Start and Stop return the
// errors that it would contain.
func withoutFxLog() fx.Option {
	return fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger })
}

// rootCause returns the innermost error, without the context that fx adds.
func rootCause(err error) error {
	for {
		next := errors.Unwrap(err)
		if next == nil {
			return err
		}
		err = next
	}
}

// serveHTTP adds an HTTP server to the lifecycle of an app.
func serveHTTP(lifecycle fx.Lifecycle, logger *zap.Logger, listener net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	connlimit.Watch(server)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
					logger.Error("HTTP server stopped", zap.Error(err))
				}
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
			defer cancel()
			return server.Shutdown(ctx)
		},
	})
}
