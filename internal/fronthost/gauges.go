package fronthost

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/internal/coordination/quota"
	"github.com/persimmonmux/persimmonmux/state/site"
)

// A countGauge is a gauge of a whole number.
type countGauge struct {
	name, description string
	value             func() int64
}

// registerGauges adds gauges to the meter that show the state on which the host bases its
// decisions: the version of the desired state, the keys and servers it knows and what servers
// state, the zones in which it sends orders, the requests that it refuses and what it holds of
// requests and responses.
func registerGauges(meter metric.Meter, s *metricSources) error {
	gauges := []countGauge{
		{"persimmonmux.desired.version", "Version of the desired state in force; 0 before one is known.", func() int64 {
			if desired := s.Cache.View().Desired; desired != nil {
				return desired.Version
			}
			return 0
		}},
		{"persimmonmux.keys", "Keys of organisations known.", func() int64 { return int64(s.Cache.View().KeyCount()) }},
		{"persimmonmux.key.lookups", "Reads of the desired state since the start because of unknown keys.", s.Organisations.Refreshes},
		{"persimmonmux.servers", "Servers known, leaving ones included.", func() int64 { return int64(len(s.Cache.View().Servers)) }},
		{"persimmonmux.zones.ordering", "Failure domains whose engines this host gives orders to.", func() int64 { return int64(len(s.Elector.OrderingZones())) }},
		{"persimmonmux.prompt.blocks", "Sets of traits whose requests are refused because engines ended under them.", func() int64 { return int64(s.Quarantine.BlockCount()) }},
		{"persimmonmux.servers.limited", "Servers that state a limit of requests a second in their answers to this host.", func() int64 { return int64(s.Balancer.LimitedServers()) }},
		{"persimmonmux.servers.leaving", "Servers that have stated in an answer that they leave.", func() int64 { return int64(len(s.Balancer.LeavingServers())) }},
		{"persimmonmux.responses.held", "Bytes that responses have taken from the quota for what is not passed on yet.", func() int64 { return s.Buffers.Taken() - s.Buffers.TakenByRequests() }},
		{"persimmonmux.requests.held", "Bytes that requests of callers have taken from the buffers.", s.Buffers.TakenByRequests},
		{"persimmonmux.callers.connections", "Open connections of callers.", func() int64 { return int64(s.Buffers.Intakes()) }},
		{"persimmonmux.servers.paused", "Servers that want no requests of this host for now.", func() int64 { return int64(s.Balancer.PausedServers()) }},
	}
	for _, g := range gauges {
		_, err := meter.Int64ObservableGauge(g.name, metric.WithDescription(g.description), metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(g.value())
			return nil
		}))
		if err != nil {
			return err
		}
	}
	return nil
}

// registerCallerRefusals adds a counter to the meter of what the host refuses for want of memory.
func registerCallerRefusals(meter metric.Meter, s *metricSources) error {
	_, err := meter.Int64ObservableCounter("persimmonmux.callers.refused",
		metric.WithDescription("Requests and connections of callers that were refused or closed for want of room."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(s.Buffers.Refusals())
			return nil
		}))
	return err
}

// registerAges adds gauges to the meter that show the age of the data of the host.
func registerAges(meter metric.Meter, s *metricSources) error {
	_, err := meter.Float64ObservableGauge("persimmonmux.store.age", metric.WithUnit("s"),
		metric.WithDescription("Time since the platform's store was heard of, directly or by way of an owner."),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(s.Cache.StoreAge().Seconds())
			return nil
		}))
	if err != nil {
		return err
	}
	_, err = meter.Float64ObservableGauge("persimmonmux.table.age", metric.WithUnit("s"),
		metric.WithDescription("Time since the platform's store confirmed that the host has all changes of a table."),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for _, table := range s.Cache.Tables {
				o.Observe(s.Cache.TableAge(table).Seconds(), metric.WithAttributes(attribute.String("table", string(table))))
			}
			return nil
		}))
	return err
}

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
