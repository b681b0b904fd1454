package watch

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// publish builds a view from the rows and replaces the published one. It returns both. The
// mutex is held, so that nobody sees a table as confirmed before the view has its rows. The
// version of the desired state never decreases: operators number desired states
// upwards and write the newest one again after the store has lost it.
func (w *Cache) publish() (before, next *site.View) {
	now := time.Now()
	before = w.view.Load()
	next = &site.View{
		Servers:  make(map[site.ServerID]*site.Server),
		Versions: make(map[site.Adapter]int),
		Hosts:    make(map[string]*site.Host),
	}
	for _, c := range w.tables {
		for _, e := range c.rows {
			addDecodedRow(next, e.current(now))
		}
	}
	if next.Desired == nil || before.Desired != nil && next.Desired.Version < before.Desired.Version {
		next.Desired = before.Desired
	}
	next.KeysWereRequired = before.KeysWereRequired || next.Desired != nil && next.Desired.RequiresKeys
	next.BuildIndexAfter(before)
	w.view.Store(next)
	return before, next
}

// addDecodedRow adds a decoded row to a view that is not yet published.
func addDecodedRow(view *site.View, decoded DecodedRow) {
	switch {
	case decoded.Desired != nil:
		view.Desired = decoded.Desired
	case decoded.Server != nil:
		view.Servers[decoded.Server.ID] = decoded.Server
	case decoded.Host != nil:
		view.Hosts[decoded.Host.Name] = decoded.Host
	case decoded.Version > 0:
		view.Versions[decoded.Adapter] = decoded.Version
	}
}
