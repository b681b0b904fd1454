// Package metrics records requests with OpenTelemetry and exports the metrics in
// the Prometheus text format.
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

// instrumentationScope is the OpenTelemetry scope name of all instruments.
const instrumentationScope = "github.com/persimmonmux/persimmonmux"

// bucketBoundsSeconds are the bucket bounds of the histograms. They range from the
// time that the host itself adds to a request to the longest deadlines in use.
var bucketBoundsSeconds = []float64{
	0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300, 1800,
}

// A Recorder counts finished requests by outcome and records their durations. Start
// is called before use; afterwards many goroutines may use the Recorder.
type Recorder struct {
	// InFlight returns the number of requests in flight. If it is nil, there is no
	// gauge of requests in flight. It is set before Start.
	InFlight func() int

	registry *prometheus.Registry
	provider *sdk.MeterProvider
	// The instruments, in the order of createInstruments.
	requests      metric.Int64Counter
	duration      metric.Float64Histogram
	loadStall     metric.Float64Histogram
	repeatedSends metric.Int64Counter
	refusals      metric.Int64Counter
	keyRefusals   metric.Int64Counter
	// optionsByKey holds an *instrumentOptions for each outcomeKey, because attribute
	// sets are too expensive to build for each request.
	optionsByKey sync.Map
}

// An outcomeKey holds the attributes that requests are counted by. Their values come
// from the configuration and from constants in the code, so that callers cannot
// create new time series.
type outcomeKey struct {
	application configuration.ApplicationName
	kind        configuration.KindName
	verdict     verdict.Verdict
	code        verdict.Code
}

// instrumentOptions are the attributes of an outcomeKey as options of instruments.
type instrumentOptions struct {
	// withOutcome has application, kind, verdict and code as attributes;
	// withoutOutcome has only application and kind.
	withOutcome    []metric.AddOption
	withoutOutcome []metric.RecordOption
}

// Start creates the registry with the Go and process collectors and the instruments.
// It is called once.
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
	return r.createInstruments(r.Meter())
}

// createInstruments creates the instruments for requests.
func (r *Recorder) createInstruments(meter metric.Meter) error {
	var err error
	if r.requests, err = meter.Int64Counter("persimmonmux.requests",
		metric.WithDescription("Requests that ended, by application, kind, verdict and code.")); err != nil {
		return err
	}
	if r.duration, err = meter.Float64Histogram("persimmonmux.request.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from arrival to the end of a request."),
		metric.WithExplicitBucketBoundaries(bucketBoundsSeconds...)); err != nil {
		return err
	}
	if r.loadStall, err = meter.Float64Histogram("persimmonmux.load.stall", metric.WithUnit("s"),
		metric.WithDescription("Time that a model request waited for its adapter to load."),
		metric.WithExplicitBucketBoundaries(bucketBoundsSeconds...)); err != nil {
		return err
	}
	if r.repeatedSends, err = meter.Int64Counter("persimmonmux.repeated_sends",
		metric.WithDescription("Sends beyond the first of a request, by application.")); err != nil {
		return err
	}
	if r.refusals, err = meter.Int64Counter("persimmonmux.refusals",
		metric.WithDescription("Responses of servers stating that their request did not run, by application and doubt.")); err != nil {
		return err
	}
	if r.keyRefusals, err = meter.Int64Counter("persimmonmux.key.refusals",
		metric.WithDescription("Requests that were refused for their key, by reason.")); err != nil {
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

// Meter returns the meter for further instruments of the host. Start must have been
// called.
func (r *Recorder) Meter() metric.Meter {
	return r.provider.Meter(instrumentationScope)
}

// Handler returns the HTTP handler that serves all metrics in the Prometheus format.
func (r *Recorder) Handler() http.Handler {
	return promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{})
}

// RecordRequest counts one finished request and records its duration. A request
// without failure has verdict.Ran. The load stall is recorded only for model requests
// that ran without failure and whose response was not replayed.
func (r *Recorder) RecordRequest(ended *request.Request, answer request.Response, failure *verdict.Error) {
	k := outcomeKey{application: ended.Application, kind: ended.Kind.Name, verdict: verdict.Ran}
	if failure != nil {
		k.verdict, k.code = failure.Verdict, failure.Code
	}
	options := r.optionsFor(k)
	ctx := context.Background()
	r.requests.Add(ctx, 1, options.withOutcome...)
	r.duration.Record(ctx, time.Since(ended.Arrived).Seconds(), options.withoutOutcome...)
	if ended.Service == "" && failure == nil && !answer.Replayed {
		r.loadStall.Record(ctx, answer.LoadStall.Seconds(), options.withoutOutcome...)
	}
}

// RecordRepeatedSends adds the number of sends of a request after its first one.
// Numbers less than 1 add nothing.
func (r *Recorder) RecordRepeatedSends(application configuration.ApplicationName, sends int) {
	if sends > 0 {
		r.repeatedSends.Add(context.Background(), int64(sends), metric.WithAttributes(attribute.String("application", string(application))))
	}
}

// RecordRefusal counts a response of a server stating that its request did not run. doubt is the
// reason for which it is no proof, or empty.
func (r *Recorder) RecordRefusal(application configuration.ApplicationName, doubt string) {
	r.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("application", string(application)), attribute.String("doubt", doubt)))
}

// RecordKeyRefusal counts a request that was refused for its key.
func (r *Recorder) RecordKeyRefusal(reason string) {
	r.keyRefusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// Close shuts the meter provider down. Nothing may be recorded afterwards.
func (r *Recorder) Close() error {
	return r.provider.Shutdown(context.Background())
}

// optionsFor returns the options of a key, which are built on first use.
func (r *Recorder) optionsFor(k outcomeKey) *instrumentOptions {
	if known, ok := r.optionsByKey.Load(k); ok {
		return known.(*instrumentOptions)
	}
	application := attribute.String("application", string(k.application))
	kind := attribute.String("kind", string(k.kind))
	created := &instrumentOptions{
		withOutcome: []metric.AddOption{metric.WithAttributeSet(attribute.NewSet(application, kind,
			attribute.String("verdict", string(k.verdict)), attribute.String("code", string(k.code))))},
		withoutOutcome: []metric.RecordOption{metric.WithAttributeSet(attribute.NewSet(application, kind))},
	}
	known, _ := r.optionsByKey.LoadOrStore(k, created)
	return known.(*instrumentOptions)
}
