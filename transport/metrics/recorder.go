// Package metrics counts requests with OpenTelemetry and exports the figures in
// the Prometheus format.
package metrics

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// scope names the library in the exported figures.
const scope = "github.com/persimmonmux/persimmonmux"

// boundaries are the bounds of histograms in seconds. They reach from the cost
// of the host itself to the longest deadlines of today.
var boundaries = []float64{
	0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300, 1800,
}

// A Recorder counts how requests end. Start is called before use; afterwards it
// may be used by many goroutines.
type Recorder struct {
	// InFlight returns the number of requests in flight; nil leaves the gauge out.
	InFlight func() int

	registry *prometheus.Registry
	provider *sdk.MeterProvider
	finished metric.Int64Counter
	duration metric.Float64Histogram
	stall    metric.Float64Histogram
	repeated metric.Int64Counter
	// options holds a *labels for each key; sets of attributes are costly to make.
	options sync.Map
}

// key is what requests are counted by. Applications, kinds and codes come from
// the configuration and the code, so that callers cannot make new ones.
type key struct {
	application configuration.ApplicationName
	kind        configuration.KindName
	verdict     verdict.Verdict
	code        verdict.Code
}

// labels are the attributes of a key, made once.
type labels struct {
	// counted has all attributes, timed only application and kind.
	counted []metric.AddOption
	timed   []metric.RecordOption
}

// Start makes the instruments and their registry.
func (r *Recorder) Start() error {
	r.registry = prometheus.NewRegistry()
	if err := r.registry.Register(collectors.NewGoCollector()); err != nil {
		return err
	}
	if err := r.registry.Register(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})); err != nil {
		return err
	}
	reader, err := exporter.New(exporter.WithRegisterer(r.registry))
	if err != nil {
		return err
	}
	r.provider = sdk.NewMeterProvider(sdk.WithReader(reader))
	return r.instruments(r.Meter())
}

func (r *Recorder) instruments(meter metric.Meter) error {
	var err error
	if r.finished, err = meter.Int64Counter("persimmonmux.requests",
		metric.WithDescription("Requests that ended, by application, kind, verdict and code.")); err != nil {
		return err
	}
	if r.duration, err = meter.Float64Histogram("persimmonmux.request.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from arrival to the end of a request."),
		metric.WithExplicitBucketBoundaries(boundaries...)); err != nil {
		return err
	}
	if r.stall, err = meter.Float64Histogram("persimmonmux.load.stall", metric.WithUnit("s"),
		metric.WithDescription("Time that a model request waited for its adapter to load."),
		metric.WithExplicitBucketBoundaries(boundaries...)); err != nil {
		return err
	}
	if r.repeated, err = meter.Int64Counter("persimmonmux.repeated_sends",
		metric.WithDescription("Sends beyond the first of a request, by application.")); err != nil {
		return err
	}
	if r.InFlight == nil {
		return nil
	}
	_, err = meter.Int64ObservableGauge("persimmonmux.requests.in_flight",
		metric.WithDescription("Requests in flight at this host."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(int64(r.InFlight()))
			return nil
		}))
	return err
}

// Meter returns the meter for further instruments of the host.
func (r *Recorder) Meter() metric.Meter {
	return r.provider.Meter(scope)
}

// Handler answers with the figures in the Prometheus format.
func (r *Recorder) Handler() http.Handler {
	return promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{})
}

// RecordRequest counts one request. A request without failure counts as ran.
func (r *Recorder) RecordRequest(ended *request.Request, answer request.Response, failure *verdict.Error) {
	k := key{application: ended.Application, kind: ended.Kind.Name, verdict: verdict.Ran}
	if failure != nil {
		k.verdict, k.code = failure.Verdict, failure.Code
	}
	l := r.labels(k)
	ctx := context.Background()
	r.finished.Add(ctx, 1, l.counted...)
	r.duration.Record(ctx, time.Since(ended.Arrived).Seconds(), l.timed...)
	if ended.Service == "" && failure == nil && !answer.Replayed {
		r.stall.Record(ctx, answer.LoadStall.Seconds(), l.timed...)
	}
}

// RecordRepeatedSends counts the sends of a request beyond its first one; less than one
// counts as none.
func (r *Recorder) RecordRepeatedSends(application configuration.ApplicationName, sends int) {
	if sends > 0 {
		r.repeated.Add(context.Background(), int64(sends), metric.WithAttributes(attribute.String("application", string(application))))
	}
}

// Close ends the provider.
func (r *Recorder) Close() error {
	return r.provider.Shutdown(context.Background())
}

func (r *Recorder) labels(k key) *labels {
	if known, ok := r.options.Load(k); ok {
		return known.(*labels)
	}
	application := attribute.String("application", string(k.application))
	kind := attribute.String("kind", string(k.kind))
	made := &labels{
		counted: []metric.AddOption{metric.WithAttributeSet(attribute.NewSet(application, kind,
			attribute.String("verdict", string(k.verdict)), attribute.String("code", string(k.code))))},
		timed: []metric.RecordOption{metric.WithAttributeSet(attribute.NewSet(application, kind))},
	}
	known, _ := r.options.LoadOrStore(k, made)
	return known.(*labels)
}
