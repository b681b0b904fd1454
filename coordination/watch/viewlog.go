package watch

import (
	"maps"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// logDesired logs a new desired state, the host it came from and how old the table
// had become before it came.
func (w *Cache) logDesired(before, next *site.View, source string, age time.Duration) {
	if next.Desired == nil || before.Desired != nil && before.Desired.Version == next.Desired.Version {
		return
	}
	if !next.Desired.RequiresKeys && before.Desired != nil && before.Desired.RequiresKeys {
		w.Log.Warn().Int64("version", next.Desired.Version).Int64("version-before", before.Desired.Version).
			Msg("desired state has no organisations any more: requests need no key")
	}
	w.Log.Info().Int64("version", next.Desired.Version).Int("routes", len(next.Desired.Routes)).
		Int("organisations", len(next.Desired.Organisations)).Int("keys", next.KeyCount()).Str("source", source).Dur("table-age", age).Msg("desired state in force")
}

// logChanges logs how the servers, owners and adapter versions of two successive
// views differ.
func (w *Cache) logChanges(before, next *site.View) {
	for id, server := range next.Servers {
		known := before.Servers[id]
		if known == nil || known.State != server.State || known.StartUnixMilli != server.StartUnixMilli {
			w.Log.Info().Str("server", string(id)).Str("service", string(server.Service)).
				Str("state", string(server.State)).Int64("born", server.StartUnixMilli).Msg("server announced")
		}
	}
	for id := range before.Servers {
		if next.Servers[id] == nil {
			w.Log.Info().Str("server", string(id)).Msg("server is gone")
		}
	}
	for zone, host := range next.Owners {
		if known := before.Owners[zone]; known == nil || known.Name != host.Name || known.Start != host.Start {
			w.Log.Info().Str("zone", zone).Str("owner", host.Name).Uint64("epoch", host.OwnedZones[zone]).Msg("zone has a new owner")
		}
	}
	if len(before.Versions) != len(next.Versions) || !maps.Equal(before.Versions, next.Versions) {
		w.Log.Info().Int("declared", len(next.Versions)).Msg("adapter versions changed")
	}
}
