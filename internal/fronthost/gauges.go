package fronthost

import (
	"context"

	"go.opentelemetry.io/otel/metric"

	"github.com/persimmonmux/persimmonmux/coordination/watch"
	"github.com/persimmonmux/persimmonmux/coordination/zone"
)

// registerBeliefs adds gauges of what the host believes to a meter.
func registerBeliefs(meter metric.Meter, w *watch.Cache, t *zone.Elector) error {
	age, err := meter.Float64ObservableGauge("persimmonmux.store.age", metric.WithUnit("s"),
		metric.WithDescription("Time since the platform's store was heard of, directly or by way of an owner."))
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
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		view := w.View()
		if view.Desired != nil {
			o.ObserveInt64(version, view.Desired.Version)
		}
		o.ObserveFloat64(age, w.StoreAge().Seconds())
		o.ObserveInt64(servers, int64(len(view.Servers)))
		o.ObserveInt64(zones, int64(len(t.OrderingZones())))
		return nil
	}, age, version, servers, zones)
	return err
}
