package fronthost

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/persimmonmux/persimmonmux/platform"
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
	_, err = meter.Float64ObservableGauge("persimmonmux.desired.age", metric.WithUnit("s"),
		metric.WithDescription("Time since the platform's store confirmed that the host has the newest desired state."),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(s.Cache.TableAge(platform.OperatorTable).Seconds())
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
