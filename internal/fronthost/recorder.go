package fronthost

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/metrics"
)

// recorder counts requests by their service and route.
type recorder struct {
	figures *metrics.Recorder
}

// RecordRequest counts one request.
func (r *recorder) RecordRequest(route *site.Route, service site.ServiceName, arrived time.Time, sends int, stalled time.Duration, failure *verdict.Error) {
	ended := &request.Request{
		Application: configuration.ApplicationName(service),
		Kind:        configuration.Kind{Name: configuration.KindName(route.Name)},
		Arrived:     arrived,
	}
	r.figures.RecordRequest(ended, request.Response{LoadStall: stalled}, failure)
	r.figures.RecordRepeatedSends(ended.Application, sends-1)
}
