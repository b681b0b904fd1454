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

// A permit that a test sets.
type permit struct{ atomic.Bool }

func (p *permit) IsLeader() bool { return p.Load() }

// put writes a claim as old as age, whose id is as old as idAge.
func put(c *quicktest.C, t *platform.Table, caller string, number uint64, age, idAge time.Duration) table.Key {
	now := time.Now()
	key := tableKey(booking.Key{Application: "enrolment", Caller: caller, Request: identifierAt(now.Add(-idAge), number)})
	value, err := encodeClaim(booking.Claim{Token: "t", ClaimedAt: now.Add(-age)})
	c.Assert(err, quicktest.IsNil)
	_, err = t.Commit(context.Background(), table.Transaction{Writes: []table.Write{{Key: key, Value: value}}})
	c.Assert(err, quicktest.IsNil)
	return key
}

// TestCleanerRemovesExpiredOnly guards against claims that stay for good, claims
// that are removed while a retry may still arrive, and a clean-up without permit.
func TestCleanerRemovesExpiredOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		standin := platform.NewTable(1)
		var kept []table.Key
		removed := make(map[table.Key]bool)
		for caller := range 4 {
			name := fmt.Sprintf("caller-%d", caller)
			for i := range uint64(30) {
				removed[put(c, standin, name, i, Lifetime+time.Hour, 26*time.Hour)] = true
				removed[put(c, standin, name, 100+i, Lifetime+time.Minute, Lifetime+time.Minute-MaxRequestIDClockSkew)] = true
				kept = append(kept, put(c, standin, name, 200+i, Lifetime-2*time.Hour, 26*time.Hour))
				kept = append(kept, put(c, standin, name, 300+i, time.Hour, time.Hour))
			}
		}
		p := &permit{}
		cleaner := &Cleaner{Table: standin, Leadership: p, Interval: 5 * time.Minute}
		done := make(chan error)
		go func() { done <- cleaner.Run(context.Background()) }()

		time.Sleep(10 * time.Minute)
		before, err := standin.Scan(t.Context(), keyPrefix, "", 1e6)
		c.Assert(err, quicktest.IsNil)
		c.Assert(before, quicktest.HasLen, len(kept)+len(removed))

		p.Store(true)
		standin.SetFaults(platform.TableFaults{LostReply: 0.2, LostRequest: 0.2})
		time.Sleep(30 * time.Minute)
		after, err := standin.Scan(t.Context(), keyPrefix, "", 1e6)
		c.Assert(err, quicktest.IsNil)
		c.Assert(after, quicktest.HasLen, len(kept))
		for _, r := range after {
			c.Assert(removed[r.Key], quicktest.IsFalse, quicktest.Commentf("%s", r.Key))
		}

		standin.SetFaults(platform.TableFaults{})
		time.Sleep(26 * time.Hour)
		after, err = standin.Scan(t.Context(), keyPrefix, "", 1e6)
		c.Assert(err, quicktest.IsNil)
		c.Assert(after, quicktest.HasLen, 0)
		c.Assert(cleaner.Close(), quicktest.IsNil)
		c.Assert(<-done, quicktest.IsNil)
	})
}

// TestCleanerSkipsYoungClaims guards against a pass that reads all claims of a day.
func TestCleanerSkipsYoungClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		standin := platform.NewTable(1)
		for caller := range 5 {
			for i := range uint64(1000) {
				put(c, standin, fmt.Sprintf("caller-%d", caller), i, time.Hour, time.Hour)
			}
		}
		p := &permit{}
		p.Store(true)
		cleaner := &Cleaner{Table: standin, Leadership: p, PageLimit: 10}
		done := make(chan error)
		go func() { done <- cleaner.Run(context.Background()) }()
		time.Sleep(time.Minute + 30*time.Second)
		_, reads := standin.OperationCounts()
		c.Assert(reads, quicktest.Equals, uint64(50))
		c.Assert(cleaner.Close(), quicktest.IsNil)
		c.Assert(<-done, quicktest.IsNil)
	})
}

// replacing is a table on which another host replaces a claim after the scan.
type replacing struct {
	*platform.Table
	replace func(records []table.Record)
}

func (r *replacing) Scan(ctx context.Context, prefix, after table.Key, limit int) ([]table.Record, error) {
	records, err := r.Table.Scan(ctx, prefix, after, limit)
	r.replace(records)
	return records, err
}

// TestCleanerDeletesConditionally guards against the removal of a claim that
// replaced the expired record after it was read.
func TestCleanerDeletesConditionally(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		standin := platform.NewTable(1)
		put(c, standin, "caller", 1, Lifetime+time.Hour, 26*time.Hour)
		p := &permit{}
		p.Store(true)
		cleaner := &Cleaner{Leadership: p, Table: &replacing{Table: standin, replace: func(records []table.Record) {
			for _, r := range records {
				value, err := encodeClaim(booking.Claim{Token: "other", ClaimedAt: time.Now()})
				c.Check(err, quicktest.IsNil)
				_, err = standin.Commit(context.Background(), table.Transaction{Writes: []table.Write{{Key: r.Key, Expected: r.Version, Value: value}}})
				c.Check(err, quicktest.IsNil)
			}
		}}}
		done := make(chan error)
		go func() { done <- cleaner.Run(context.Background()) }()
		time.Sleep(5 * time.Minute)
		after, err := standin.Scan(t.Context(), keyPrefix, "", 10)
		c.Assert(err, quicktest.IsNil)
		c.Assert(after, quicktest.HasLen, 1)
		c.Assert(cleaner.Close(), quicktest.IsNil)
		c.Assert(<-done, quicktest.IsNil)
	})
}
