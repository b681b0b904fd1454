package fronthost

import (
	"github.com/persimmonmux/persimmonmux/coordination/watch"
	"github.com/persimmonmux/persimmonmux/coordination/zone"
	"github.com/persimmonmux/persimmonmux/internal/coordination/quota"
	"github.com/persimmonmux/persimmonmux/transport/peer"
)

func (h *Host) newGranter(cache *watch.Cache, elector *zone.Elector) *quota.Granter {
	return &quota.Granter{Leases: elector, Views: cache, Regions: h.Settings.Regions, Tolerance: h.quotaTolerance()}
}

func (h *Host) newLimiter(cache *watch.Cache, granter *quota.Granter, client *peer.Client) *quota.Limiter {
	return &quota.Limiter{
		Self:      h.Settings.HostName,
		Zone:      h.Settings.FailureDomain,
		Regions:   h.Settings.Regions,
		Tolerance: h.quotaTolerance(),
		Views:     cache,
		Granter:   granter,
		Peers:     client,
		Log:       h.Log,
	}
}

// quotaTolerance returns how far quotas may be exceeded.
func (h *Host) quotaTolerance() quota.Tolerance {
	s := h.Settings.Quotas
	return quota.Tolerance{Window: s.Window, OverShare: s.OverShare, Slack: s.Slack}
}
