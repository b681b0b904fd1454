package fronthost

import (
	"github.com/persimmonmux/persimmonmux/coordination/watch"
	"github.com/persimmonmux/persimmonmux/coordination/zone"
)

// aliveness breaks the cycles between those who need to know the living owners
// and the follower, which finds them.
type aliveness struct {
	self     string
	watcher  *watch.Watcher
	follower *watch.Follower
	tenant   *zone.Tenant
}

// ordered says whether somebody gives orders to the engines of the zone.
func (a *aliveness) ordered(name string) bool {
	host := a.watcher.View().Owners[name]
	switch {
	case host == nil || a.follower == nil || a.tenant == nil:
		return false
	case host.Name == a.self:
		_, ok := a.tenant.Epoch(name)
		return ok
	default:
		return a.follower.Orders(host.Name, name)
	}
}

// Alive says whether the owner answers.
func (a *aliveness) Alive(host string) bool {
	return a.follower != nil && a.follower.Alive(host)
}
