package fronthost

import (
	"github.com/persimmonmux/persimmonmux/coordination/watch"
	"github.com/persimmonmux/persimmonmux/coordination/zone"
)

// ownerLiveness reports which zone owners answer. The balancer, the elector and the
// placer use it in place of the follower, which detects live owners, because the
// follower is itself built from the balancer. Its follower and elector fields are nil
// until newFollower and newElector set them.
type ownerLiveness struct {
	self     string
	cache    *watch.Cache
	follower *watch.Follower
	elector  *zone.Elector
}

// hasOrderingOwner reports whether the zone has an owner that currently sends orders
// to the zone's engines.
func (l *ownerLiveness) hasOrderingOwner(name string) bool {
	host := l.cache.View().Owners[name]
	switch {
	case host == nil || l.follower == nil || l.elector == nil:
		return false
	case host.Name == l.self:
		_, ok := l.elector.OrderEpoch(name)
		return ok
	default:
		return l.follower.GivesOrders(host.Name, name)
	}
}

// Alive reports whether the host has answered recently and is not stopping. With
// GivesOrders it implements the interface through which the elector checks owners.
func (l *ownerLiveness) Alive(host string) bool {
	return l.follower != nil && l.follower.Alive(host)
}

// GivesOrders reports whether the host is alive and sends orders in the zone.
func (l *ownerLiveness) GivesOrders(host, zone string) bool {
	return l.follower != nil && l.follower.GivesOrders(host, zone)
}
