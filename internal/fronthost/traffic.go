package fronthost

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/persimmonmux/persimmonmux/transport/peer"
	"github.com/persimmonmux/persimmonmux/transport/rpc"
)

// registerTraffic adds counters to the meter that show which calls between hosts carry how many
// bytes, as the caller and as the called host.
func registerTraffic(meter metric.Meter, client *peer.Client, server *peer.Server) error {
	calls, err := meter.Int64ObservableCounter("persimmonmux.peer.calls",
		metric.WithDescription("Calls between hosts, by method and side."))
	if err != nil {
		return err
	}
	bytes, err := meter.Int64ObservableCounter("persimmonmux.peer.bytes", metric.WithUnit("By"),
		metric.WithDescription("Bytes of the messages of calls between hosts, by method, side and direction."))
	if err != nil {
		return err
	}
	observe := func(o metric.Observer, side string, traffic *rpc.Traffic) {
		for method, count := range traffic.Counts() {
			by := []attribute.KeyValue{attribute.String("method", method), attribute.String("side", side)}
			o.ObserveInt64(calls, count.Calls, metric.WithAttributes(by...))
			o.ObserveInt64(bytes, count.SentBytes, metric.WithAttributes(append(by, attribute.String("direction", "sent"))...))
			o.ObserveInt64(bytes, count.ReceivedBytes, metric.WithAttributes(append(by, attribute.String("direction", "received"))...))
		}
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		observe(o, "caller", &client.Traffic)
		observe(o, "called", &server.Traffic)
		return nil
	}, calls, bytes)
	return err
}
