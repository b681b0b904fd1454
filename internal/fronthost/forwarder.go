package fronthost

import (
	"go.uber.org/dig"

	"github.com/persimmonmux/persimmonmux/coordination/adapter"
	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/coordination/forward"
	"github.com/persimmonmux/persimmonmux/coordination/retry"
	"github.com/persimmonmux/persimmonmux/coordination/watch"
	"github.com/persimmonmux/persimmonmux/internal/coordination/completion"
	"github.com/persimmonmux/persimmonmux/internal/coordination/organisation"
	"github.com/persimmonmux/persimmonmux/internal/coordination/quarantine"
	"github.com/persimmonmux/persimmonmux/internal/coordination/quota"
	"github.com/persimmonmux/persimmonmux/transport/metrics"
	"github.com/persimmonmux/persimmonmux/transport/peer"
)

// forwarderParts holds what the forwarder is built from. The dig container sets the fields.
type forwarderParts struct {
	dig.In

	Cache         *watch.Cache
	Balancer      *balance.Balancer
	Controller    *adapter.Controller
	PeerClient    *peer.Client
	RetryBudget   *retry.WindowBudget
	Quarantine    *quarantine.Quarantine
	Organisations *organisation.Directory
	Quotas        *quota.Limiter
	Completions   *completion.Notifier
	Owners        *ownerLiveness
	Metrics       *metrics.Recorder
}

func (h *Host) newForwarder(p forwarderParts) *forward.Forwarder {
	region := h.Settings.Regions[h.Settings.FailureDomain]
	placer := &placer{self: h.Settings.HostName, region: region, cache: p.Cache, controller: p.Controller, client: p.PeerClient, owners: p.Owners}
	return &forward.Forwarder{
		Views:       p.Cache,
		Balancer:    p.Balancer,
		Placer:      placer,
		RetryBudget: p.RetryBudget,
		Quarantine:  p.Quarantine,
		Identifier:  p.Organisations,
		Quotas:      p.Quotas,
		RunEnds:     p.Completions,
		Recorder:    &recorder{metricsRecorder: p.Metrics},
		Log:         h.Log,
	}
}
