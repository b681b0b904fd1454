// Package dailyreport counts how the requests of each host end, keeps the counts as
// records in the object store, where they survive the loss of a host, and
// evaluates the records of a day.
package dailyreport

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/dailyreport"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// The limits of a Recorder.
const (
	// putTimeout bounds one write. It is shorter than dailyreport.WriteInterval, so
	// that writes do not pile up when the store does not answer.
	putTimeout = 5 * time.Second
	// closeTimeout bounds the writes of Close, because a planned stop of the host
	// waits for them.
	closeTimeout = 10 * time.Second
	// defaultCapacity is the number of request outcomes that the ring holds.
	defaultCapacity = 8192
	// defaultBacklogLimit is the number of intervals that the backlog holds.
	defaultBacklogLimit = 60
)

// RecordStore stores records as objects.
type RecordStore interface {
	// Put creates or replaces the object. After an error the object may or may not
	// have been replaced.
	Put(ctx context.Context, key string, value []byte) error
}

// LiveHostSource provides the live hosts as the membership monitor sees them.
type LiveHostSource interface {
	// LiveHosts returns the live hosts of a failure domain, or of all failure
	// domains for an empty name.
	LiveHosts(domain fleet.FailureDomainName) []fleet.Host
}

// A Recorder counts how requests end and writes the records of its host. It runs as
// a duty and implements dispatch.Recorder. The exported fields are set before any
// method is called and not changed afterwards.
type Recorder struct {
	// Host identifies the process whose requests are counted.
	Host fleet.Host
	// Store receives the records.
	Store RecordStore
	// Members provides the other hosts that should have records, which the records
	// of this host name; nil means that they name none.
	Members LiveHostSource
	// Capacity is the most request outcomes that wait for the duty; 0 means 8192.
	Capacity int
	// BacklogLimit is the most intervals that wait to be written; beyond it the
	// oldest is dropped. 0 means 60, which is one hour.
	BacklogLimit int
	// Logger receives messages about failed writes and dropped intervals.
	Logger zerolog.Logger

	lifecycle    duty.Lifecycle
	prepareOnce  sync.Once
	outcomes     *ring.Ring[requestOutcome]
	writeResults *ring.Ring[writeResult]

	// The fields below are owned by the goroutine of loop.

	// countingSince is when the process began to count.
	countingSince time.Time
	// current counts the current interval.
	current *intervalCounter
	// backlog has the records to be written, oldest first, one for each interval.
	backlog []backlogEntry
	// writing says whether a worker is writing. There is at most one worker, so
	// that the writes of a record keep their order.
	writing bool
	// droppedIntervals is the number of intervals dropped from the full backlog.
	droppedIntervals uint64
	// rejectedBeforeInterval is the number of outcomes that the full ring had
	// rejected at the start of the current interval, and rejectedAtLastRecord the
	// number when the last record was queued.
	rejectedBeforeInterval, rejectedAtLastRecord uint64
}

// A backlogEntry is an encoded record that still has to be written.
type backlogEntry struct {
	key   string
	value []byte
}

// A writeResult is what a worker reports to the loop: the entries that were written,
// and the error that ended the writes early, if any.
type writeResult struct {
	entries []backlogEntry
	err     error
}

// prepare creates the rings on the first call of a method.
func (k *Recorder) prepare() {
	k.prepareOnce.Do(func() {
		k.outcomes = ring.New[requestOutcome](cmp.Or(k.Capacity, defaultCapacity))
		k.writeResults = ring.New[writeResult](1)
	})
}

// RecordRequest queues the outcome of a request for counting. It never blocks: an
// outcome that does not fit into the full ring appears in the record as uncounted.
func (k *Recorder) RecordRequest(r *request.Request, answer request.Response, failure *verdict.Error) {
	k.prepare()
	k.outcomes.Offer(newRequestOutcome(r, answer, failure, time.Now()))
}

// Run counts outcomes and writes records until ctx ends or Close is called.
func (k *Recorder) Run(ctx context.Context) error {
	k.prepare()
	return k.lifecycle.Run(ctx, k.loop)
}

// Close writes the record of the last interval, stops the Recorder and waits until
// Run has returned. Callers must not call RecordRequest after Close.
func (k *Recorder) Close() error {
	return k.lifecycle.Close()
}

func (k *Recorder) loop(ctx context.Context) error {
	now := time.Now().UTC()
	k.countingSince, k.current = now, newIntervalCounter(now)
	k.queueRecord(now, false)
	k.startWrite(ctx)
	timer := time.NewTimer(untilNextWrite(now))
	defer timer.Stop()
	for {
		select {
		case outcome := <-k.outcomes.Messages():
			k.current.add(&outcome)
		case result := <-k.writeResults.Messages():
			k.handleWriteResult(result)
		case <-timer.C:
			now := time.Now().UTC()
			k.advanceInterval(now)
			k.startWrite(ctx)
			timer.Reset(untilNextWrite(now))
		case <-ctx.Done():
			k.writeFinal(ctx)
			return ctx.Err()
		}
	}
}

// untilNextWrite returns the time to the next multiple of
// dailyreport.WriteInterval, so that a write falls on the end of each interval.
func untilNextWrite(now time.Time) time.Duration {
	return now.Truncate(dailyreport.WriteInterval).Add(dailyreport.WriteInterval).Sub(now)
}

// advanceInterval queues the record of the current interval and, if the interval has
// ended, starts the next one.
func (k *Recorder) advanceInterval(now time.Time) {
	k.countPending()
	k.current.observeHosts(k.Host, k.Members)
	k.queueRecord(now, false)
	if limit := k.current.interval.Add(dailyreport.Interval); !now.Before(limit) {
		k.rejectedBeforeInterval = k.rejectedAtLastRecord
		k.current = newIntervalCounter(now)
		// Requests that ended between limit and now are in the previous record, so
		// the next interval counts from limit and leaves no gap. If the process was
		// paused past the end of that interval, the new one counts from now, and
		// the minutes of the pause are a gap.
		if k.current.interval.Equal(limit) {
			k.current.from = limit
		}
		k.queueRecord(now, false)
	}
}

// countPending counts the outcomes that are in the ring, so that the next record
// has every request that ended before its Until.
func (k *Recorder) countPending() {
	for range k.outcomes.Len() {
		outcome := <-k.outcomes.Messages()
		k.current.add(&outcome)
	}
}

// queueRecord adds the record of the current interval to the backlog, with the counts
// up to now. final marks the last record before a planned stop.
func (k *Recorder) queueRecord(now time.Time, final bool) {
	limit := k.current.interval.Add(dailyreport.Interval)
	record := k.current.record()
	record.Host, record.Start = k.Host.Name, k.Host.Start
	record.CountingSince = k.countingSince
	record.Until = earlier(now, limit)
	record.Final = final
	k.rejectedAtLastRecord = k.outcomes.RejectedCount()
	record.Uncounted = k.rejectedAtLastRecord - k.rejectedBeforeInterval
	record.DroppedIntervals = k.droppedIntervals
	value, err := json.Marshal(record)
	if err != nil {
		k.Logger.Error().Err(err).Msg("record for the daily report cannot be encoded and is not written")
		return
	}
	key := record.Key()
	k.addToBacklog(backlogEntry{key: key.String(), value: value})
}

// addToBacklog replaces the last entry if it has the same key. Otherwise it appends
// the entry and drops the oldest one if the backlog exceeds its limit.
func (k *Recorder) addToBacklog(e backlogEntry) {
	if last := len(k.backlog) - 1; last >= 0 && k.backlog[last].key == e.key {
		k.backlog[last] = e
		return
	}
	k.backlog = append(k.backlog, e)
	if len(k.backlog) > cmp.Or(k.BacklogLimit, defaultBacklogLimit) {
		k.Logger.Warn().Str("key", k.backlog[0].key).Msg("record for the daily report dropped: the object store was unavailable for too long")
		k.backlog = slices.Delete(k.backlog, 0, 1)
		k.droppedIntervals++
	}
}

// startWrite starts a worker that writes the backlog, unless a worker is running or
// the backlog is empty.
func (k *Recorder) startWrite(ctx context.Context) {
	if k.writing || len(k.backlog) == 0 {
		return
	}
	k.writing = true
	entries := slices.Clone(k.backlog)
	k.lifecycle.Go(func() { k.writeResults.Offer(k.writeEntries(ctx, entries)) })
}

// writeEntries writes the entries, oldest first, and stops at the first error.
func (k *Recorder) writeEntries(ctx context.Context, entries []backlogEntry) writeResult {
	for i, e := range entries {
		limited, cancel := context.WithTimeout(ctx, putTimeout)
		err := k.Store.Put(limited, e.key, e.value)
		cancel()
		if err != nil {
			return writeResult{entries: entries[:i], err: err}
		}
	}
	return writeResult{entries: entries}
}

// handleWriteResult marks the worker as idle and removes the written entries from the
// backlog, except those that have been replaced by a newer record since.
func (k *Recorder) handleWriteResult(result writeResult) {
	k.writing = false
	if result.err != nil {
		k.Logger.Warn().Err(result.err).Int("intervals", len(k.backlog)).Msg("record for the daily report not written; retrying at the next write")
	}
	for _, written := range result.entries {
		k.backlog = slices.DeleteFunc(k.backlog, func(e backlogEntry) bool {
			return e.key == written.key && slices.Equal(e.value, written.value)
		})
	}
}

// writeFinal writes the record of the last interval and the backlog. The end of ctx
// has canceled a running worker; writeFinal waits for its result, so that a write of
// the worker cannot replace the last record.
func (k *Recorder) writeFinal(ctx context.Context) {
	if k.writing {
		k.handleWriteResult(<-k.writeResults.Messages())
	}
	now := time.Now().UTC()
	k.countPending()
	k.queueRecord(now, true)
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	k.handleWriteResult(k.writeEntries(limited, k.backlog))
	if len(k.backlog) > 0 {
		k.Logger.Error().Int("intervals", len(k.backlog)).Msg("records for the daily report lost: the object store did not answer before the host stopped")
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
