// Package organisation finds the organisations that keys belong to. It decides what a key
// means that the known desired state does not have.
package organisation

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

const (
	// ringCapacity is the number of requests with unknown keys that may wait for the duty.
	// maxWaiting is the number that may wait for one read of the desired state. Others are
	// decided at once by what is known.
	ringCapacity = 1024
	maxWaiting   = 1024
	// refreshWait is how long a request waits for a read of the desired state, and
	// refreshTimeout is the time that the read may take.
	refreshWait    = 400 * time.Millisecond
	refreshTimeout = 1200 * time.Millisecond
	// minRefreshInterval is the least time between two reads, each of which is paid for.
	// It doubles up to maxRefreshInterval while reads find no newer desired state: then
	// the keys of callers are wrong, not the desired state old.
	minRefreshInterval = time.Second
	maxRefreshInterval = 30 * time.Second
	// refusedKeyLifetime is how long a refused key causes no further read. A key that is
	// added meanwhile is known as soon as the desired state arrives in the usual way.
	refusedKeyLifetime = time.Minute
	// maxRefusedKeys bounds the refused keys that are remembered.
	maxRefusedKeys = 4096
	// maxRefusalAge is the age of the desired state up to which it shows that a key is
	// unknown or needed. It is longer than the usual pace of reading and shorter than the 2.5 s
	// within which a new key has to be accepted.
	maxRefusalAge = 2400 * time.Millisecond
	// undecidedRetryDelay is the time after which a caller should retry whose request
	// cannot be judged.
	undecidedRetryDelay = time.Second
)

// ViewSource returns the newest view of the site.
type ViewSource interface {
	View() *site.View
}

// A DesiredStateSource is where the newest desired state comes from.
type DesiredStateSource interface {
	// Age returns the time since the store confirmed, to this host or to the owner that it
	// follows, that the view has the newest desired state.
	Age() time.Duration
	// Refresh reads the newest desired state from the store once and returns when the view
	// has it.
	Refresh(ctx context.Context) error
}

// A Directory is the duty that finds the organisations of keys. Its exported fields are
// set before Run.
type Directory struct {
	Views  ViewSource
	Source DesiredStateSource
	Log    zerolog.Logger

	lifecycle duty.Lifecycle
	once      sync.Once
	queries   *ring.Ring[query]
	refreshes atomic.Int64

	// The following fields belong to the goroutine of Run.

	// refreshed receives the result of the read that runs; nil if none does.
	refreshed chan error
	// waiting are the queries that wait for the read.
	waiting []query
	// desired is the desired state under which the keys in refused were refused at the
	// given times.
	desired *site.DesiredState
	refused map[site.KeyDigest]time.Time
	// refreshedFrom is the desired state that was known when the read began.
	refreshedFrom *site.DesiredState
	// nextRefresh is when the next read may begin, and interval the time from the last one
	// to it.
	nextRefresh time.Time
	interval    time.Duration
}

// A query asks for a read of the desired state because a key is not known.
type query struct {
	key site.KeyDigest
	// answered is closed when the query has been answered: the view has the newest desired
	// state that can be had now.
	answered chan struct{}
}

func (d *Directory) prepare() {
	d.once.Do(func() {
		d.queries = ring.New[query](ringCapacity)
		d.refused = make(map[site.KeyDigest]time.Time)
	})
}

// Run answers queries until ctx ends or Close is called.
func (d *Directory) Run(ctx context.Context) error {
	d.prepare()
	return d.lifecycle.Run(ctx, d.loop)
}

// Close ends the duty and waits until it has ended.
func (d *Directory) Close() error {
	return d.lifecycle.Close()
}

// Refreshes returns how often the desired state was read because of an unknown key.
func (d *Directory) Refreshes() int64 {
	return d.refreshes.Load()
}

// Identify returns the organisation that the key belongs to, or nil if no keys are
// required. If the key is not known, it waits up to refreshWait for the newest desired
// state. The error is a *verdict.Error: CodeUnauthorized if no organisation has the key,
// CodeTableUnavailable if this host cannot know that now.
func (d *Directory) Identify(ctx context.Context, key site.KeyDigest) (*site.Organisation, error) {
	d.prepare()
	if organisation := d.Views.View().OrganisationOf(key); organisation != nil {
		return organisation, nil
	}
	d.awaitRefresh(ctx, key)
	return d.judge(key)
}

// awaitRefresh waits until the duty has read the newest desired state or finds that it
// should not. If the ring is full, it returns at once.
func (d *Directory) awaitRefresh(ctx context.Context, key site.KeyDigest) {
	q := query{key: key, answered: make(chan struct{})}
	if !d.queries.Offer(q) {
		return
	}
	timer := time.NewTimer(refreshWait)
	defer timer.Stop()
	select {
	case <-q.answered:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// judge returns what the view says of a key. The age is read first, so that the view is at
// least as recent as the age says.
func (d *Directory) judge(key site.KeyDigest) (*site.Organisation, error) {
	age := d.Source.Age()
	view := d.Views.View()
	if view.Desired == nil || !view.Desired.RequiresKeys {
		return nil, nil
	}
	if organisation := view.OrganisationOf(key); organisation != nil {
		return organisation, nil
	}
	return nil, newRefusal(age, "key is not known")
}

// RefuseMissing returns the error for a request without a key on a route that needs one:
// CodeUnauthorized, or CodeTableUnavailable if a newer desired state may need none.
func (d *Directory) RefuseMissing() *verdict.Error {
	return newRefusal(d.Source.Age(), "request has no key")
}

// newRefusal returns the error for a request that a desired state of the given age refuses.
func newRefusal(age time.Duration, message string) *verdict.Error {
	if age <= maxRefusalAge {
		return verdict.NewNotRun(verdict.CodeUnauthorized, "%s", message)
	}
	return &verdict.Error{
		Verdict: verdict.NotRun, Code: verdict.CodeTableUnavailable, RetryAfter: undecidedRetryDelay,
		Message: message + ", and the desired state is " + age.Round(time.Millisecond).String() + " old",
	}
}

func (d *Directory) loop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case q := <-d.queries.Messages():
			d.handleQuery(ctx, q, time.Now())
		case err := <-d.refreshed:
			d.handleRefreshed(err, time.Now())
		}
	}
}

// handleQuery answers a query at once, or has it wait for a read of the desired state,
// which it begins if none runs.
func (d *Directory) handleQuery(ctx context.Context, q query, now time.Time) {
	d.forgetRefused()
	if refusedAt, ok := d.refused[q.key]; ok && now.Sub(refusedAt) < refusedKeyLifetime || len(d.waiting) >= maxWaiting {
		close(q.answered)
		return
	}
	if d.refreshed != nil {
		d.waiting = append(d.waiting, q)
		return
	}
	if now.Before(d.nextRefresh) {
		close(q.answered)
		return
	}
	if now.Sub(d.nextRefresh) > maxRefreshInterval {
		d.interval = 0
	}
	d.waiting = append(d.waiting, q)
	d.refresh(ctx)
}

// forgetRefused forgets the refused keys if there is another desired state.
func (d *Directory) forgetRefused() {
	if desired := d.Views.View().Desired; desired != d.desired {
		d.desired = desired
		clear(d.refused)
	}
}

// refresh begins a read of the desired state on a worker goroutine.
func (d *Directory) refresh(ctx context.Context) {
	refreshed := make(chan error, 1)
	d.refreshed, d.refreshedFrom = refreshed, d.desired
	d.refreshes.Add(1)
	d.lifecycle.Go(func() {
		limited, cancel := context.WithTimeout(ctx, refreshTimeout)
		defer cancel()
		refreshed <- d.Source.Refresh(limited)
	})
}

// handleRefreshed answers the waiting queries, remembers their keys if they are still
// unknown, and sets when the next read may begin.
func (d *Directory) handleRefreshed(err error, now time.Time) {
	d.refreshed = nil
	d.forgetRefused()
	d.interval = min(max(2*d.interval, minRefreshInterval), maxRefreshInterval)
	if d.desired != d.refreshedFrom {
		d.interval = minRefreshInterval
	}
	d.nextRefresh = now.Add(d.interval)
	if err != nil {
		d.Log.Warn().Err(err).Int("waiting", len(d.waiting)).Dur("next-read-in", d.interval).Msg("desired state could not be read for an unknown key")
	}
	view := d.Views.View()
	for _, q := range d.waiting {
		if err == nil && view.OrganisationOf(q.key) == nil {
			d.remember(q.key, now)
		}
		close(q.answered)
	}
	d.waiting = nil
}

// remember remembers a refused key. All others are forgotten if there is no room.
func (d *Directory) remember(key site.KeyDigest, now time.Time) {
	if len(d.refused) >= maxRefusedKeys {
		clear(d.refused)
	}
	d.refused[key] = now
}
