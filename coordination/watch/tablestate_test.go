package watch

import (
	"context"
	"fmt"
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

// TestDeletionBeforeStartOfOwner guards against a host that goes on using a server whose
// row was deleted before the owner that it follows read the table for the first time.
func TestDeletionBeforeStartOfOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		caches, stop := startCaches(3)
		defer stop()
		follower, started, next := caches[0], caches[1], caches[2]
		enqueue(follower, serverTable(5, serverRow("kept", 4), serverRow("deleted", 5)), StoreSource)
		enqueue(started, serverTable(7, serverRow("kept", 4)), StoreSource)
		follow(follower, started)
		c.Check(follower.View().Servers, quicktest.HasLen, 1)
		// The host knows the deletion now and passes it on as an owner itself.
		enqueue(next, serverTable(6, serverRow("kept", 4), serverRow("deleted", 5)), StoreSource)
		follow(next, follower)
		c.Check(next.View().Servers, quicktest.HasLen, 1)
	})
}

// TestDeletionWhileHistoryIsGone guards against a host that goes on using a server whose row
// was deleted in a span for which the store discarded its history, so that its owner read
// the whole table again.
func TestDeletionWhileHistoryIsGone(t *testing.T) {
	for _, test := range []struct {
		name string
		// known is the position of the host when the owner reads the table again.
		known site.Position
	}{
		{"host is behind the owner", 5},
		{"host is in step with the owner", 6},
		{"host is ahead of the owner's last reading", 7},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				caches, stop := startCaches(2)
				defer stop()
				follower, owner := caches[0], caches[1]
				rows := []site.Row{serverRow("kept", 4), serverRow("deleted", 5)}
				enqueue(owner, serverTable(6, rows...), StoreSource)
				enqueue(follower, serverTable(test.known, rows...), StoreSource)
				enqueue(owner, serverTable(9, serverRow("kept", 4)), StoreSource)
				follow(follower, owner)
				c.Check(follower.View().Servers, quicktest.HasLen, 1)
			})
		})
	}
}

// TestWholeTableHasNoValuesThatAreKnown guards against hosts that get all values of a large
// table again when their owner restarts, and against values that are left out although they
// are not known.
func TestWholeTableHasNoValuesThatAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		caches, stop := startCaches(3)
		defer stop()
		follower, started, fresh := caches[0], caches[1], caches[2]
		enqueue(follower, serverTable(5, serverRow("old", 4), serverRow("changed", 5)), StoreSource)
		enqueue(started, serverTable(8, serverRow("old", 4), serverRow("changed", 7), serverRow("new", 8)), StoreSource)
		for _, row := range follow(follower, started).Rows {
			c.Check(len(row.Value) > 0, quicktest.Equals, row.Key != "old", quicktest.Commentf("%s", row.Key))
		}
		c.Check(follower.View().Servers, quicktest.HasLen, 3)
		for _, row := range follow(fresh, started).Rows {
			c.Check(len(row.Value) > 0, quicktest.IsTrue, quicktest.Commentf("%s", row.Key))
		}
		c.Check(fresh.View().Servers, quicktest.HasLen, 3)
	})
}

// TestWholeTableIsSentOnce guards against an owner that sends the whole table with each
// reply after its start.
func TestWholeTableIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		caches, stop := startCaches(2)
		defer stop()
		follower, started := caches[0], caches[1]
		enqueue(follower, serverTable(5, serverRow("a", 4)), StoreSource)
		enqueue(started, serverTable(7, serverRow("a", 4)), StoreSource)
		c.Check(follow(follower, started).FullTable, quicktest.IsTrue)
		c.Check(follow(follower, started).FullTable, quicktest.IsFalse)
		enqueue(started, site.Changes{Table: "servers", CompleteThrough: 9, Rows: []site.Row{{Key: "a", Position: 8, Deleted: true}}}, StoreSource)
		time.Sleep(time.Second)
		c.Check(follow(follower, started).FullTable, quicktest.IsFalse)
		c.Check(follower.View().Servers, quicktest.HasLen, 0)
	})
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

// TestRereadingOwnerSendsChangesOnly guards against an owner that sends a whole table again and
// again while the store drops its history and each of its readings is a whole one.
func TestRereadingOwnerSendsChangesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		caches, stop := startCaches(2)
		defer stop()
		follower, owner := caches[0], caches[1]
		rows := []site.Row{serverRow("kept", 4)}
		enqueue(owner, serverTable(10, rows...), StoreSource)
		follow(follower, owner)
		for position := site.Position(20); position < 300; position += 10 {
			// Each reading lacks the server of the one before and has another one.
			enqueue(owner, serverTable(position, append(rows, serverRow(fmt.Sprint(position), position-5))...), StoreSource)
			if position%20 == 0 {
				changes := follow(follower, owner)
				c.Check(changes.FullTable, quicktest.IsFalse)
				c.Check(len(changes.Rows) <= 4, quicktest.IsTrue, quicktest.Commentf("%d rows", len(changes.Rows)))
				c.Check(follower.View().Servers, quicktest.HasLen, 2)
			}
		}
	})
}

// TestGapIsPassedOn guards against a host that became an owner and does not know that the one
// which it followed may have missed deletions.
func TestGapIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		caches, stop := startCaches(3)
		defer stop()
		ahead, next, owner := caches[0], caches[1], caches[2]
		enqueue(owner, serverTable(6, serverRow("kept", 4)), StoreSource)
		follow(next, owner)
		// This host reads the store itself, and sees a server that is deleted before the
		// owner reads the table again.
		enqueue(ahead, serverTable(8, serverRow("kept", 4), serverRow("deleted", 7)), StoreSource)
		enqueue(owner, serverTable(10, serverRow("kept", 4)), StoreSource)
		c.Check(follow(next, owner).FullTable, quicktest.IsFalse)
		follow(ahead, next)
		c.Check(ahead.View().Servers, quicktest.HasLen, 1)
	})
}

// TestGapsAreBounded guards against a table whose gaps grow without a bound, and against one
// that forgets a gap.
func TestGapsAreBounded(t *testing.T) {
	c := quicktest.New(t)
	table := &tableState{}
	for i := range site.Position(100) {
		table.addGap(site.Gap{After: 10 * i, Until: 10*i + 5})
	}
	c.Check(len(table.gaps) <= maxGaps, quicktest.IsTrue)
	for i := range site.Position(100) {
		c.Check(table.isInGap(10*i+2), quicktest.IsTrue)
	}
	c.Check(table.isInGap(998), quicktest.IsFalse)
	c.Check(table.gapAfter(985), quicktest.Equals, site.Gap{After: 990, Until: 995})
	table.addGap(site.Gap{After: 2000, Until: 2001})
	c.Check(table.gapAfter(1000), quicktest.Equals, site.Gap{})
}
