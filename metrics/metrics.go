// Package metrics serves counters, gauges and histograms of a process in the
// Prometheus text format. It defines no metrics itself. Start with New.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
)

// LatencyBuckets are histogram buckets from 1 ms to 33 s.
var LatencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// New returns the root scope of a process and the HTTP handler that exposes its
// metrics, whose names begin with sycamoreline_. Values are collected at the
// interval, and once more when the io.Closer is closed.
func New(interval time.Duration) (tally.Scope, http.Handler, io.Closer) {
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "sycamoreline", CachedReporter: reporter, Separator: tallyprometheus.DefaultSeparator,
		SanitizeOptions: &tallyprometheus.DefaultSanitizerOpts,
	}, interval)
	return scope, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), closer
}
