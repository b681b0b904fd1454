package watch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// restored returns a position in the second history of the store.
func restored(transaction uint64) site.Position {
	return table.NewVersion(1, transaction)
}

// operatorTable returns a read of the whole table of operators with one desired state.
func operatorTable(completeThrough site.Position, version byte) site.Changes {
	return site.Changes{Table: "op", FullTable: true, CompleteThrough: completeThrough, Rows: []site.Row{
		{Key: "config", Value: []byte{version}, Position: completeThrough},
	}}
}

// withCaches runs a test with caches in virtual time.
func withCaches(t *testing.T, count int, test func(c *quicktest.C, caches []*Cache)) {
	synctest.Test(t, func(t *testing.T) {
		caches, stop := startCaches(count)
		defer stop()
		test(quicktest.New(t), caches)
	})
}

// desiredVersion returns the version of the desired state in force.
func desiredVersion(w *Cache) int64 { return w.View().Desired.Version }

// TestRestoredStoreChangesTheView guards against hosts that keep the rows of a history which
// the store has lost and drop all changes of the new one, because its positions are lower.
func TestRestoredStoreChangesTheView(t *testing.T) {
	withCaches(t, 1, func(c *quicktest.C, caches []*Cache) {
		w := caches[0]
		enqueue(w, operatorTable(160, 16), StoreSource)
		enqueue(w, serverTable(160, serverRow("kept", 90), serverRow("gone", 150)), StoreSource)
		enqueue(w, operatorTable(restored(101), 18), StoreSource)
		c.Check(desiredVersion(w), quicktest.Equals, int64(18))
		enqueue(w, serverTable(restored(102), serverRow("kept", restored(90))), StoreSource)
		enqueue(w, site.Changes{Table: "servers", CompleteThrough: restored(103), Rows: []site.Row{serverRow("new", restored(103))}}, StoreSource)
		time.Sleep(expiredServerGracePeriod + time.Millisecond)
		synctest.Wait()
		c.Check(w.View().Servers, quicktest.HasLen, 2)
		c.Check(w.View().Servers["new"], quicktest.IsNotNil)
		// An answer of the lost history arrives late.
		enqueue(w, operatorTable(170, 20), StoreSource)
		enqueue(w, site.Changes{Table: "servers", CompleteThrough: 171, Rows: []site.Row{serverRow("gone", 171)}}, StoreSource)
		c.Check(desiredVersion(w), quicktest.Equals, int64(18))
		c.Check(w.View().Servers, quicktest.HasLen, 2)
	})
}

// TestPartOfNewHistoryIsNotMixedWithTheOld guards against a table with rows of two histories,
// when changes of a new one arrive at a host that has not read it as a whole.
func TestPartOfNewHistoryIsNotMixedWithTheOld(t *testing.T) {
	withCaches(t, 1, func(c *quicktest.C, caches []*Cache) {
		w := caches[0]
		enqueue(w, serverTable(160, serverRow("old", 150)), StoreSource)
		enqueue(w, site.Changes{Table: "servers", CompleteThrough: restored(200), Rows: []site.Row{serverRow("new", restored(199))}}, StoreSource)
		c.Check(w.Position("servers"), quicktest.Equals, site.Position(160))
		c.Check(w.View().Servers["new"], quicktest.IsNil)
	})
}

// TestHostsOfTwoHistories guards against a host that undoes another one's tables because the
// two know different histories of the store, in either direction.
func TestHostsOfTwoHistories(t *testing.T) {
	withCaches(t, 2, func(c *quicktest.C, caches []*Cache) {
		late, current := caches[0], caches[1]
		for _, w := range caches {
			enqueue(w, operatorTable(160, 16), StoreSource)
			enqueue(w, serverTable(160, serverRow("left", 150)), StoreSource)
		}
		enqueue(current, operatorTable(restored(161), 18), StoreSource)
		enqueue(current, serverTable(restored(161), serverRow("came", restored(160))), StoreSource)
		time.Sleep(hostGracePeriod)
		follow(current, late)
		c.Check(desiredVersion(current), quicktest.Equals, int64(18))
		c.Check(current.Position("servers"), quicktest.Equals, restored(161))
		changes := follow(late, current)
		c.Check(changes.FullTable, quicktest.IsTrue)
		for _, row := range changes.Rows {
			c.Check(len(row.Value) > 0, quicktest.IsTrue, quicktest.Commentf("%s has no value", row.Key))
		}
		c.Check(desiredVersion(late), quicktest.Equals, int64(18))
		time.Sleep(expiredServerGracePeriod + time.Millisecond)
		synctest.Wait()
		c.Check(late.View().Servers, quicktest.HasLen, 1)
		c.Check(late.View().Servers["came"], quicktest.IsNotNil)
	})
}

// TestCopyDoesNotBringServersBack guards against requests to servers that have left, because
// the copy that the store has come back from is from before.
func TestCopyDoesNotBringServersBack(t *testing.T) {
	draining := site.Row{Key: "leaves", Value: []byte(site.Draining), Position: 155}
	deleted := site.Row{Key: "gone", Position: 156, Deleted: true}
	withCaches(t, 1, func(c *quicktest.C, caches []*Cache) {
		w := caches[0]
		enqueue(w, serverTable(150, serverRow("kept", 90), serverRow("leaves", 91), serverRow("gone", 92)), StoreSource)
		time.Sleep(time.Minute)
		enqueue(w, site.Changes{Table: "servers", CompleteThrough: 156, Rows: []site.Row{draining, deleted}}, StoreSource)
		enqueue(w, serverTable(restored(101), serverRow("kept", restored(90)), serverRow("leaves", restored(91)), serverRow("gone", restored(92))), StoreSource)
		c.Check(w.View().Servers["kept"].State, quicktest.Equals, site.Ready)
		c.Check(w.View().Servers["leaves"].State, quicktest.Equals, site.Draining)
		c.Check(w.View().Servers["gone"], quicktest.IsNil)
		// A server that writes its row again is there.
		enqueue(w, site.Changes{Table: "servers", CompleteThrough: restored(102), Rows: []site.Row{serverRow("gone", restored(102))}}, StoreSource)
		c.Check(w.View().Servers["gone"], quicktest.IsNotNil)
	})
}

// TestRowsThatAreWrittenAgainStayInUse guards against hosts that refuse requests because they
// take the older rows of a copy, or rows that it lacks, for the newest word.
func TestRowsThatAreWrittenAgainStayInUse(t *testing.T) {
	withCaches(t, 1, func(c *quicktest.C, caches []*Cache) {
		w := caches[0]
		enqueue(w, operatorTable(160, 16), StoreSource)
		enqueue(w, serverTable(160, serverRow("new", 150)), StoreSource)
		enqueue(w, operatorTable(restored(101), 12), StoreSource)
		enqueue(w, serverTable(restored(101)), StoreSource)
		c.Check(desiredVersion(w), quicktest.Equals, int64(16))
		c.Check(w.View().Servers["new"], quicktest.IsNotNil)
		enqueue(w, site.Changes{Table: "servers", CompleteThrough: restored(102), Rows: []site.Row{serverRow("new", restored(102))}}, StoreSource)
		enqueue(w, site.Changes{Table: "op", FullTable: true, CompleteThrough: restored(103)}, StoreSource)
		time.Sleep(time.Minute)
		c.Check(desiredVersion(w), quicktest.Equals, int64(16))
		c.Check(w.View().Servers["new"], quicktest.IsNotNil)
	})
}
