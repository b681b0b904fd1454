package fronthost

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/persimmonmux/persimmonmux/coordination/balance"
)

// An estimateSum is a counter of a time that the accuracy of the estimates has.
type estimateSum struct {
	name, description string
	value             func(a balance.EstimateAccuracy) time.Duration
}

// registerEstimateMetrics adds metrics to the meter that compare the estimated start of answers
// with the measured one, for services whose servers state how long work takes on them.
func registerEstimateMetrics(meter metric.Meter, balancer *balance.Balancer) error {
	sums := []estimateSum{
		{"persimmonmux.start.estimated", "Sum of the estimated times until answers began.", func(a balance.EstimateAccuracy) time.Duration { return a.Estimated }},
		{"persimmonmux.start.measured", "Sum of the measured times until these answers began.", func(a balance.EstimateAccuracy) time.Duration { return a.Measured }},
		{"persimmonmux.start.error", "Sum of the differences between both, without their signs.", func(a balance.EstimateAccuracy) time.Duration { return a.Errors }},
	}
	for _, sum := range sums {
		_, err := meter.Float64ObservableCounter(sum.name, metric.WithUnit("s"), metric.WithDescription(sum.description),
			metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
				for service, accuracy := range balancer.EstimateAccuracies() {
					o.Observe(sum.value(accuracy).Seconds(), metric.WithAttributes(attribute.String("application", string(service))))
				}
				return nil
			}))
		if err != nil {
			return err
		}
	}
	_, err := meter.Int64ObservableCounter("persimmonmux.start.answers", metric.WithDescription("Answers whose start was estimated."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for service, accuracy := range balancer.EstimateAccuracies() {
				o.Observe(accuracy.Answers, metric.WithAttributes(attribute.String("application", string(service))))
			}
			return nil
		}))
	if err != nil {
		return err
	}
	_, err = meter.Float64ObservableGauge("persimmonmux.start.persistence",
		metric.WithDescription("Share of the deviation of a server's newest stated speed from its average that holds during a request."),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for service, accuracy := range balancer.EstimateAccuracies() {
				o.Observe(accuracy.Persistence, metric.WithAttributes(attribute.String("application", string(service))))
			}
			return nil
		}))
	return err
}
