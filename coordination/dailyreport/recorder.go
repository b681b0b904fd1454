// Package dailyreport keeps the records of the day, which survive the hosts, and
// evaluates them.
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
	// putTimeout bounds one write. It is shorter than the write period, so that
	// writes to a store that does not answer do not pile up.
	putTimeout = 5 * time.Second
	// closeTimeout bounds the writes of Close, which a planned stop waits for.
	closeTimeout = 10 * time.Second
)

// A RecordStore keeps records as objects.
type RecordStore interface {
	// Put replaces the object. After an error it may or may not be replaced.
	Put(ctx context.Context, key string, value []byte) error
}

// LiveHostSource knows the live hosts.
type LiveHostSource interface {
	// LiveHosts returns the live hosts of a failure domain.
	LiveHosts(domain fleet.FailureDomainName) []fleet.Host
}

// A Recorder counts how requests end and writes the records of its host. It is a
// duty and implements dispatch.Recorder. Its fields are set before Run and the
// first call of another method, and not changed afterwards.
type Recorder struct {
	// Host is the process whose records these are.
	Host fleet.Host
	// Store receives the records.
	Store RecordStore
	// Members names the hosts that should have records; nil means none.
	Members LiveHostSource
	// Capacity is the most ends of requests that wait for the duty; default 8192.
	Capacity int
	// BacklogLimit is the most intervals that wait for the store; the oldest is
	// dropped. Default 60, one hour.
	BacklogLimit int
	// Logger receives failed writes and dropped intervals.
	Logger zerolog.Logger

	lifecycle duty.Lifecycle
	once      sync.Once
	ends      *ring.Ring[end]
	written   *ring.Ring[written]

	// The rest is owned by the loop.
	began   time.Time
	open    *intervalCounter
	backlog []entry
	// writing says that a worker writes; there is at most one, so that writes
	// of one record keep their order.
	writing bool
	dropped uint64
	// refused is the ring's count at the start of the open interval, saved the
	// count at its last save.
	refused, saved uint64
}

// An entry is a record that the store does not have in this form.
type entry struct {
	key   string
	value []byte
}

// written is the result of a worker: the keys of entries that the store has.
type written struct {
	entries []entry
	err     error
}

func (k *Recorder) prepare() {
	k.once.Do(func() {
		k.ends = ring.New[end](cmp.Or(k.Capacity, 8192))
		k.written = ring.New[written](1)
	})
}

// RecordRequest counts the end of a request. It does not wait; an end that a full
// ring refuses is counted as uncounted.
func (k *Recorder) RecordRequest(r *request.Request, answer request.Response, failure *verdict.Error) {
	k.prepare()
	k.ends.Offer(endOf(r, answer, failure, time.Now()))
}

// Run counts and writes until ctx ends or Close is called.
func (k *Recorder) Run(ctx context.Context) error {
	k.prepare()
	return k.lifecycle.Run(ctx, k.loop)
}

// Close writes the last interval, ends the Recorder and waits until Run has
// returned. No request ends after it was called.
func (k *Recorder) Close() error {
	return k.lifecycle.Close()
}

func (k *Recorder) loop(ctx context.Context) error {
	now := time.Now().UTC()
	k.began, k.open = now, newTally(now)
	k.save(now, false)
	k.write(ctx)
	timer := time.NewTimer(untilNextWrite(now))
	defer timer.Stop()
	for {
		select {
		case e := <-k.ends.Messages():
			k.open.add(&e)
		case w := <-k.written.Messages():
			k.settle(w)
		case <-timer.C:
			now := time.Now().UTC()
			k.tick(now)
			k.write(ctx)
			timer.Reset(untilNextWrite(now))
		case <-ctx.Done():
			k.finish(ctx)
			return ctx.Err()
		}
	}
}

// untilNextWrite returns the time to the next multiple of the write period, so
// that each interval has a write at its end.
func untilNextWrite(now time.Time) time.Duration {
	return now.Truncate(dailyreport.WriteInterval).Add(dailyreport.WriteInterval).Sub(now)
}

// tick saves the open interval and opens the next one when it has ended.
func (k *Recorder) tick(now time.Time) {
	k.drain()
	k.open.see(k.Host, k.Members)
	k.save(now, false)
	if limit := k.open.interval.Add(dailyreport.Interval); !now.Before(limit) {
		k.refused = k.saved
		k.open = newTally(now)
		// What ended since the limit is in the record before, so that nothing
		// between them is missing. After a pause of the process, minutes are.
		if k.open.interval.Equal(limit) {
			k.open.from = limit
		}
		k.save(now, false)
	}
}

// drain counts the ends that arrived before now, so that Until holds.
func (k *Recorder) drain() {
	for range k.ends.Len() {
		e := <-k.ends.Messages()
		k.open.add(&e)
	}
}

// save puts the present value of the open interval into the backlog.
func (k *Recorder) save(now time.Time, final bool) {
	limit := k.open.interval.Add(dailyreport.Interval)
	record := k.open.record()
	record.Host, record.Start = k.Host.Name, k.Host.Start
	record.CountingSince = k.began
	record.Until = earlier(now, limit)
	record.Final = final
	k.saved = k.ends.RejectedCount()
	record.Uncounted = k.saved - k.refused
	record.DroppedIntervals = k.dropped
	value, err := json.Marshal(record)
	if err != nil {
		k.Logger.Error().Err(err).Msg("record of the day cannot be encoded")
		return
	}
	key := record.Key()
	k.keep(entry{key: key.String(), value: value})
}

// keep replaces the entry of the same key, or appends it and drops the oldest
// one when there is no room.
func (k *Recorder) keep(e entry) {
	if last := len(k.backlog) - 1; last >= 0 && k.backlog[last].key == e.key {
		k.backlog[last] = e
		return
	}
	k.backlog = append(k.backlog, e)
	if len(k.backlog) > cmp.Or(k.BacklogLimit, 60) {
		k.Logger.Warn().Str("key", k.backlog[0].key).Msg("record of the day dropped: the object store is away for too long")
		k.backlog = slices.Delete(k.backlog, 0, 1)
		k.dropped++
	}
}

// write starts a worker on the backlog, unless one is at work.
func (k *Recorder) write(ctx context.Context) {
	if k.writing || len(k.backlog) == 0 {
		return
	}
	k.writing = true
	entries := slices.Clone(k.backlog)
	k.lifecycle.Go(func() { k.written.Offer(k.put(ctx, entries)) })
}

// put writes entries, oldest first, until one fails.
func (k *Recorder) put(ctx context.Context, entries []entry) written {
	for i, e := range entries {
		limited, cancel := context.WithTimeout(ctx, putTimeout)
		err := k.Store.Put(limited, e.key, e.value)
		cancel()
		if err != nil {
			return written{entries: entries[:i], err: err}
		}
	}
	return written{entries: entries}
}

// settle removes what was written from the backlog, unless it changed meanwhile.
func (k *Recorder) settle(w written) {
	k.writing = false
	if w.err != nil {
		k.Logger.Warn().Err(w.err).Int("intervals", len(k.backlog)).Msg("record of the day not written; trying again")
	}
	for _, done := range w.entries {
		k.backlog = slices.DeleteFunc(k.backlog, func(e entry) bool {
			return e.key == done.key && slices.Equal(e.value, done.value)
		})
	}
}

// finish writes the last interval. The worker has been canceled by ctx; its
// result is awaited, so that its write cannot follow the last one.
func (k *Recorder) finish(ctx context.Context) {
	if k.writing {
		k.settle(<-k.written.Messages())
	}
	now := time.Now().UTC()
	k.drain()
	k.save(now, true)
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	k.settle(k.put(limited, k.backlog))
	if len(k.backlog) > 0 {
		k.Logger.Error().Int("intervals", len(k.backlog)).Msg("records of the day lost: the object store did not answer before the stop")
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
