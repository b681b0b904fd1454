package fronthost

import (
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/execution"
	"github.com/persimmonmux/persimmonmux/coordination/forward"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/metrics"
)

// recorder passes the requests of the forwarder to the metrics, which count them by
// application and kind: the service is recorded as the application and the name of the
// route as the kind.
type recorder struct {
	metricsRecorder *metrics.Recorder
}

// RecordRequest records one finished request. sends is the number of times that it
// was sent to a server, the first one included.
func (r *recorder) RecordRequest(route *site.Route, service site.ServiceName, arrived time.Time, sends int, stalled time.Duration, failure *verdict.Error) {
	ended := &request.Request{
		Application: configuration.ApplicationName(service),
		Kind:        configuration.Kind{Name: configuration.KindName(route.Name)},
		Arrived:     arrived,
	}
	r.metricsRecorder.RecordRequest(ended, request.Response{LoadStall: stalled}, failure)
	r.metricsRecorder.RecordRepeatedSends(ended.Application, sends-1)
}

// RecordKeyRefusal records a request that was refused for its key.
func (r *recorder) RecordKeyRefusal(reason forward.KeyRefusal) {
	r.metricsRecorder.RecordKeyRefusal(string(reason))
}

// RecordRefusal records a server's response stating that a request did not run.
func (r *recorder) RecordRefusal(service site.ServiceName, doubt execution.Doubt) {
	r.metricsRecorder.RecordRefusal(configuration.ApplicationName(service), string(doubt))
}
