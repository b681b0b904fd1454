package fronthost

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/persimmonmux/persimmonmux/internal/coordination/quota"
	"github.com/persimmonmux/persimmonmux/state/site"
)

// A quotaSum is a counter of what this host has counted for each organisation.
type quotaSum struct {
	name, description string
	value             func(quota.Counts) float64
}

// registerQuotas adds what the metrics show of the quotas of organisations. The names of
// organisations come from the desired state, so that callers cannot create time series.
func registerQuotas(meter metric.Meter, limiter *quota.Limiter, granter *quota.Granter) error {
	_, err := meter.Float64ObservableGauge("persimmonmux.quota.room",
		metric.WithDescription("Units that are left in the parts of quotas that this host grants as the owner of failure domains, by organisation."),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for name, units := range granter.Levels() {
				o.Observe(units, withOrganisation(name))
			}
			return nil
		}))
	if err != nil {
		return err
	}
	sums := []quotaSum{
		{"persimmonmux.quota.granted", "Units granted for requests of this host, by organisation.", func(c quota.Counts) float64 { return c.GrantedUnits }},
		{"persimmonmux.quota.returned", "Granted units of requests that no server ran, by organisation.", func(c quota.Counts) float64 { return c.ReturnedUnits }},
		{"persimmonmux.quota.share", "Granted units that came from the host's own share, because an owner did not answer, by organisation.", func(c quota.Counts) float64 { return c.ShareUnits }},
		{"persimmonmux.quota.refused", "Units of refused requests, by organisation.", func(c quota.Counts) float64 { return c.RefusedUnits }},
		{"persimmonmux.quota.refusals", "Requests refused because of quotas, by organisation.", func(c quota.Counts) float64 { return float64(c.RefusedRequests) }},
	}
	for _, sum := range sums {
		if err := sum.register(meter, limiter); err != nil {
			return err
		}
	}
	return nil
}

// register adds the counter to the meter.
func (s quotaSum) register(meter metric.Meter, limiter *quota.Limiter) error {
	_, err := meter.Float64ObservableCounter(
		s.name,
		metric.WithDescription(s.description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for name, counts := range limiter.Counts() {
				o.Observe(s.value(counts), withOrganisation(name))
			}
			return nil
		}),
	)
	return err
}

func withOrganisation(name site.OrganisationName) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("organisation", string(name)))
}
