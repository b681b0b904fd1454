package claim

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// Settings holds the limits and delays of a Registry. The zero value of a field selects
// its default.
type Settings struct {
	// GroupCommitDelay is how long the first write of a transaction waits for others to
	// join it; default 2 ms. TransactionRate may delay the transaction longer.
	GroupCommitDelay time.Duration
	// TransactionRate is the maximum number of transactions that this host sends per
	// second once TransactionBurst is used up; default 40. Transactions then wait longer
	// and contain more writes. The hosts of a deployment together must stay below the several hundred writes
	// per second that the table handles: 9 hosts at the default of 40 send at most 360.
	TransactionRate float64
	// TransactionBurst is the number of transactions that may be sent without being
	// delayed by TransactionRate; default 20.
	TransactionBurst int
	// GroupWriteLimit is the maximum number of writes in one transaction, and of keys in
	// one read; default 64.
	GroupWriteLimit int
	// InFlightLimit is the maximum number of transactions and reads in flight; default 4.
	InFlightLimit int
	// PeerQueryLimit is the maximum number of status queries to other hosts in flight;
	// default 16.
	PeerQueryLimit int
	// Capacity is the maximum number of request keys in memory and, separately, of
	// waiting calls of Claim; default 4096.
	Capacity int
	// RetainedBytesLimit is the maximum total size in bytes of response bodies that wait
	// to be recorded; default 16 MiB. Above it, outcomes are recorded without their
	// responses.
	RetainedBytesLimit int
	// OperationTimeout is the time limit for one table operation or status query; default
	// 1 s.
	OperationTimeout time.Duration
	// TableFailureTimeout is how long operations on the table may fail before the waiting
	// attempts to claim are refused; default 1 s.
	TableFailureTimeout time.Duration
	// CloseTimeout is how long Close waits for held claims to be resolved and for
	// abandoned claims to be removed from the table; default 10 s.
	CloseTimeout time.Duration
}

// Registry makes and resolves the claims of one host. It is a duty: Run starts it, and
// Close stops it and waits. Its exported fields are set before Run and before the first
// call of another method, and not changed afterwards.
type Registry struct {
	// Host and Start identify this process in its claims. Start grows with each restart
	// of the process.
	Host  fleet.HostName
	Start fleet.StartNumber
	// Table stores the claims.
	Table Table
	// Peers queries other hosts about their claims.
	Peers PeerClient
	// Settings holds the limits and delays.
	Settings Settings

	lifecycle   duty.Lifecycle
	prepareOnce sync.Once
	endOnce     sync.Once
	settings    Settings
	messages    *ring.Ring[message]
	// resolutions has room for each claim that can be held, so that the outcome of a run
	// is not refused by a full ring.
	resolutions *ring.Ring[*resolution]
	// workerResults has room for one result of each worker goroutine.
	workerResults *ring.Ring[workerResult]
	// ended is closed when the Registry has ended, so that no caller waits for a reply of
	// the duty any longer.
	ended  chan struct{}
	counts counters
}

// counters are the fields of Counts that the Registry counts itself. They are atomic
// because Counts reads them while the duty changes them.
type counters struct {
	granted, transactions, writes, abandoned, replaced, entries atomic.Uint64
}

var errEnded = errors.New("claim registry has ended")

// prepare applies the defaults and creates the rings, once. Every exported method calls
// it, since callers may come before Run.
func (r *Registry) prepare() {
	r.prepareOnce.Do(func() {
		s := r.Settings
		r.settings = Settings{
			GroupCommitDelay:    cmp.Or(s.GroupCommitDelay, defaultGroupCommitDelay),
			TransactionRate:     cmp.Or(s.TransactionRate, defaultTransactionRate),
			TransactionBurst:    cmp.Or(s.TransactionBurst, defaultTransactionBurst),
			GroupWriteLimit:     cmp.Or(s.GroupWriteLimit, defaultGroupWriteLimit),
			InFlightLimit:       cmp.Or(s.InFlightLimit, defaultInFlightLimit),
			PeerQueryLimit:      cmp.Or(s.PeerQueryLimit, defaultPeerQueryLimit),
			Capacity:            cmp.Or(s.Capacity, defaultCapacity),
			RetainedBytesLimit:  cmp.Or(s.RetainedBytesLimit, defaultRetainedBytesLimit),
			OperationTimeout:    cmp.Or(s.OperationTimeout, defaultOperationTimeout),
			TableFailureTimeout: cmp.Or(s.TableFailureTimeout, defaultTableFailureTimeout),
			CloseTimeout:        cmp.Or(s.CloseTimeout, defaultCloseTimeout),
		}
		r.messages = ring.New[message](r.settings.Capacity)
		r.resolutions = ring.New[*resolution](r.settings.Capacity)
		r.workerResults = ring.New[workerResult](r.settings.InFlightLimit + r.settings.PeerQueryLimit)
		r.ended = make(chan struct{})
	})
}

// Run makes and resolves claims until ctx ends or Close is called. It then refuses new
// claims, waits up to CloseTimeout for held claims to be resolved and abandoned ones to
// be removed, and returns.
func (r *Registry) Run(ctx context.Context) error {
	r.prepare()
	return r.lifecycle.Run(ctx, func(ctx context.Context) error {
		defer r.markEnded()
		l := &loop{
			registry: r,
			entries:  make(map[booking.Key]*entry),
			limiter:  rate.NewLimiter(rate.Limit(r.settings.TransactionRate), r.settings.TransactionBurst),
		}
		return l.run(ctx)
	})
}

// Close stops the Registry and waits until Run has returned.
func (r *Registry) Close() error {
	r.prepare()
	err := r.lifecycle.Close()
	r.markEnded()
	return err
}

// markEnded closes ended, so that all waiting calls return. Run and Close both call it,
// because Close may be called without Run.
func (r *Registry) markEnded() {
	r.endOnce.Do(func() { close(r.ended) })
}

// Claim returns a handle to run the request, or the recorded outcome of an earlier
// attempt. While an earlier attempt is unresolved, it waits until the request's deadline.
// Its error is a *verdict.Error; the verdict NotRun means that this attempt did not run
// and never will. The holder of a handle must call Resolve once.
func (r *Registry) Claim(ctx context.Context, req *request.Request) (booking.ClaimHandle, *booking.Outcome, error) {
	r.prepare()
	if failure := checkRequestID(req.ID, time.Now()); failure != nil {
		return booking.ClaimHandle{}, nil, failure
	}
	a := newAttempt(booking.Key{Application: req.Application, Caller: req.Caller, Request: req.ID}, req.Deadline)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	if !r.messages.Offer(message{attempt: a}) {
		return booking.ClaimHandle{}, nil, a.newError(verdict.CodeOverloaded, time.Second, nil)
	}
	select {
	case result := <-a.reply:
		return r.returnResult(result)
	case <-ctx.Done():
		return r.withdraw(a, contextErrorCode(ctx.Err()), ctx.Err())
	case <-r.ended:
		return r.withdraw(a, verdict.CodeStopping, errEnded)
	}
}

// contextErrorCode returns the verdict code for the error of an ended context.
func contextErrorCode(err error) verdict.Code {
	if errors.Is(err, context.DeadlineExceeded) {
		return verdict.CodeDeadline
	}
	return verdict.CodeCanceled
}

// withdraw ends the wait of a caller. If a result was delivered first, it returns that
// result.
func (r *Registry) withdraw(a *attempt, code verdict.Code, cause error) (booking.ClaimHandle, *booking.Outcome, error) {
	if !a.withdraw() {
		return r.returnResult(<-a.reply)
	}
	// A full ring may refuse this message: the duty drops the attempt at its deadline
	// anyway.
	r.messages.Offer(message{withdrawnKey: a.key})
	return booking.ClaimHandle{}, nil, a.newError(code, 0, cause)
}

// returnResult converts a result to the return values of Claim and counts granted
// handles.
func (r *Registry) returnResult(result attemptResult) (booking.ClaimHandle, *booking.Outcome, error) {
	if result.failure != nil {
		return booking.ClaimHandle{}, nil, result.failure
	}
	if result.outcome == nil {
		r.counts.granted.Add(1)
	}
	return result.handle, result.outcome, nil
}

// Resolve records the outcome of a claimed request and waits until the table confirms it.
// The outcome NotRun releases the claim, so that a retry may run. If ctx ends first, the
// Registry goes on recording in the background. The error is a *verdict.Error.
func (r *Registry) Resolve(ctx context.Context, handle booking.ClaimHandle, outcome booking.Outcome) error {
	r.prepare()
	resolved := &resolution{token: handle.Token, key: handle.Key, outcome: outcome, reply: make(chan error, 1)}
	if !r.resolutions.Offer(resolved) {
		return verdict.NewMayHaveRun(verdict.CodeOverloaded, nil, "outcome of request %s cannot be recorded: the queue of outcomes is full", handle.Key.Request)
	}
	select {
	case err := <-resolved.reply:
		return err
	case <-ctx.Done():
		return verdict.NewMayHaveRun(verdict.CodeTableUnavailable, ctx.Err(), "outcome of request %s is not recorded yet", handle.Key.Request)
	case <-r.ended:
		return r.resolveResultAtEnd(resolved)
	}
}

// resolveResultAtEnd returns the result of Resolve if it arrived at the same time as the
// end of the Registry, and an error otherwise.
func (r *Registry) resolveResultAtEnd(resolved *resolution) error {
	select {
	case err := <-resolved.reply:
		return err
	default:
		return verdict.NewMayHaveRun(verdict.CodeStopping, errEnded, "outcome of request %s was not recorded", resolved.key.Request)
	}
}

// Status returns the status of a claim that this host made. It returns
// booking.StatusUnknown if the Registry is overloaded or has ended. Before Run has
// started it blocks.
func (r *Registry) Status(key booking.Key, token booking.ClaimToken) booking.ClaimStatus {
	r.prepare()
	q := &statusQuery{key: key, token: token, reply: make(chan booking.ClaimStatus, 1)}
	if !r.messages.Offer(message{query: q}) {
		return booking.StatusUnknown
	}
	select {
	case status := <-q.reply:
		return status
	case <-r.ended:
		return booking.StatusUnknown
	}
}

// Counts returns the event counters since the start. It may be called from any goroutine.
func (r *Registry) Counts() Counts {
	r.prepare()
	return Counts{
		Granted:          r.counts.granted.Load(),
		Transactions:     r.counts.transactions.Load(),
		Writes:           r.counts.writes.Load(),
		Abandoned:        r.counts.abandoned.Load(),
		Replaced:         r.counts.replaced.Load(),
		RejectedMessages: r.messages.RejectedCount(),
		Entries:          r.counts.entries.Load(),
	}
}
