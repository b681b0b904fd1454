// Package retry bounds how often failed requests are tried again.
package retry

import (
	"cmp"
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A Budget bounds the retries of each application to a share of its successful
// requests, so that retries cannot multiply the load of an overloaded or failed
// engine. It is a duty; its fields are set before Run and the first call of
// another method, and not changed afterwards.
type Budget struct {
	// RetryRatio is the number of retries that a successful request earns; default 0.1.
	RetryRatio float64
	// Burst is the most retries that an application can save up, and what it
	// starts with; default 10.
	Burst int
	// MinRetriesPerSecond is the number of retries per second that an application may make
	// without successes, so that an application with little traffic gets over
	// single failures; default 0.2.
	MinRetriesPerSecond float64
	// InitialBackoff is the longest pause before the first retry; it doubles with each
	// retry up to MaxBackoff. Defaults 50 ms and 2 s.
	InitialBackoff, MaxBackoff time.Duration
	// MaxApplications is the most applications in memory; the one that was used
	// least recently is dropped and later starts anew. Default 1024.
	MaxApplications int
	// QueueCapacity is the most messages that wait for the duty; default 4096.
	QueueCapacity int

	lifecycle duty.Lifecycle
	once      sync.Once
	endOnce   sync.Once
	messages  *ring.Ring[message]
	ended     chan struct{}
}

// A message asks for a retry, or reports a success when reply is nil.
type message struct {
	application configuration.ApplicationName
	reply       chan bool
}

// An account is the budget of one application.
type account struct {
	application configuration.ApplicationName
	// earned is the number of retries saved up; at most Burst.
	earned float64
	// floor allows retries beyond the earned ones.
	floor *rate.Limiter
}

func (b *Budget) prepare() {
	b.once.Do(func() {
		b.messages = ring.New[message](cmp.Or(b.QueueCapacity, 4096))
		b.ended = make(chan struct{})
	})
}

// Run keeps the accounts until ctx ends or Close is called.
func (b *Budget) Run(ctx context.Context) error {
	b.prepare()
	return b.lifecycle.Run(ctx, func(ctx context.Context) error {
		defer b.end()
		return b.loop(ctx)
	})
}

// Close ends the Budget and waits until Run has returned.
func (b *Budget) Close() error {
	b.prepare()
	err := b.lifecycle.Close()
	b.end()
	return err
}

func (b *Budget) end() {
	b.endOnce.Do(func() { close(b.ended) })
}

// NextBackoff returns the pause before the given retry, counted from 1, and whether
// the budget allows it. It allows no retry that would start at or after the
// request's deadline, and none when the Budget is overloaded or has ended.
func (b *Budget) NextBackoff(r *request.Request, retry int) (time.Duration, bool) {
	b.prepare()
	pause := b.pause(retry)
	if !time.Now().Add(pause).Before(r.Deadline) {
		return 0, false
	}
	reply := make(chan bool, 1)
	if !b.messages.Offer(message{application: r.Application, reply: reply}) {
		return 0, false
	}
	timer := time.NewTimer(time.Until(r.Deadline))
	defer timer.Stop()
	select {
	case allowed := <-reply:
		if !allowed || !time.Now().Add(pause).Before(r.Deadline) {
			return 0, false
		}
		return pause, true
	case <-timer.C:
		return 0, false
	case <-b.ended:
		return 0, false
	}
}

// RecordRequest earns retries with a successful request. Its signature is that of a
// recorder of outcomes. It does not wait; a success that a full ring refuses
// earns nothing.
func (b *Budget) RecordRequest(r *request.Request, answer request.Response, failure *verdict.Error) {
	if failure != nil || answer.Replayed {
		return
	}
	b.prepare()
	b.messages.Offer(message{application: r.Application})
}

// pause returns a random time from zero to the limit of the given retry. Full
// jitter keeps requests that failed together from coming back together.
func (b *Budget) pause(retry int) time.Duration {
	longest := cmp.Or(b.MaxBackoff, 2*time.Second)
	limit := cmp.Or(b.InitialBackoff, 50*time.Millisecond)
	for i := 1; i < retry && limit < longest; i++ {
		limit *= 2
	}
	// The library spreads by the factor around the interval, here from 0 to
	// twice the interval.
	jitter := backoff.ExponentialBackOff{
		InitialInterval:     min(limit, longest) / 2,
		RandomizationFactor: 1,
		Multiplier:          1,
		MaxInterval:         longest,
	}
	jitter.Reset()
	return jitter.NextBackOff()
}

func (b *Budget) loop(ctx context.Context) error {
	accounts := make(map[configuration.ApplicationName]*list.Element)
	recent := list.New()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-b.messages.Messages():
			a := b.account(accounts, recent, m.application)
			if m.reply == nil {
				a.earned = min(a.earned+cmp.Or(b.RetryRatio, 0.1), float64(cmp.Or(b.Burst, 10)))
				continue
			}
			m.reply <- a.spend()
		}
	}
}

// account returns the account of an application and marks it as used.
func (b *Budget) account(accounts map[configuration.ApplicationName]*list.Element, recent *list.List, name configuration.ApplicationName) *account {
	if element, ok := accounts[name]; ok {
		recent.MoveToFront(element)
		return element.Value.(*account)
	}
	if len(accounts) >= cmp.Or(b.MaxApplications, 1024) {
		oldest := recent.Back()
		delete(accounts, recent.Remove(oldest).(*account).application)
	}
	a := &account{
		application: name,
		earned:      float64(cmp.Or(b.Burst, 10)),
		floor:       rate.NewLimiter(rate.Limit(cmp.Or(b.MinRetriesPerSecond, 0.2)), 1),
	}
	accounts[name] = recent.PushFront(a)
	return a
}

// spend takes one retry from the account and reports whether there was one.
func (a *account) spend() bool {
	if a.earned >= 1 {
		a.earned--
		return true
	}
	return a.floor.Allow()
}
