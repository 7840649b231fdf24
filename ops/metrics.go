package ops

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

const (
	metricsPrefix         = "jackdaw"
	metricsReportInterval = time.Second
)

// Metrics are the metrics of one process, in Prometheus format over HTTP.
type Metrics struct {
	// Scope is where the process records its metrics.
	Scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics that are tagged with the kind of the process and
// its VM.
func NewMetrics(process, vm string) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer: registry,
		Gatherer:   registry,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricsPrefix,
		Tags:                   map[string]string{"process": process, "vm": vm},
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, metricsReportInterval)
	return &Metrics{Scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}

// Close stops the collection of metrics.
func (m *Metrics) Close() error { return m.closer.Close() }
