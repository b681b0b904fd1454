package fronthost

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/coordination/watch"
	"github.com/persimmonmux/persimmonmux/coordination/zone"
	"github.com/persimmonmux/persimmonmux/internal/coordination/quarantine"
)

// registerGauges adds gauges to the meter that show the state on which the host
// bases its decisions: the age of its data, the version of the desired state,
// the servers it knows, the zones in which it sends orders and the sets of prompt parts
// that it refuses, and the servers that state a request limit.
func registerGauges(meter metric.Meter, cache *watch.Cache, elector *zone.Elector, blocked *quarantine.Quarantine, balancer *balance.Balancer) error {
	age, err := meter.Float64ObservableGauge("persimmonmux.store.age", metric.WithUnit("s"),
		metric.WithDescription("Time since the platform's store was heard of, directly or by way of an owner."))
	if err != nil {
		return err
	}
	tableAge, err := meter.Float64ObservableGauge("persimmonmux.table.age", metric.WithUnit("s"),
		metric.WithDescription("Time since the platform's store confirmed that the host has all changes of a table."))
	if err != nil {
		return err
	}
	version, err := meter.Int64ObservableGauge("persimmonmux.desired.version",
		metric.WithDescription("Version of the desired state in force; 0 before one is known."))
	if err != nil {
		return err
	}
	servers, err := meter.Int64ObservableGauge("persimmonmux.servers",
		metric.WithDescription("Servers known, leaving ones included."))
	if err != nil {
		return err
	}
	zones, err := meter.Int64ObservableGauge("persimmonmux.zones.ordering",
		metric.WithDescription("Failure domains whose engines this host gives orders to."))
	if err != nil {
		return err
	}
	blocks, err := meter.Int64ObservableGauge("persimmonmux.prompt.blocks",
		metric.WithDescription("Sets of prompt parts whose requests are refused because engines ended under them."))
	if err != nil {
		return err
	}
	limited, err := meter.Int64ObservableGauge("persimmonmux.servers.limited",
		metric.WithDescription("Servers that state a limit of requests a second in their answers to this host."))
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		view := cache.View()
		if view.Desired != nil {
			o.ObserveInt64(version, view.Desired.Version)
		}
		o.ObserveFloat64(age, cache.StoreAge().Seconds())
		for _, table := range cache.Tables {
			o.ObserveFloat64(tableAge, cache.TableAge(table).Seconds(), metric.WithAttributes(attribute.String("table", string(table))))
		}
		o.ObserveInt64(servers, int64(len(view.Servers)))
		o.ObserveInt64(zones, int64(len(elector.OrderingZones())))
		o.ObserveInt64(blocks, int64(blocked.BlockCount()))
		o.ObserveInt64(limited, int64(balancer.LimitedServers()))
		return nil
	}, age, tableAge, version, servers, zones, blocks, limited)
	return err
}
