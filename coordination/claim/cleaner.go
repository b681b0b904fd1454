package claim

import (
	"cmp"
	"context"
	"strings"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// A ScanTable is the part of the platform's table that a Cleaner uses.
type ScanTable interface {
	// Scan returns up to limit records whose keys have the prefix and sort after
	// the given key, in rising order.
	Scan(ctx context.Context, prefix, after table.Key, limit int) ([]table.Record, error)
	// Commit carries out a transaction.
	Commit(ctx context.Context, transaction table.Transaction) ([]table.WriteResult, error)
}

// A Leadership says whether this host may clean up now, usually because it holds
// the lease claim-cleanup. Two cleaners at once are safe but waste table reads.
type Leadership interface {
	IsLeader() bool
}

// A Cleaner is a duty that removes claims older than Lifetime. Its fields are
// set before Run and not changed afterwards.
type Cleaner struct {
	// Table keeps the claims.
	Table ScanTable
	// Leadership is asked before each page.
	Leadership Leadership
	// Interval is the pause between passes; default 1 min.
	Interval time.Duration
	// PageLimit is the most records that are read at once; default 64, which
	// bounds a page to about 6 MiB of recorded answers.
	PageLimit int
	// PagePause is the pause between pages of a pass. The default of 250 ms
	// keeps a pass below 256 of the table's 2,000 reads per second.
	PagePause time.Duration
	// PageTimeout is the longest time for one page; default 5 s.
	PageTimeout time.Duration

	lifecycle duty.Lifecycle
}

// A page is the result of one step of a pass.
type page struct {
	// after is where the next page starts; it is empty at the end of the pass.
	after table.Key
	err   error
}

// Run removes expired claims until ctx ends or Close is called.
func (c *Cleaner) Run(ctx context.Context) error {
	return c.lifecycle.Run(ctx, c.loop)
}

// Close ends the Cleaner and waits until Run has returned.
func (c *Cleaner) Close() error {
	return c.lifecycle.Close()
}

func (c *Cleaner) loop(ctx context.Context) error {
	pages := ring.New[page](1)
	interval, pause := cmp.Or(c.Interval, time.Minute), cmp.Or(c.PagePause, 250*time.Millisecond)
	timer := time.NewTimer(interval)
	defer timer.Stop()
	var after table.Key
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			if !c.Leadership.IsLeader() {
				after = ""
				timer.Reset(interval)
				continue
			}
			from := after
			c.lifecycle.Go(func() { pages.Offer(c.clean(ctx, from)) })
		case done := <-pages.Messages():
			after = done.after
			if done.err != nil || done.after == "" {
				timer.Reset(interval)
				continue
			}
			timer.Reset(pause)
		}
	}
}

// clean removes the expired claims of one page. A page that fails is done again
// by the next pass.
func (c *Cleaner) clean(ctx context.Context, after table.Key) page {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.PageTimeout, 5*time.Second))
	defer cancel()
	limit := cmp.Or(c.PageLimit, defaultGroupLimit)
	records, err := c.Table.Scan(ctx, keyPrefix, after, limit)
	if err != nil {
		return page{err: err}
	}
	expired, next := selectExpired(records, time.Now())
	if len(records) < limit && !strings.HasSuffix(string(next), afterCaller) {
		next = ""
	}
	if len(expired) == 0 {
		return page{after: next}
	}
	_, err = c.Table.Commit(ctx, table.Transaction{Writes: expired, Independent: true})
	return page{after: next, err: err}
}

// afterCaller ends a key that sorts after all request ids of one caller.
const afterCaller = "/~"

// selectExpired returns the conditional deletes for the expired records of a
// page, and the key after which the next page starts. Request ids sort by time,
// so the rest of a caller's claims is skipped at the first id that is too young
// to have an expired claim; a pass then costs reads for callers and expired
// claims, and not for all claims of a day.
func selectExpired(records []table.Record, now time.Time) ([]table.Write, table.Key) {
	var expired []table.Write
	var next, skip table.Key
	for _, r := range records {
		next = r.Key
		if skip != "" && r.Key < skip {
			continue
		}
		skip = ""
		decoded, err := decodeRecord(r)
		if err == nil && now.Sub(decoded.claim.ClaimedAt) > Lifetime {
			expired = append(expired, table.Write{Key: r.Key, Expected: r.Version, Delete: true})
			continue
		}
		split := strings.LastIndexByte(string(r.Key), '/')
		made, ok := identifierTime(fleet.RequestID(r.Key[split+1:]))
		if ok && now.Sub(made) < Lifetime-MaxRequestIDClockSkew {
			skip = r.Key[:split] + afterCaller
			next = skip
		}
	}
	if skip != "" {
		next = skip
	}
	return expired, next
}
