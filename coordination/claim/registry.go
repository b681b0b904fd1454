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

// Settings bound a Registry. A zero field means its default.
type Settings struct {
	// GroupCommitDelay is how long a write waits for others while transactions are not
	// limited by TransactionRate; default 2 ms.
	GroupCommitDelay time.Duration
	// TransactionRate is how many transactions this host sends per second once
	// TransactionBurst is used up; a group then waits longer and grows. The
	// hosts of a deployment together stay below the several hundred writes per
	// second of the table: 9 hosts at the default send at most 360. Default 40.
	TransactionRate float64
	// TransactionBurst is how many transactions go without that wait; default 20.
	TransactionBurst int
	// GroupWriteLimit is the most writes in one transaction; default 64.
	GroupWriteLimit int
	// InFlightLimit is the most transactions and reads in flight; default 4.
	InFlightLimit int
	// PeerQueryLimit is the most questions to other hosts in flight; default 16.
	PeerQueryLimit int
	// Capacity is the most keys and the most waiting callers; default 4096.
	Capacity int
	// RetainedBytesLimit is the most memory for answers that wait to be recorded.
	// Beyond it, outcomes are recorded without their answers. Default 16 MiB.
	RetainedBytesLimit int
	// OperationTimeout is the longest time for one operation; default 1 s.
	OperationTimeout time.Duration
	// TableFailureTimeout is how long the table may fail before a claim is refused;
	// default 1 s.
	TableFailureTimeout time.Duration
	// CloseTimeout is how long Close waits for held claims and for the table;
	// default 10 s.
	CloseTimeout time.Duration
}

// A Registry makes and resolves the claims of one host. It is a duty: Run
// starts it, Close ends it and waits. Its exported fields are set before Run
// and before the first call of another method, and not changed afterwards.
type Registry struct {
	// Host and Start identify this process in its claims. A restarted process
	// has a higher Start.
	Host  fleet.HostName
	Start fleet.StartNumber
	// Table keeps the claims.
	Table Table
	// Peers asks other hosts about their claims.
	Peers PeerClient
	// Settings bound the Registry.
	Settings Settings

	lifecycle duty.Lifecycle
	once      sync.Once
	endOnce   sync.Once
	settings  Settings
	messages  *ring.Ring[message]
	// resolutions has a place for each claim that can be held, so that the
	// outcome of a run is not refused by a full ring.
	resolutions *ring.Ring[*resolution]
	// reports has a place for each worker.
	reports *ring.Ring[report]
	ended   chan struct{}
	counts  counters
}

type counters struct {
	granted, transactions, writes, abandoned, replaced, entries atomic.Uint64
}

var errNotRunning = errors.New("registry has ended")

// prepare sets the defaults and makes the rings.
func (r *Registry) prepare() {
	r.once.Do(func() {
		s := r.Settings
		r.settings = Settings{
			GroupCommitDelay:    cmp.Or(s.GroupCommitDelay, defaultGroupWait),
			TransactionRate:     cmp.Or(s.TransactionRate, defaultTransactionRate),
			TransactionBurst:    cmp.Or(s.TransactionBurst, defaultTransactionBurst),
			GroupWriteLimit:     cmp.Or(s.GroupWriteLimit, defaultGroupLimit),
			InFlightLimit:       cmp.Or(s.InFlightLimit, defaultInFlight),
			PeerQueryLimit:      cmp.Or(s.PeerQueryLimit, defaultQuestions),
			Capacity:            cmp.Or(s.Capacity, defaultCapacity),
			RetainedBytesLimit:  cmp.Or(s.RetainedBytesLimit, defaultRetainedBytes),
			OperationTimeout:    cmp.Or(s.OperationTimeout, defaultOperationLimit),
			TableFailureTimeout: cmp.Or(s.TableFailureTimeout, defaultSettleLimit),
			CloseTimeout:        cmp.Or(s.CloseTimeout, defaultCloseLimit),
		}
		r.messages = ring.New[message](r.settings.Capacity)
		r.resolutions = ring.New[*resolution](r.settings.Capacity)
		r.reports = ring.New[report](r.settings.InFlightLimit + r.settings.PeerQueryLimit)
		r.ended = make(chan struct{})
	})
}

// Run makes and resolves claims until ctx ends or Close is called. It then
// refuses new claims, waits up to CloseTimeout for held claims to be resolved and
// abandoned ones to be removed, and returns.
func (r *Registry) Run(ctx context.Context) error {
	r.prepare()
	return r.lifecycle.Run(ctx, func(ctx context.Context) error {
		defer r.end()
		l := &loop{
			registry: r,
			entries:  make(map[booking.Key]*entry),
			pace:     rate.NewLimiter(rate.Limit(r.settings.TransactionRate), r.settings.TransactionBurst),
		}
		return l.run(ctx)
	})
}

// Close ends the Registry and waits until Run has returned.
func (r *Registry) Close() error {
	r.prepare()
	err := r.lifecycle.Close()
	r.end()
	return err
}

func (r *Registry) end() {
	r.endOnce.Do(func() { close(r.ended) })
}

// Claim returns a ticket to run the request, or the recorded outcome of an
// earlier try. While an earlier try is unresolved, it waits until the request's
// deadline. Its error is a *verdict.Error; NotRun means that this try did not
// run and never will. The holder of a ticket calls Resolve once.
func (r *Registry) Claim(ctx context.Context, req *request.Request) (booking.ClaimHandle, *booking.Outcome, error) {
	r.prepare()
	if failure := checkIdentifier(req.ID, time.Now()); failure != nil {
		return booking.ClaimHandle{}, nil, failure
	}
	a := newAttempt(booking.Key{Application: req.Application, Caller: req.Caller, Request: req.ID}, req.Deadline)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	if !r.messages.Offer(message{claim: a}) {
		return booking.ClaimHandle{}, nil, a.refusal(verdict.CodeOverloaded, time.Second, nil)
	}
	select {
	case answer := <-a.reply:
		return r.answer(answer)
	case <-ctx.Done():
		return r.withdraw(a, codeOf(ctx.Err()), ctx.Err())
	case <-r.ended:
		return r.withdraw(a, verdict.CodeStopping, errNotRunning)
	}
}

func codeOf(err error) verdict.Code {
	if errors.Is(err, context.DeadlineExceeded) {
		return verdict.CodeDeadline
	}
	return verdict.CodeCanceled
}

// withdraw ends the wait of a caller, unless the answer came first.
func (r *Registry) withdraw(a *attempt, code verdict.Code, cause error) (booking.ClaimHandle, *booking.Outcome, error) {
	if !a.withdraw() {
		return r.answer(<-a.reply)
	}
	// A refused message is no loss: the duty drops the attempt at its deadline.
	r.messages.Offer(message{withdrawn: a.key})
	return booking.ClaimHandle{}, nil, a.refusal(code, 0, cause)
}

func (r *Registry) answer(answer attemptAnswer) (booking.ClaimHandle, *booking.Outcome, error) {
	if answer.failure != nil {
		return booking.ClaimHandle{}, nil, answer.failure
	}
	if answer.outcome == nil {
		r.counts.granted.Add(1)
	}
	return answer.ticket, answer.outcome, nil
}

// Resolve records the outcome of a claimed request and waits for the table. A
// NotRun outcome gives the claim up, so that a retry may run. When ctx ends
// first, the Registry goes on recording in the background. The error is a
// *verdict.Error.
func (r *Registry) Resolve(ctx context.Context, ticket booking.ClaimHandle, outcome booking.Outcome) error {
	r.prepare()
	resolved := &resolution{token: ticket.Token, key: ticket.Key, outcome: outcome, reply: make(chan error, 1)}
	if !r.resolutions.Offer(resolved) {
		return verdict.NewMayHaveRun(verdict.CodeOverloaded, nil, "outcome of request %s was refused: more outcomes than claims", ticket.Key.Request)
	}
	select {
	case err := <-resolved.reply:
		return err
	case <-ctx.Done():
		return verdict.NewMayHaveRun(verdict.CodeTableUnavailable, ctx.Err(), "outcome of request %s is not recorded yet", ticket.Key.Request)
	case <-r.ended:
		return r.resolvedAtEnd(resolved)
	}
}

// resolvedAtEnd prefers a result that came together with the end.
func (r *Registry) resolvedAtEnd(resolved *resolution) error {
	select {
	case err := <-resolved.reply:
		return err
	default:
		return verdict.NewMayHaveRun(verdict.CodeStopping, errNotRunning, "outcome of request %s was not recorded", resolved.key.Request)
	}
}

// Status returns what this host knows of a claim that it made. It answers
// booking.StatusUnknown when the Registry is overloaded or has ended. It waits
// for Run to start.
func (r *Registry) Status(key booking.Key, token booking.ClaimToken) booking.ClaimStatus {
	r.prepare()
	q := &question{key: key, token: token, reply: make(chan booking.ClaimStatus, 1)}
	if !r.messages.Offer(message{question: q}) {
		return booking.StatusUnknown
	}
	select {
	case status := <-q.reply:
		return status
	case <-r.ended:
		return booking.StatusUnknown
	}
}

// Counts returns the events since the start.
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
