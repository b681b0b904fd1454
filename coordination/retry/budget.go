// Package retry limits how often failed requests are retried.
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

// A Budget limits the retries of each application to a share of its successful
// requests, so that retries cannot multiply the load of an overloaded or failed
// engine. One goroutine, Run, owns the accounts. The fields are set before Run
// and before the first call of any other method, and not changed afterwards.
type Budget struct {
	// RetryRatio is the number of retries that a successful request adds to the
	// budget; default 0.1.
	RetryRatio float64
	// Burst is the number of retries that an application starts with and the most
	// that it can save up; default 10.
	Burst int
	// MinRetriesPerSecond is the rate of retries that an application may make
	// without successful requests, so that an application with little traffic can
	// retry after single failures; default 0.2.
	MinRetriesPerSecond float64
	// InitialBackoff is the longest delay before the first retry. It doubles with
	// each further retry up to MaxBackoff. The defaults are 50 ms and 2 s.
	InitialBackoff, MaxBackoff time.Duration
	// MaxApplications is the largest number of applications with an account.
	// Beyond it, the least recently used account is dropped, and its application
	// later starts with a new one. Default 1024.
	MaxApplications int
	// QueueCapacity is the largest number of messages that wait for Run; default
	// 4096.
	QueueCapacity int

	lifecycle duty.Lifecycle
	once      sync.Once
	endOnce   sync.Once
	messages  *ring.Ring[message]
	ended     chan struct{}
}

// A message requests a retry if reply is set, and reports a successful request
// otherwise.
type message struct {
	application configuration.ApplicationName
	reply       chan bool
}

// An account is the retry budget of one application. Only the goroutine of Run
// uses it.
type account struct {
	application configuration.ApplicationName
	// savedRetries is the number of retries saved up, at most Burst.
	savedRetries float64
	// minRate allows retries when no saved one is left.
	minRate *rate.Limiter
}

func (b *Budget) prepare() {
	b.once.Do(func() {
		b.messages = ring.New[message](cmp.Or(b.QueueCapacity, 4096))
		b.ended = make(chan struct{})
	})
}

// Run updates the accounts until ctx ends or Close is called.
func (b *Budget) Run(ctx context.Context) error {
	b.prepare()
	return b.lifecycle.Run(ctx, func(ctx context.Context) error {
		defer b.markEnded()
		return b.loop(ctx)
	})
}

// Close stops the Budget and waits until Run has returned.
func (b *Budget) Close() error {
	b.prepare()
	err := b.lifecycle.Close()
	b.markEnded()
	return err
}

// markEnded releases the callers that wait for a reply.
func (b *Budget) markEnded() {
	b.endOnce.Do(func() { close(b.ended) })
}

// NextBackoff returns the delay before the given retry, counted from 1, and
// whether the budget allows it. It allows no retry that would start at or after
// the request's deadline, and none when the Budget is overloaded or closed.
func (b *Budget) NextBackoff(r *request.Request, retry int) (time.Duration, bool) {
	b.prepare()
	delay := b.randomBackoff(retry)
	if !time.Now().Add(delay).Before(r.Deadline) {
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
		if !allowed || !time.Now().Add(delay).Before(r.Deadline) {
			return 0, false
		}
		return delay, true
	case <-timer.C:
		return 0, false
	case <-b.ended:
		return 0, false
	}
}

// RecordRequest adds RetryRatio to the application's budget if the request
// succeeded and its response is not a replayed one. It implements the Recorder of
// package dispatch. It never blocks: if the queue is full, the success is not
// counted.
func (b *Budget) RecordRequest(r *request.Request, response request.Response, failure *verdict.Error) {
	if failure != nil || response.Replayed {
		return
	}
	b.prepare()
	b.messages.Offer(message{application: r.Application})
}

// randomBackoff returns a random delay between zero and the limit of the given
// retry. Full jitter keeps requests that failed at the same time from being
// retried at the same time.
func (b *Budget) randomBackoff(retry int) time.Duration {
	longest := cmp.Or(b.MaxBackoff, 2*time.Second)
	limit := cmp.Or(b.InitialBackoff, 50*time.Millisecond)
	for i := 1; i < retry && limit < longest; i++ {
		limit *= 2
	}
	// The library randomizes by the factor around the interval, here between zero
	// and twice the interval.
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
				a.savedRetries = min(a.savedRetries+cmp.Or(b.RetryRatio, 0.1), float64(cmp.Or(b.Burst, 10)))
				continue
			}
			m.reply <- a.takeRetry()
		}
	}
}

// account returns the account of an application, which it creates if needed, and
// marks it as the most recently used.
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
		application:  name,
		savedRetries: float64(cmp.Or(b.Burst, 10)),
		minRate:      rate.NewLimiter(rate.Limit(cmp.Or(b.MinRetriesPerSecond, 0.2)), 1),
	}
	accounts[name] = recent.PushFront(a)
	return a
}

// takeRetry takes one retry from the account and reports whether it had one.
func (a *account) takeRetry() bool {
	if a.savedRetries >= 1 {
		a.savedRetries--
		return true
	}
	return a.minRate.Allow()
}
