package fronthost

import (
	"go.uber.org/dig"

	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/coordination/watch"
	"github.com/persimmonmux/persimmonmux/coordination/zone"
	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
	"github.com/persimmonmux/persimmonmux/internal/coordination/organisation"
	"github.com/persimmonmux/persimmonmux/internal/coordination/quarantine"
	"github.com/persimmonmux/persimmonmux/internal/coordination/quota"
	"github.com/persimmonmux/persimmonmux/transport/metrics"
	"github.com/persimmonmux/persimmonmux/transport/peer"
)

// metricSources holds what the metrics of the host show. The dig container sets the fields.
type metricSources struct {
	dig.In

	Cache         *watch.Cache
	Elector       *zone.Elector
	Quarantine    *quarantine.Quarantine
	Balancer      *balance.Balancer
	Buffers       *buffering.Quota
	Organisations *organisation.Directory
	Quotas        *quota.Limiter
	Granter       *quota.Granter
	PeerClient    *peer.Client
	PeerServer    *peer.Server
}

// newRecorder starts the recorder of metrics and registers what it observes.
func newRecorder(s metricSources) (*metrics.Recorder, error) {
	recorder := &metrics.Recorder{}
	if err := recorder.Start(); err != nil {
		return nil, err
	}
	meter := recorder.Meter()
	if err := registerTraffic(meter, s.PeerClient, s.PeerServer); err != nil {
		return nil, err
	}
	if err := registerQuotas(meter, s.Quotas, s.Granter); err != nil {
		return nil, err
	}
	if err := registerGauges(meter, &s); err != nil {
		return nil, err
	}
	if err := registerCallerRefusals(meter, &s); err != nil {
		return nil, err
	}
	if err := registerAges(meter, &s); err != nil {
		return nil, err
	}
	return recorder, registerEstimateMetrics(meter, s.Balancer)
}
