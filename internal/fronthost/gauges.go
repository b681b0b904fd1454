package fronthost

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/coordination/watch"
	"github.com/persimmonmux/persimmonmux/coordination/zone"
	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
	"github.com/persimmonmux/persimmonmux/internal/coordination/quarantine"
)

// A countGauge is a gauge of a whole number.
type countGauge struct {
	name, description string
	value             func() int64
}

// registerGauges adds gauges to the meter that show the state on which the host bases its
// decisions: the age of its data, the version of the desired state, the servers it knows and
// what they state, the zones in which it sends orders, the requests that it refuses and what it
// holds of responses.
func registerGauges(meter metric.Meter, cache *watch.Cache, elector *zone.Elector, blocked *quarantine.Quarantine, balancer *balance.Balancer, quota *buffering.Quota) error {
	counts := []countGauge{
		{"persimmonmux.desired.version", "Version of the desired state in force; 0 before one is known.", func() int64 {
			if desired := cache.View().Desired; desired != nil {
				return desired.Version
			}
			return 0
		}},
		{"persimmonmux.servers", "Servers known, leaving ones included.", func() int64 { return int64(len(cache.View().Servers)) }},
		{"persimmonmux.zones.ordering", "Failure domains whose engines this host gives orders to.", func() int64 { return int64(len(elector.OrderingZones())) }},
		{"persimmonmux.prompt.blocks", "Sets of traits whose requests are refused because engines ended under them.", func() int64 { return int64(blocked.BlockCount()) }},
		{"persimmonmux.servers.limited", "Servers that state a limit of requests a second in their answers to this host.", func() int64 { return int64(balancer.LimitedServers()) }},
		{"persimmonmux.servers.leaving", "Servers that have stated in an answer that they leave.", func() int64 { return int64(len(balancer.LeavingServers())) }},
		{"persimmonmux.responses.held", "Bytes that responses have taken from the quota for what is not passed on yet.", func() int64 { return quota.Taken() - quota.TakenByRequests() }},
		{"persimmonmux.requests.held", "Bytes that requests of callers have taken from the quota.", quota.TakenByRequests},
		{"persimmonmux.callers.connections", "Open connections of callers.", func() int64 { return int64(quota.Intakes()) }},
		{"persimmonmux.servers.paused", "Servers that want no requests of this host for now.", func() int64 { return int64(balancer.PausedServers()) }},
	}
	for _, g := range counts {
		_, err := meter.Int64ObservableGauge(g.name, metric.WithDescription(g.description), metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(g.value())
			return nil
		}))
		if err != nil {
			return err
		}
	}
	_, err := meter.Int64ObservableCounter("persimmonmux.callers.refused",
		metric.WithDescription("Requests and connections of callers that were refused or closed for want of room."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(quota.Refusals())
			return nil
		}))
	if err != nil {
		return err
	}
	_, err = meter.Float64ObservableGauge("persimmonmux.store.age", metric.WithUnit("s"),
		metric.WithDescription("Time since the platform's store was heard of, directly or by way of an owner."),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(cache.StoreAge().Seconds())
			return nil
		}))
	if err != nil {
		return err
	}
	_, err = meter.Float64ObservableGauge("persimmonmux.table.age", metric.WithUnit("s"),
		metric.WithDescription("Time since the platform's store confirmed that the host has all changes of a table."),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for _, table := range cache.Tables {
				o.Observe(cache.TableAge(table).Seconds(), metric.WithAttributes(attribute.String("table", string(table))))
			}
			return nil
		}))
	return err
}
