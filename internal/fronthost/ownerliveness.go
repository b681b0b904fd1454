package fronthost

import (
	"github.com/persimmonmux/persimmonmux/coordination/watch"
	"github.com/persimmonmux/persimmonmux/coordination/zone"
)

// ownerLiveness breaks the cycles between those who need to know the living owners
// and the follower, which finds them.
type ownerLiveness struct {
	self     string
	cache    *watch.Cache
	follower *watch.Follower
	elector  *zone.Elector
}

// ordered says whether somebody gives orders to the engines of the zone.
func (a *ownerLiveness) ordered(name string) bool {
	host := a.cache.View().Owners[name]
	switch {
	case host == nil || a.follower == nil || a.elector == nil:
		return false
	case host.Name == a.self:
		_, ok := a.elector.OrderEpoch(name)
		return ok
	default:
		return a.follower.GivesOrders(host.Name, name)
	}
}

// Alive says whether the owner answers.
func (a *ownerLiveness) Alive(host string) bool {
	return a.follower != nil && a.follower.Alive(host)
}
