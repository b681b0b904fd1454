package quota

import (
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/allowance"
	"github.com/persimmonmux/persimmonmux/state/site"
)

// A share is what this host may use of one quota without a granter. All shares together
// are a part of the tolerance, so that the quota holds even if no host reaches another one.
type share struct {
	quota   site.Quota
	hosts   int
	holders int
	bucket  *allowance.Bucket
}

// shares are the shares of this host by organisation.
type shares struct {
	self      string
	tolerance Tolerance
	// maxHosts is the largest number of hosts that this host has seen. A view that is not
	// complete, as after a restore of the store, must not make the shares larger.
	maxHosts       int
	byOrganisation map[site.OrganisationName]*share
}

// take takes units from the host's share of the organisation's quota and reports whether
// there were enough.
func (s *shares) take(view *site.View, name site.OrganisationName, quota site.Quota, units float64, now time.Time) bool {
	s.maxHosts = max(s.maxHosts, len(view.Hosts))
	if view.Hosts[s.self] == nil {
		return false
	}
	own := s.byOrganisation[name]
	if own == nil || own.quota != quota || own.hosts != s.maxHosts {
		own = s.resize(name, quota, own, now)
	}
	return rankOf(view, name, s.self) < own.holders && own.bucket.Take(units, now)
}

// resize applies another quota or number of hosts. A new share is empty, because the
// former process of this host may have used it.
func (s *shares) resize(name site.OrganisationName, quota site.Quota, own *share, now time.Time) *share {
	holders, units := s.tolerance.hostShare(quota, s.maxHosts)
	capacity := shareCapacityPart * units
	perSecond := (units - capacity) / s.tolerance.Window.Seconds()
	if own == nil {
		own = &share{bucket: allowance.NewEmpty(perSecond, capacity, now)}
		s.byOrganisation[name] = own
	}
	own.bucket.SetLimit(perSecond, capacity, now)
	own.quota, own.hosts, own.holders = quota, s.maxHosts, holders
	return own
}

// prepare creates the shares of the view's organisations, so that they fill before they are
// needed, and drops those of organisations that are gone.
func (s *shares) prepare(view *site.View, organisations *organisationIndex, now time.Time) {
	for name := range s.byOrganisation {
		if organisations.find(view, name) == nil {
			delete(s.byOrganisation, name)
		}
	}
	if view.Desired == nil {
		return
	}
	s.maxHosts = max(s.maxHosts, len(view.Hosts))
	for i := range view.Desired.Organisations {
		o := &view.Desired.Organisations[i]
		own := s.byOrganisation[o.Name]
		if o.Quota.IsLimited() && (own == nil || own.quota != o.Quota || own.hosts != s.maxHosts) {
			s.resize(o.Name, o.Quota, own, now)
		}
	}
}

// giveBack returns units of a request that did not run.
func (s *shares) giveBack(name site.OrganisationName, units float64, now time.Time) {
	if own := s.byOrganisation[name]; own != nil {
		own.bucket.Return(units, now)
	}
}

// rankOf returns the number of hosts that come before a host among those that hold shares
// of an organisation's quota.
func rankOf(view *site.View, name site.OrganisationName, host string) int {
	rank, own := 0, weight(string(name), host)
	for other := range view.Hosts {
		if weight(string(name), other) > own {
			rank++
		}
	}
	return rank
}
