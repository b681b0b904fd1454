package claim

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// testLeadership is a Leadership that a test switches on and off. It starts switched off.
type testLeadership struct{ atomic.Bool }

func (l *testLeadership) IsLeader() bool { return l.Load() }

// putClaim inserts a claim made age ago for a request id created idAge ago, and returns
// its key.
func putClaim(c *quicktest.C, t *platform.Table, caller string, number uint64, age, idAge time.Duration) table.Key {
	now := time.Now()
	key := tableKey(booking.Key{Application: "enrolment", Caller: caller, Request: requestIDAt(now.Add(-idAge), number)})
	value, err := encodeClaim(booking.Claim{Token: "t", ClaimedAt: now.Add(-age)})
	c.Assert(err, quicktest.IsNil)
	_, err = t.Commit(context.Background(), table.Transaction{Writes: []table.Write{{Key: key, Value: value}}})
	c.Assert(err, quicktest.IsNil)
	return key
}

// TestCleanerRemovesExpiredOnly guards against claims that are never deleted, claims that
// are deleted while a retry may still arrive, and cleanup on a host that is not the
// leader. Table replies and requests are lost during the cleanup.
func TestCleanerRemovesExpiredOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		fakeTable := platform.NewTable(1)
		var kept []table.Key
		removed := make(map[table.Key]bool)
		for caller := range 4 {
			name := fmt.Sprintf("caller-%d", caller)
			for i := range uint64(30) {
				removed[putClaim(c, fakeTable, name, i, Lifetime+time.Hour, 26*time.Hour)] = true
				removed[putClaim(c, fakeTable, name, 100+i, Lifetime+time.Minute, Lifetime+time.Minute-MaxRequestIDClockSkew)] = true
				kept = append(kept, putClaim(c, fakeTable, name, 200+i, Lifetime-2*time.Hour, 26*time.Hour))
				kept = append(kept, putClaim(c, fakeTable, name, 300+i, time.Hour, time.Hour))
			}
		}
		leadership := &testLeadership{}
		cleaner := &Cleaner{Table: fakeTable, Leadership: leadership, Interval: 5 * time.Minute}
		done := make(chan error)
		go func() { done <- cleaner.Run(context.Background()) }()

		time.Sleep(10 * time.Minute)
		before, err := fakeTable.Scan(t.Context(), keyPrefix, "", 1e6)
		c.Assert(err, quicktest.IsNil)
		c.Assert(before, quicktest.HasLen, len(kept)+len(removed))

		leadership.Store(true)
		fakeTable.SetFaults(platform.TableFaults{LostReply: 0.2, LostRequest: 0.2})
		time.Sleep(30 * time.Minute)
		after, err := fakeTable.Scan(t.Context(), keyPrefix, "", 1e6)
		c.Assert(err, quicktest.IsNil)
		c.Assert(after, quicktest.HasLen, len(kept))
		for _, r := range after {
			c.Assert(removed[r.Key], quicktest.IsFalse, quicktest.Commentf("%s", r.Key))
		}

		fakeTable.SetFaults(platform.TableFaults{})
		time.Sleep(26 * time.Hour)
		after, err = fakeTable.Scan(t.Context(), keyPrefix, "", 1e6)
		c.Assert(err, quicktest.IsNil)
		c.Assert(after, quicktest.HasLen, 0)
		c.Assert(cleaner.Close(), quicktest.IsNil)
		c.Assert(<-done, quicktest.IsNil)
	})
}

// TestCleanerSkipsYoungClaims guards against a pass that reads all claims of a day. With
// 1000 young claims for each of 5 callers, a pass may read only one page of 10 for each
// caller.
func TestCleanerSkipsYoungClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		fakeTable := platform.NewTable(1)
		for caller := range 5 {
			for i := range uint64(1000) {
				putClaim(c, fakeTable, fmt.Sprintf("caller-%d", caller), i, time.Hour, time.Hour)
			}
		}
		leadership := &testLeadership{}
		leadership.Store(true)
		cleaner := &Cleaner{Table: fakeTable, Leadership: leadership, PageLimit: 10}
		done := make(chan error)
		go func() { done <- cleaner.Run(context.Background()) }()
		time.Sleep(time.Minute + 30*time.Second)
		_, reads := fakeTable.OperationCounts()
		c.Assert(reads, quicktest.Equals, uint64(50))
		c.Assert(cleaner.Close(), quicktest.IsNil)
		c.Assert(<-done, quicktest.IsNil)
	})
}

// replacingTable is a table in which another host replaces claims right after each scan.
type replacingTable struct {
	*platform.Table
	replace func(records []table.Record)
}

func (r *replacingTable) Scan(ctx context.Context, prefix, after table.Key, limit int) ([]table.Record, error) {
	records, err := r.Table.Scan(ctx, prefix, after, limit)
	r.replace(records)
	return records, err
}

// TestCleanerDeletesConditionally guards against the deletion of a new claim that
// replaced the expired record after the cleaner read it.
func TestCleanerDeletesConditionally(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		fakeTable := platform.NewTable(1)
		putClaim(c, fakeTable, "caller", 1, Lifetime+time.Hour, 26*time.Hour)
		leadership := &testLeadership{}
		leadership.Store(true)
		cleaner := &Cleaner{Leadership: leadership, Table: &replacingTable{Table: fakeTable, replace: func(records []table.Record) {
			for _, r := range records {
				value, err := encodeClaim(booking.Claim{Token: "other", ClaimedAt: time.Now()})
				c.Check(err, quicktest.IsNil)
				_, err = fakeTable.Commit(context.Background(), table.Transaction{Writes: []table.Write{{Key: r.Key, Expected: r.Version, Value: value}}})
				c.Check(err, quicktest.IsNil)
			}
		}}}
		done := make(chan error)
		go func() { done <- cleaner.Run(context.Background()) }()
		time.Sleep(5 * time.Minute)
		after, err := fakeTable.Scan(t.Context(), keyPrefix, "", 10)
		c.Assert(err, quicktest.IsNil)
		c.Assert(after, quicktest.HasLen, 1)
		c.Assert(cleaner.Close(), quicktest.IsNil)
		c.Assert(<-done, quicktest.IsNil)
	})
}
