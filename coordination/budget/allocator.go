// Package budget shares the weight store's load rate between entry hosts. Each
// host owns a fixed share. Hosts that hear the allocator lend it their shares
// for a bounded time, so that the sum of all loads never exceeds the rate, even
// when hosts cannot hear each other.
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

// A PermitRequest asks for the permit to start one load.
type PermitRequest struct {
	// Engine is the engine that is to load.
	Engine fleet.EngineName
	// Priority orders wants; the highest goes first.
	Priority float64
}

// A Loan is a host's promise not to use its own share.
type Loan struct {
	// Host is the lender.
	Host fleet.HostName
	// Rate is the lent share in loads per second.
	Rate float64
	// Duration is how long the loan lasts, from when the lender answered.
	Duration time.Duration
}

// Lenders asks hosts for loans.
type Lenders interface {
	// Hosts returns the hosts that are heard now.
	Hosts() []fleet.HostName
	// Borrow asks one host for a loan. epoch is the epoch of the allocator's
	// lease; a host lends to the newest epoch that it has seen.
	Borrow(ctx context.Context, host fleet.HostName, epoch fleet.Epoch) (Loan, error)
}

// AllocatorLease says whether this host is the allocator.
type AllocatorLease interface {
	// Valid returns the epoch of the lease and whether it is valid now.
	Valid() (fleet.Epoch, bool)
}

// The limits of an Allocator.
const (
	// borrowEvery is the time between two rounds of loans.
	borrowEvery = time.Second
	// borrowTimeout is the longest that one host may take to answer.
	borrowTimeout = 500 * time.Millisecond
	// allocatorRing is the room for wants and loans on their way.
	allocatorRing = 4096
	// burst is the most permits saved up while nobody wants any. One permit
	// keeps every interval of a second within the store's rate plus one.
	burst = 1.0
)

// An Allocator is the duty that gives out permits from the loans of all hosts
// that it hears. Its exported fields are set before Run.
type Allocator struct {
	// Lenders are asked for loans once per second while Lease says so.
	Lenders Lenders
	Lease   AllocatorLease

	duty.Lifecycle
	messages *ring.Ring[any]
	ended    chan struct{}
	loans    map[fleet.HostName]activeLoan
	waiting  wantHeap
	tokens   float64
	counted  time.Time
	sequence uint64
}

type activeLoan struct {
	rate  float64
	until time.Time
}

type pendingWant struct {
	want     PermitRequest
	ctx      context.Context
	reply    chan error
	sequence uint64
}

type loanMessage struct {
	loan  Loan
	asked time.Time
}

// NewAllocator returns an Allocator that is not running yet.
func NewAllocator(lenders Lenders, lease AllocatorLease) *Allocator {
	return &Allocator{
		Lenders:  lenders,
		Lease:    lease,
		messages: ring.New[any](allocatorRing),
		ended:    make(chan struct{}),
		loans:    make(map[fleet.HostName]activeLoan),
	}
}

// AcquirePermit waits until one load may start. Its error is a *verdict.Error.
func (a *Allocator) AcquirePermit(ctx context.Context, want PermitRequest) error {
	pending := &pendingWant{want: want, ctx: ctx, reply: make(chan error, 1)}
	if !a.messages.Offer(pending) {
		return verdict.NewNotRun(verdict.CodeOverloaded, "load budget: the ring is full")
	}
	select {
	case err := <-pending.reply:
		return err
	case <-ctx.Done():
		return verdict.NewNotRun(verdict.CodeDeadline, "load budget: no permit in time")
	case <-a.ended:
		return verdict.NewNotRun(verdict.CodeNotOwner, "load budget: the allocator has stopped")
	}
}

// Run gives out permits until ctx ends or Close.
func (a *Allocator) Run(ctx context.Context) error {
	return a.Lifecycle.Run(ctx, a.loop)
}

func (a *Allocator) loop(ctx context.Context) error {
	// Wants must not hold up the stop of this host until their own limits.
	defer close(a.ended)
	borrow := time.NewTicker(borrowEvery)
	defer borrow.Stop()
	next := time.NewTimer(time.Hour)
	defer next.Stop()
	a.counted = time.Now()
	a.borrow(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case message := <-a.messages.Messages():
			a.receive(message)
		case <-borrow.C:
			a.borrow(ctx)
		case <-next.C:
		}
		next.Reset(a.serve(time.Now()))
	}
}

func (a *Allocator) receive(message any) {
	switch m := message.(type) {
	case *pendingWant:
		a.sequence++
		m.sequence = a.sequence
		heap.Push(&a.waiting, m)
	case loanMessage:
		// The lender counted from its answer, which was after asked.
		a.loans[m.loan.Host] = activeLoan{rate: m.loan.Rate, until: m.asked.Add(m.loan.Duration)}
	}
}

// borrow asks all hosts for loans on worker goroutines.
func (a *Allocator) borrow(ctx context.Context) {
	epoch, allocating := a.Lease.Valid()
	if !allocating {
		return
	}
	for _, host := range a.Lenders.Hosts() {
		a.Go(func() {
			callContext, cancel := context.WithTimeout(ctx, borrowTimeout)
			defer cancel()
			asked := time.Now()
			loan, err := a.Lenders.Borrow(callContext, host, epoch)
			if err == nil {
				a.messages.Offer(loanMessage{loan: loan, asked: asked})
			}
		})
	}
}

// serve gives permits while there are tokens and returns the time to the next one.
func (a *Allocator) serve(now time.Time) time.Duration {
	rate := a.rate(now)
	a.tokens = min(a.tokens+rate*now.Sub(a.counted).Seconds(), burst)
	a.counted = now
	for a.waiting.Len() > 0 {
		first := a.waiting[0]
		if first.ctx.Err() != nil {
			heap.Pop(&a.waiting)
			continue
		}
		if rate == 0 {
			a.refuseAll()
			return borrowEvery
		}
		if a.tokens < 1 {
			missing := (1 - a.tokens) / rate
			return max(time.Duration(missing*float64(time.Second)), time.Millisecond)
		}
		heap.Pop(&a.waiting)
		a.tokens--
		first.reply <- nil
	}
	return borrowEvery
}

// refuseAll sends the waiting wants back, so that their hosts can use their
// own shares.
func (a *Allocator) refuseAll() {
	for a.waiting.Len() > 0 {
		pending := heap.Pop(&a.waiting).(*pendingWant)
		pending.reply <- verdict.NewNotRun(verdict.CodeNotOwner, "load budget: this host has no loans")
	}
}

// rate sums the loans in force.
func (a *Allocator) rate(now time.Time) float64 {
	if _, allocating := a.Lease.Valid(); !allocating {
		return 0
	}
	total := 0.0
	for host, loan := range a.loans {
		if now.After(loan.until) {
			delete(a.loans, host)
			continue
		}
		total += loan.rate
	}
	return total
}

// wantHeap orders wants by priority, then by arrival.
type wantHeap []*pendingWant

func (h wantHeap) Len() int { return len(h) }
func (h wantHeap) Less(i, j int) bool {
	if h[i].want.Priority != h[j].want.Priority {
		return h[i].want.Priority > h[j].want.Priority
	}
	return h[i].sequence < h[j].sequence
}
func (h wantHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *wantHeap) Push(x any)   { *h = append(*h, x.(*pendingWant)) }
func (h *wantHeap) Pop() any {
	last := len(*h) - 1
	pending := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return pending
}
