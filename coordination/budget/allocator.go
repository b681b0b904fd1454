// Package budget divides the load rate of the weight store between entry hosts.
// Each host owns a share of the rate. Hosts that the allocator can reach
// lend it their shares for a bounded time, and the allocator grants permits for
// single loads from the borrowed shares. Because each share is used either by its
// host or by the allocator, the loads of all hosts together keep to the rate even
// during a network partition.
package budget

import (
	"container/heap"
	"context"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A PermitRequest is the request of an engine's owner for a permit to start one
// load.
type PermitRequest struct {
	// Engine is the engine that the adapter is to be loaded on.
	Engine fleet.EngineName
	// Priority orders the requests that wait for a permit; the highest is granted
	// first.
	Priority float64
}

// A Loan is a host's promise not to use its own share of the load rate, so that
// the allocator may use it.
type Loan struct {
	// Host is the lender.
	Host fleet.HostName
	// Rate is the lent share in loads per second.
	Rate float64
	// Duration is how long the loan lasts, counted from the lender's answer.
	Duration time.Duration
}

// Lenders is the allocator's access to the hosts that can lend their shares.
type Lenders interface {
	// Hosts returns the hosts from which heartbeats currently arrive.
	Hosts() []fleet.HostName
	// Borrow requests a loan from one host. epoch is the epoch of the
	// allocator's lease; a host refuses an epoch that is older than the newest
	// one it has lent to.
	Borrow(ctx context.Context, host fleet.HostName, epoch fleet.Epoch) (Loan, error)
}

// AllocatorLease is the lease that makes one host the allocator.
type AllocatorLease interface {
	// Valid returns the epoch of the lease and whether this host holds it now.
	Valid() (fleet.Epoch, bool)
}

// The intervals and limits of an Allocator.
const (
	// borrowInterval is the time between two rounds in which the allocator
	// requests loans from all hosts.
	borrowInterval = time.Second
	// borrowTimeout is how long the allocator waits for the answer of one host.
	borrowTimeout = 500 * time.Millisecond
	// allocatorRingCapacity is the number of permit requests and loans that may
	// wait in the allocator's ring.
	allocatorRingCapacity = 4096
	// maxSavedPermits is the most permits that accumulate while no request waits.
	// With 1, the loads in any second stay within the store's rate plus one.
	maxSavedPermits = 1.0
)

// An Allocator is the duty that borrows the shares of all hosts it can reach and
// grants permits at their total rate, with a token bucket. Its exported fields
// are set before Run. The goroutine of Run owns the unexported state; other
// goroutines send it messages through the ring.
type Allocator struct {
	// Lenders are the hosts from which the allocator borrows.
	Lenders Lenders
	// Lease says whether this host may borrow and grant permits now.
	Lease AllocatorLease

	duty.Lifecycle
	// messages carries *pendingRequest and loanMessage values to the loop.
	messages *ring.Ring[any]
	// stopped is closed when the loop has returned.
	stopped chan struct{}
	loans   map[fleet.HostName]activeLoan
	waiting requestHeap
	// tokens is the number of permits that were available at tokensUpdatedAt; it
	// is at most maxSavedPermits.
	tokens          float64
	tokensUpdatedAt time.Time
	// sequence numbers permit requests in order of arrival.
	sequence uint64
}

// An activeLoan is a loan as the allocator counts it, on its own clock.
type activeLoan struct {
	rate      float64
	expiresAt time.Time
}

// A pendingRequest is a PermitRequest whose caller waits for the reply until ctx
// ends.
type pendingRequest struct {
	request PermitRequest
	ctx     context.Context
	reply   chan error
	// sequence is the order of arrival; the loop sets it.
	sequence uint64
}

// A loanMessage passes a loan from the worker that requested it to the loop.
type loanMessage struct {
	loan        Loan
	requestedAt time.Time
}

// NewAllocator returns an Allocator that grants permits once Run is called.
func NewAllocator(lenders Lenders, lease AllocatorLease) *Allocator {
	return &Allocator{
		Lenders:  lenders,
		Lease:    lease,
		messages: ring.New[any](allocatorRingCapacity),
		stopped:  make(chan struct{}),
		loans:    make(map[fleet.HostName]activeLoan),
	}
}

// AcquirePermit waits for a permit to start one load. Its error is a
// *verdict.Error with verdict NotRun. The code is not-owner if this host has no
// loans or the allocator has stopped, deadline if ctx ends first, and overloaded
// if the ring is full.
func (a *Allocator) AcquirePermit(ctx context.Context, request PermitRequest) error {
	pending := &pendingRequest{request: request, ctx: ctx, reply: make(chan error, 1)}
	if !a.messages.Offer(pending) {
		return verdict.NewNotRun(verdict.CodeOverloaded, "load budget: too many permit requests are waiting at the allocator")
	}
	select {
	case err := <-pending.reply:
		return err
	case <-ctx.Done():
		return verdict.NewNotRun(verdict.CodeDeadline, "load budget: no permit before the deadline")
	case <-a.stopped:
		return verdict.NewNotRun(verdict.CodeNotOwner, "load budget: the allocator has stopped")
	}
}

// Run borrows shares and grants permits until ctx ends or Close is called.
func (a *Allocator) Run(ctx context.Context) error {
	return a.Lifecycle.Run(ctx, a.loop)
}

// loop receives messages, borrows once per borrowInterval, and grants permits
// after each event.
func (a *Allocator) loop(ctx context.Context) error {
	// Waiting requests fail at once when the allocator stops. Otherwise they
	// would delay the stop of this host until their own deadlines.
	defer close(a.stopped)
	borrowTicker := time.NewTicker(borrowInterval)
	defer borrowTicker.Stop()
	permitTimer := time.NewTimer(time.Hour)
	defer permitTimer.Stop()
	a.tokensUpdatedAt = time.Now()
	a.requestLoans(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case message := <-a.messages.Messages():
			a.receive(message)
		case <-borrowTicker.C:
			a.requestLoans(ctx)
		case <-permitTimer.C:
		}
		permitTimer.Reset(a.grantPermits(time.Now()))
	}
}

// receive takes a permit request or a loan from the ring into the state.
func (a *Allocator) receive(message any) {
	switch m := message.(type) {
	case *pendingRequest:
		a.sequence++
		m.sequence = a.sequence
		heap.Push(&a.waiting, m)
	case loanMessage:
		// The lender counts the duration from its answer, which was after
		// requestedAt. The allocator therefore stops using the share before the
		// lender uses it again.
		a.loans[m.loan.Host] = activeLoan{rate: m.loan.Rate, expiresAt: m.requestedAt.Add(m.loan.Duration)}
	}
}

// requestLoans requests a loan from each host, on worker goroutines, if this host
// holds the allocator's lease.
func (a *Allocator) requestLoans(ctx context.Context) {
	epoch, isAllocator := a.Lease.Valid()
	if !isAllocator {
		return
	}
	for _, host := range a.Lenders.Hosts() {
		a.Go(func() {
			callContext, cancel := context.WithTimeout(ctx, borrowTimeout)
			defer cancel()
			requestedAt := time.Now()
			loan, err := a.Lenders.Borrow(callContext, host, epoch)
			if err == nil {
				a.messages.Offer(loanMessage{loan: loan, requestedAt: requestedAt})
			}
		})
	}
}

// grantPermits adds the tokens earned since the last call and grants permits
// while there are tokens, in the order of the heap. It drops requests whose
// context has ended, and rejects all requests if there are no loans. It returns
// the time until it is to be called again.
func (a *Allocator) grantPermits(now time.Time) time.Duration {
	rate := a.borrowedRate(now)
	a.tokens = min(a.tokens+rate*now.Sub(a.tokensUpdatedAt).Seconds(), maxSavedPermits)
	a.tokensUpdatedAt = now
	for a.waiting.Len() > 0 {
		first := a.waiting[0]
		if first.ctx.Err() != nil {
			heap.Pop(&a.waiting)
			continue
		}
		if rate == 0 {
			a.rejectAll()
			return borrowInterval
		}
		if a.tokens < 1 {
			missing := (1 - a.tokens) / rate
			return max(time.Duration(missing*float64(time.Second)), time.Millisecond)
		}
		heap.Pop(&a.waiting)
		a.tokens--
		first.reply <- nil
	}
	return borrowInterval
}

// rejectAll replies to all waiting requests with code not-owner, so that the
// hosts retry and use their own shares once these are no longer lent.
func (a *Allocator) rejectAll() {
	for a.waiting.Len() > 0 {
		pending := heap.Pop(&a.waiting).(*pendingRequest)
		pending.reply <- verdict.NewNotRun(verdict.CodeNotOwner, "load budget: this host has no loans")
	}
}

// borrowedRate returns the total rate of the unexpired loans, in loads per second,
// and deletes loans that have expired. It is 0 if this host does not hold the lease.
func (a *Allocator) borrowedRate(now time.Time) float64 {
	if _, isAllocator := a.Lease.Valid(); !isAllocator {
		return 0
	}
	total := 0.0
	for host, loan := range a.loans {
		if now.After(loan.expiresAt) {
			delete(a.loans, host)
			continue
		}
		total += loan.rate
	}
	return total
}

// requestHeap is a heap of permit requests, ordered by priority and then by arrival.
type requestHeap []*pendingRequest

func (h requestHeap) Len() int { return len(h) }
func (h requestHeap) Less(i, j int) bool {
	if h[i].request.Priority != h[j].request.Priority {
		return h[i].request.Priority > h[j].request.Priority
	}
	return h[i].sequence < h[j].sequence
}
func (h requestHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *requestHeap) Push(x any)   { *h = append(*h, x.(*pendingRequest)) }
func (h *requestHeap) Pop() any {
	last := len(*h) - 1
	pending := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return pending
}
