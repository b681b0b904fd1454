// Package quota keeps the requests of organisations within their quotas over all hosts.
// Owners of zones grant units from token buckets (Granter); each host asks them for each
// request (Limiter) and has a small share of its own for the time without an owner.
package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonmux/persimmonmux/coordination/allowance"
	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	// largeRequestTokens is the size of a request that each granter can grant.
	largeRequestTokens = 8192
	// minRequestsPerGranter is the number of large requests that a granter holds at least
	// where more than two share a quota: small parts refuse requests though others have room.
	minRequestsPerGranter = 2
	// burstPart, hostPart, slotPart and sendPart are the parts of the tolerance that enlarge
	// the bursts of the granters, that hosts share, that cover the width of a usage's slots,
	// and that cover the time between a grant and its send.
	burstPart = 0.4
	hostPart  = 0.25
	slotPart  = 0.1
	sendPart  = 0.25
	// minSendDelay is more than a request without a wait needs from its grant to its send.
	minSendDelay = 100 * time.Millisecond
	// shareCapacityPart is the part of a host's share that it may spend at once. The rest
	// becomes available over a window.
	shareCapacityPart = 0.75
	// maxQuota bounds the numbers of quotas, so that what follows from them is finite.
	maxQuota = 1e15
)

// A Tolerance says how far the units of an organisation may exceed its quota: in each
// window by OverShare of what the quota allows in it, plus Slack.
type Tolerance struct {
	Window    time.Duration
	OverShare float64
	// Slack is a number of tokens. Quotas of requests have none.
	Slack float64
}

// A part is what one granter holds of a quota.
type part struct {
	perSecond, capacity float64
	// perWindow is what may run of the part in a window, whenever it was granted.
	perWindow float64
}

// excess returns how many units of a quota may be used in a window beyond it.
func (t Tolerance) excess(q site.Quota) float64 {
	excess := t.OverShare * (min(q.PerSecond, maxQuota)*t.Window.Seconds() + min(q.Burst, maxQuota))
	if q.Unit == site.QuotaTokens {
		excess += t.Slack
	}
	return excess
}

// burst returns how many units all granters together may grant at once. The burst of the
// quota is enlarged by a part of the tolerance, because a bucket that is divided has room
// that no request fits into.
func (t Tolerance) burst(q site.Quota) float64 {
	return max(min(q.Burst, maxQuota)+burstPart*t.excess(q), 1)
}

// granterCount returns the number of zones that share a quota. A small quota is divided less
// often, so that requests fit into its parts.
func (t Tolerance) granterCount(q site.Quota, zones int) int {
	requests := t.burst(q) / largeRequest(q)
	count := requests / minRequestsPerGranter
	if count < 2 {
		count = min(requests, 2)
	}
	return int(max(1, min(count, float64(zones))))
}

// partOf returns what each of count granters holds of the quota.
func (t Tolerance) partOf(q site.Quota, count int) part {
	n := float64(count)
	p := part{perSecond: min(q.PerSecond, maxQuota) / n, capacity: t.burst(q) / n}
	slots := max(slotPart*t.excess(q)/n, p.perSecond*slotWidth(t.Window).Seconds())
	p.perWindow = p.capacity + p.perSecond*t.Window.Seconds() + slots
	return p
}

// maxSendDelay returns the longest time from a grant to the send of its request. It is the
// time that the tolerance covers, but not so short that each request asks twice.
func (t Tolerance) maxSendDelay(q site.Quota) time.Duration {
	covered := allowance.WaitFor(sendPart*t.excess(q), min(q.PerSecond, maxQuota))
	return min(max(covered, minSendDelay), t.Window)
}

// hostShare returns the number of hosts that have a share of a quota, and the units that
// each of them may use in a window. Few hosts have shares, because an equal share of all
// hosts is smaller than a request.
func (t Tolerance) hostShare(q site.Quota, hosts int) (holders int, units float64) {
	total := hostPart * t.excess(q)
	count := total * shareCapacityPart / largeRequest(q)
	holders = int(max(1, min(count, float64(hosts))))
	return holders, total / float64(holders)
}

func largeRequest(q site.Quota) float64 {
	if q.Unit == site.QuotaTokens {
		return largeRequestTokens
	}
	return 1
}

// grantingZones returns the zones whose owners share the quota of an organisation, in an
// order that all hosts agree on. They are spread over the regions.
func (t Tolerance) grantingZones(name site.OrganisationName, q site.Quota, regions map[string]string) []string {
	zones := make([]string, 0, len(regions))
	for zone := range regions {
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(string(name), b), weight(string(name), a)), cmp.Compare(a, b))
	})
	return spread(zones, regions)[:min(t.granterCount(q, len(zones)), len(zones))]
}

// spread reorders zones so that the first ones stand in different regions.
func spread(zones []string, regions map[string]string) []string {
	rounds := make(map[string]int, len(zones))
	used := make(map[string]int)
	for _, zone := range zones {
		rounds[zone] = used[regions[zone]]
		used[regions[zone]]++
	}
	slices.SortStableFunc(zones, func(a, b string) int { return cmp.Compare(rounds[a], rounds[b]) })
	return zones
}

// weight ranks a candidate for a name by rendezvous hashing.
func weight(name, candidate string) uint64 {
	return xxhash.Sum64String(name + "/" + candidate)
}
