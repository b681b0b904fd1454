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
func (r *Recorder) prepare() {
	r.prepareOnce.Do(func() {
		r.outcomes = ring.New[requestOutcome](cmp.Or(r.Capacity, defaultCapacity))
		r.writeResults = ring.New[writeResult](1)
	})
}

// RecordRequest queues the outcome of a request for counting. It never blocks: an
// outcome that does not fit into the full ring appears in the record as uncounted.
func (r *Recorder) RecordRequest(req *request.Request, answer request.Response, failure *verdict.Error) {
	r.prepare()
	r.outcomes.Offer(newRequestOutcome(req, answer, failure, time.Now()))
}

// Run counts outcomes and writes records until ctx ends or Close is called.
func (r *Recorder) Run(ctx context.Context) error {
	r.prepare()
	return r.lifecycle.Run(ctx, r.loop)
}

// Close writes the record of the last interval, stops the Recorder and waits until
// Run has returned. Callers must not call RecordRequest after Close.
func (r *Recorder) Close() error {
	return r.lifecycle.Close()
}

func (r *Recorder) loop(ctx context.Context) error {
	now := time.Now().UTC()
	r.countingSince, r.current = now, newIntervalCounter(now)
	r.queueRecord(now, false)
	r.startWrite(ctx)
	timer := time.NewTimer(untilNextWrite(now))
	defer timer.Stop()
	for {
		select {
		case outcome := <-r.outcomes.Messages():
			r.current.add(&outcome)
		case result := <-r.writeResults.Messages():
			r.handleWriteResult(result)
		case <-timer.C:
			now := time.Now().UTC()
			r.advanceInterval(now)
			r.startWrite(ctx)
			timer.Reset(untilNextWrite(now))
		case <-ctx.Done():
			r.writeFinal(ctx)
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
func (r *Recorder) advanceInterval(now time.Time) {
	r.countPending()
	r.current.observeHosts(r.Host, r.Members)
	r.queueRecord(now, false)
	if limit := r.current.interval.Add(dailyreport.Interval); !now.Before(limit) {
		r.rejectedBeforeInterval = r.rejectedAtLastRecord
		r.current = newIntervalCounter(now)
		// Requests that ended between limit and now are in the previous record, so
		// the next interval counts from limit and leaves no gap. If the process was
		// paused past the end of that interval, the new one counts from now, and
		// the minutes of the pause are a gap.
		if r.current.interval.Equal(limit) {
			r.current.from = limit
		}
		r.queueRecord(now, false)
	}
}

// countPending counts the outcomes that are in the ring, so that the next record
// has every request that ended before its Until.
func (r *Recorder) countPending() {
	for range r.outcomes.Len() {
		outcome := <-r.outcomes.Messages()
		r.current.add(&outcome)
	}
}

// queueRecord adds the record of the current interval to the backlog, with the counts
// up to now. final marks the last record before a planned stop.
func (r *Recorder) queueRecord(now time.Time, final bool) {
	limit := r.current.interval.Add(dailyreport.Interval)
	record := r.current.record()
	record.Host, record.Start = r.Host.Name, r.Host.Start
	record.CountingSince = r.countingSince
	record.Until = earlier(now, limit)
	record.Final = final
	r.rejectedAtLastRecord = r.outcomes.RejectedCount()
	record.Uncounted = r.rejectedAtLastRecord - r.rejectedBeforeInterval
	record.DroppedIntervals = r.droppedIntervals
	value, err := json.Marshal(record)
	if err != nil {
		r.Logger.Error().Err(err).Msg("record for the daily report cannot be encoded and is not written")
		return
	}
	key := record.Key()
	r.addToBacklog(backlogEntry{key: key.String(), value: value})
}

// addToBacklog replaces the last entry if it has the same key. Otherwise it appends
// the entry and drops the oldest one if the backlog exceeds its limit.
func (r *Recorder) addToBacklog(e backlogEntry) {
	if last := len(r.backlog) - 1; last >= 0 && r.backlog[last].key == e.key {
		r.backlog[last] = e
		return
	}
	r.backlog = append(r.backlog, e)
	if len(r.backlog) > cmp.Or(r.BacklogLimit, defaultBacklogLimit) {
		r.Logger.Warn().Str("key", r.backlog[0].key).Msg("record for the daily report dropped: the object store was unavailable for too long")
		r.backlog = slices.Delete(r.backlog, 0, 1)
		r.droppedIntervals++
	}
}

// startWrite starts a worker that writes the backlog, unless a worker is running or
// the backlog is empty.
func (r *Recorder) startWrite(ctx context.Context) {
	if r.writing || len(r.backlog) == 0 {
		return
	}
	r.writing = true
	entries := slices.Clone(r.backlog)
	r.lifecycle.Go(func() { r.writeResults.Offer(r.writeEntries(ctx, entries)) })
}

// writeEntries writes the entries, oldest first, and stops at the first error.
func (r *Recorder) writeEntries(ctx context.Context, entries []backlogEntry) writeResult {
	for i, e := range entries {
		limited, cancel := context.WithTimeout(ctx, putTimeout)
		err := r.Store.Put(limited, e.key, e.value)
		cancel()
		if err != nil {
			return writeResult{entries: entries[:i], err: err}
		}
	}
	return writeResult{entries: entries}
}

// handleWriteResult marks the worker as idle and removes the written entries from the
// backlog, except those that have been replaced by a newer record since.
func (r *Recorder) handleWriteResult(result writeResult) {
	r.writing = false
	if result.err != nil {
		r.Logger.Warn().Err(result.err).Int("intervals", len(r.backlog)).Msg("record for the daily report not written; retrying at the next write")
	}
	for _, written := range result.entries {
		r.backlog = slices.DeleteFunc(r.backlog, func(e backlogEntry) bool {
			return e.key == written.key && slices.Equal(e.value, written.value)
		})
	}
}

// writeFinal writes the record of the last interval and the backlog. The end of ctx
// has canceled a running worker; writeFinal waits for its result, so that a write of
// the worker cannot replace the last record.
func (r *Recorder) writeFinal(ctx context.Context) {
	if r.writing {
		r.handleWriteResult(<-r.writeResults.Messages())
	}
	now := time.Now().UTC()
	r.countPending()
	r.queueRecord(now, true)
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	r.handleWriteResult(r.writeEntries(limited, r.backlog))
	if len(r.backlog) > 0 {
		r.Logger.Error().Int("intervals", len(r.backlog)).Msg("records for the daily report lost: the object store did not answer before the host stopped")
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
