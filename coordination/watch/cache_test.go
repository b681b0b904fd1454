package watch

import (
	"bytes"
	"context"
	"runtime"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// TestViewNeverRevertsToOlderRows guards against a view that takes over rows that
// arrive late or come from a stale read, drops a desired state when a newer one
// cannot be decoded, or loses other rows because of one that cannot be decoded.
func TestViewNeverRevertsToOlderRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		w := newTestCache()
		go w.Run(context.Background())
		apply := func(changes site.Changes) {
			w.Enqueue(changes, StoreSource)
			synctest.Wait()
		}
		apply(site.Changes{Table: "op", CompleteThrough: 5, Rows: []site.Row{{Key: "config", Value: []byte{7}, Position: 5}}})
		apply(site.Changes{Table: "op", CompleteThrough: 3, Rows: []site.Row{{Key: "config", Value: []byte{6}, Position: 3}}})
		apply(site.Changes{Table: "op", FullTable: true, CompleteThrough: 4})
		c.Assert(w.View().Desired.Version, quicktest.Equals, int64(7))
		apply(site.Changes{Table: "op", CompleteThrough: 8, Rows: []site.Row{{Key: "config", Position: 8}}})
		c.Assert(w.View().Desired.Version, quicktest.Equals, int64(7))
		apply(site.Changes{Table: "servers", CompleteThrough: 9, Rows: []site.Row{
			{Key: "bad", Position: 9}, {Key: "good", Value: []byte("ready"), Position: 9},
		}})
		c.Assert(w.View().Servers, quicktest.HasLen, 1)
		c.Assert(w.Close(), quicktest.IsNil)
	})
}

// TestExpiredServerStaysUsableAfterOutage guards against servers that are dropped
// because their rows expired while the store was unavailable, and against expired
// servers that stay usable for good.
func TestExpiredServerStaysUsableAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		w := newTestCache()
		go w.Run(context.Background())
		row := site.Row{Key: "server", Value: []byte("ready"), Position: 1}
		w.Enqueue(site.Changes{Table: "servers", CompleteThrough: 1, Rows: []site.Row{row}}, StoreSource)
		synctest.Wait()
		w.RecordOutage()
		w.Enqueue(site.Changes{Table: "servers", CompleteThrough: 2, Rows: []site.Row{{Key: "server", Position: 2, Deleted: true}}}, StoreSource)
		synctest.Wait()
		c.Assert(w.View().Servers, quicktest.HasLen, 1)
		time.Sleep(expiredServerGracePeriod + time.Millisecond)
		synctest.Wait()
		c.Assert(w.View().Servers, quicktest.HasLen, 0)
		time.Sleep(2 * postOutageWindow)
		row.Position = 3
		w.Enqueue(site.Changes{Table: "servers", CompleteThrough: 3, Rows: []site.Row{row}}, StoreSource)
		w.Enqueue(site.Changes{Table: "servers", CompleteThrough: 4, Rows: []site.Row{{Key: "server", Position: 4, Deleted: true}}}, StoreSource)
		synctest.Wait()
		c.Assert(w.View().Servers, quicktest.HasLen, 0)
		c.Assert(w.Close(), quicktest.IsNil)
	})
}

// TestDesiredStateLogNamesSourceAndAge guards against a log from which a late
// change of the desired state cannot be explained: it shows how old the table of
// the desired state had become, not how recently any table was read.
func TestDesiredStateLogNamesSourceAndAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		var output bytes.Buffer
		w := newTestCache()
		w.Log = zerolog.New(&output)
		go w.Run(context.Background())
		w.Enqueue(site.Changes{Table: "op", FullTable: true, CompleteThrough: 1, Rows: []site.Row{{Key: "config", Value: []byte{1}, Position: 1}}}, StoreSource)
		time.Sleep(3 * time.Second)
		w.Enqueue(site.Changes{Table: "servers", CompleteThrough: 2}, StoreSource)
		synctest.Wait()
		output.Reset()
		w.Enqueue(site.Changes{Table: "op", CompleteThrough: 2, Rows: []site.Row{{Key: "config", Value: []byte{2}, Position: 2}}, Age: time.Second}, "owner")
		synctest.Wait()
		c.Check(output.String(), quicktest.Contains, `"source":"owner","table-age":3000`)
		c.Check(w.TableAge("op"), quicktest.Equals, time.Second)
		c.Check(w.TableAge("servers"), quicktest.Equals, time.Duration(0))
		c.Assert(w.Close(), quicktest.IsNil)
	})
}

// BenchmarkReplyWithoutChanges measures what a reply without changes costs a host that
// knows 12,000 servers. A host gets about ten such changes a second.
func BenchmarkReplyWithoutChanges(b *testing.B) {
	w := newTestCache()
	servers := site.Changes{Table: "servers", FullTable: true, CompleteThrough: 1}
	for i := range 12_000 {
		servers.Rows = append(servers.Rows, site.Row{Key: strconv.Itoa(i), Value: []byte("ready"), Position: 1})
	}
	w.Enqueue(servers, StoreSource)
	ctx, cancel := context.WithCancel(context.Background())
	go w.Run(ctx)
	for b.Loop() {
		for !w.Enqueue(site.Changes{Table: "servers", CompleteThrough: 1}, StoreSource) {
			runtime.Gosched()
		}
	}
	cancel()
	_ = w.Close()
}

// TestFollowerLearnsAgeOfUnchangedTables guards against a host that takes a table
// for stale, or for fresh, because the reply of an owner only lists tables with
// changes.
func TestFollowerLearnsAgeOfUnchangedTables(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		owner, follower := newTestCache(), newTestCache()
		go owner.Run(context.Background())
		go follower.Run(context.Background())
		full := site.Changes{Table: "op", FullTable: true, CompleteThrough: 1, Rows: []site.Row{{Key: "config", Value: []byte{1}, Position: 1}}}
		owner.Enqueue(full, StoreSource)
		follower.Enqueue(full, StoreSource)
		owner.Enqueue(site.Changes{Table: "servers", CompleteThrough: 5}, StoreSource)
		time.Sleep(3 * time.Second)
		owner.Enqueue(site.Changes{Table: "op", CompleteThrough: 1}, StoreSource)
		time.Sleep(time.Second)
		changes := owner.ChangesSince(follower.Positions())
		c.Assert(changes, quicktest.DeepEquals, []site.Changes{{Table: "op", CompleteThrough: 1, Age: time.Second}})
		follower.Enqueue(changes[0], "owner")
		synctest.Wait()
		c.Check(follower.TableAge("op"), quicktest.Equals, time.Second)
		c.Check(follower.TableAge("servers") >= time.Hour, quicktest.IsTrue)
		c.Assert(owner.Close(), quicktest.IsNil)
		c.Assert(follower.Close(), quicktest.IsNil)
	})
}

// TestServerThatLeavesAfterOutageIsGone guards against requests to a server that left some seconds
// after an outage of the store, because its deletion counts as an expiry.
func TestServerThatLeavesAfterOutageIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		w := newTestCache()
		go w.Run(context.Background())
		enqueue(w, serverTable(1, serverRow("server", 1)), StoreSource)
		w.RecordOutage()
		time.Sleep(postOutageWindow - 500*time.Millisecond)
		enqueue(w, site.Changes{Table: "servers", CompleteThrough: 2, Rows: []site.Row{{Key: "server", Position: 2, Deleted: true}}}, StoreSource)
		time.Sleep(501 * time.Millisecond)
		synctest.Wait()
		c.Check(w.View().Servers, quicktest.HasLen, 0)
		c.Assert(w.Close(), quicktest.IsNil)
	})
}

// TestConfirmedTableIsInTheView guards against a table that counts as confirmed up to a
// position while the view still lacks the rows before it.
func TestConfirmedTableIsInTheView(t *testing.T) {
	c := quicktest.New(t)
	w := newTestCache()
	go w.Run(context.Background())
	var servers []site.Row
	for n := range 2000 {
		servers = append(servers, site.Row{Key: strconv.Itoa(n), Value: []byte("ready"), Position: 1})
	}
	c.Assert(w.Apply(context.Background(), site.Changes{Table: "servers", CompleteThrough: 1, Rows: servers}, StoreSource), quicktest.IsNil)
	for version := byte(1); version <= 50; version++ {
		position := site.Position(version)
		c.Assert(w.Enqueue(site.Changes{Table: "op", CompleteThrough: position, Rows: []site.Row{{Key: "config", Value: []byte{version}, Position: position}}}, StoreSource), quicktest.IsTrue)
		for w.Position("op") < position {
			runtime.Gosched()
		}
		c.Assert(w.View().Desired, quicktest.IsNotNil)
		c.Assert(w.View().Desired.Version, quicktest.Equals, int64(version))
	}
	c.Assert(w.Close(), quicktest.IsNil)
}
