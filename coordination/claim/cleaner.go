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

// ScanTable is the part of the platform's table that a Cleaner uses.
type ScanTable interface {
	// Scan returns up to limit records, in ascending order, whose keys have the prefix
	// and sort after the given key.
	Scan(ctx context.Context, prefix, after table.Key, limit int) ([]table.Record, error)
	// Commit executes a transaction.
	Commit(ctx context.Context, transaction table.Transaction) ([]table.WriteResult, error)
}

// Leadership reports whether this host may clean up at the moment, usually because it
// holds the lease claim-cleanup. Two hosts that clean up at once do no harm but waste
// table reads.
type Leadership interface {
	IsLeader() bool
}

// Cleaner is a duty that deletes claims older than Lifetime from the table. Its fields
// are set before Run and not changed afterwards.
type Cleaner struct {
	// Table stores the claims.
	Table ScanTable
	// Leadership is checked before each page.
	Leadership Leadership
	// Interval is the delay between passes over the table; default 1 min.
	Interval time.Duration
	// PageLimit is the maximum number of records per scan. The default of 64 bounds a
	// page to about 6 MiB of recorded responses.
	PageLimit int
	// PageDelay is the delay between pages of a pass. The default of 250 ms keeps a pass
	// below 256 of the table's 2,000 reads per second.
	PageDelay time.Duration
	// PageTimeout is the time limit for the scan and the deletes of one page; default
	// 5 s.
	PageTimeout time.Duration

	lifecycle duty.Lifecycle
}

// pageResult is what a worker goroutine reports to the duty after one page.
type pageResult struct {
	// after is the key after which the next page starts; it is empty at the end of the
	// pass.
	after table.Key
	err   error
}

// Run deletes expired claims until ctx ends or Close is called. Errors of the table are
// not returned: the next pass tries again.
func (c *Cleaner) Run(ctx context.Context) error {
	return c.lifecycle.Run(ctx, c.loop)
}

// Close stops the Cleaner and waits until Run has returned.
func (c *Cleaner) Close() error {
	return c.lifecycle.Close()
}

func (c *Cleaner) loop(ctx context.Context) error {
	results := ring.New[pageResult](1)
	interval, pause := cmp.Or(c.Interval, time.Minute), cmp.Or(c.PageDelay, 250*time.Millisecond)
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
			c.lifecycle.Go(func() { results.Offer(c.cleanPage(ctx, from)) })
		case result := <-results.Messages():
			after = result.after
			if result.err != nil || result.after == "" {
				timer.Reset(interval)
				continue
			}
			timer.Reset(pause)
		}
	}
}

// cleanPage deletes the expired claims of the page that starts after the given key. An
// error ends the pass, and the next pass starts again at the first key.
func (c *Cleaner) cleanPage(ctx context.Context, after table.Key) pageResult {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.PageTimeout, 5*time.Second))
	defer cancel()
	limit := cmp.Or(c.PageLimit, defaultGroupWriteLimit)
	records, err := c.Table.Scan(ctx, keyPrefix, after, limit)
	if err != nil {
		return pageResult{err: err}
	}
	expired, next := selectExpired(records, time.Now())
	if len(records) < limit && !strings.HasSuffix(string(next), callerEndSuffix) {
		next = ""
	}
	if len(expired) == 0 {
		return pageResult{after: next}
	}
	_, err = c.Table.Commit(ctx, table.Transaction{Writes: expired, Independent: true})
	return pageResult{after: next, err: err}
}

// callerEndSuffix, appended to the key prefix of a caller, gives a key that sorts after
// all request ids of that caller.
const callerEndSuffix = "/~"

// selectExpired returns conditional deletes for the expired records of a page, and the
// key after which the next page starts. Request ids sort by time, so at the first id that
// is too young for its claim to have expired, the remaining claims of the same caller are
// skipped. A pass then reads in proportion to the number of callers and expired claims,
// and not to the number of all claims of a day.
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
		createdAt, ok := requestIDTime(fleet.RequestID(r.Key[split+1:]))
		if ok && now.Sub(createdAt) < Lifetime-MaxRequestIDClockSkew {
			skip = r.Key[:split] + callerEndSuffix
			next = skip
		}
	}
	if skip != "" {
		next = skip
	}
	return expired, next
}
