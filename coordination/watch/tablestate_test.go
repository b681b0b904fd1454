package watch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// serverRow returns the row of a server that takes requests.
func serverRow(id string, position site.Position) site.Row {
	return site.Row{Key: id, Value: []byte(site.Ready), Position: position}
}

// serverTable returns a read of the whole table of servers.
func serverTable(completeThrough site.Position, rows ...site.Row) site.Changes {
	return site.Changes{Table: "servers", FullTable: true, CompleteThrough: completeThrough, Rows: rows}
}

// enqueue applies changes and waits until that is done.
func enqueue(w *Cache, changes site.Changes, source string) {
	w.Enqueue(changes, source)
	synctest.Wait()
}

// follow applies to a host what an owner has for its positions, and returns the changes of
// the table of servers among it.
func follow(w, owner *Cache) site.Changes {
	var servers site.Changes
	for _, changes := range owner.ChangesSince(w.Positions()) {
		enqueue(w, changes, "owner")
		if changes.Table == "servers" {
			servers = changes
		}
	}
	return servers
}

// startCaches runs caches until the end of a test, which calls stop.
func startCaches(count int) (caches []*Cache, stop func()) {
	for range count {
		w := newTestCache()
		go w.Run(context.Background())
		caches = append(caches, w)
	}
	return caches, func() {
		for _, w := range caches {
			_ = w.Close()
		}
	}
}

// TestHostFarBehindKeepsUnchangedRows guards against a host that was out of touch for
// longer than tombstones are kept and then drops every server that has not changed since.
func TestHostFarBehindKeepsUnchangedRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		caches, stop := startCaches(2)
		defer stop()
		follower, owner := caches[0], caches[1]
		rows := []site.Row{serverRow("kept", 4), serverRow("deleted", 5)}
		enqueue(follower, serverTable(5, rows...), StoreSource)
		enqueue(owner, serverTable(5, rows...), StoreSource)
		enqueue(owner, site.Changes{Table: "servers", CompleteThrough: 6, Rows: []site.Row{{Key: "deleted", Position: 6, Deleted: true}}}, StoreSource)
		time.Sleep(2 * tombstoneRetentionTime)
		synctest.Wait()
		follow(follower, owner)
		c.Check(follower.View().Servers, quicktest.HasLen, 1)
	})
}
