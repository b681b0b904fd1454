package budget

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// loanDuration is how long one loan lasts. It spans three rounds of borrowing, so
// that a loan outlasts one round whose messages are lost.
const loanDuration = 3 * borrowInterval

// PermitSource is a host's access to the current allocator.
type PermitSource interface {
	// AcquirePermit waits for a permit from the allocator. An error with code
	// not-owner means that no allocator is reachable, or that it has stopped or
	// has no loans.
	AcquirePermit(ctx context.Context, request PermitRequest) error
}

// A Share is one host's own share of the load rate. Every load of an engine
// that the host owns goes through its Acquire. Exported fields are set before
// first use; a Share is safe for concurrent use.
type Share struct {
	// Host is the entry host that the share belongs to.
	Host fleet.HostName
	// Rate returns the host's current share in loads per second. The shares of
	// all hosts sum to at most the weight store's rate.
	Rate func() float64
	// Permits gives access to the allocator while the share is lent.
	Permits PermitSource

	mutex sync.Mutex
	// lentUntil is when the latest loan ends; zero if there was none.
	lentUntil time.Time
	// epoch is the newest epoch of the allocator's lease that the share was lent to.
	epoch fleet.Epoch
	// limiter limits the loads from this host's share while it is not lent. Lend
	// sets it to nil, and it is created again when the loan has ended.
	limiter *rate.Limiter
}

// ErrLent is returned by Lend if the share was lent to an allocator with a newer
// epoch, or if the loan to an allocator with an earlier epoch has not ended yet.
var ErrLent = errors.New("load budget: the share is lent to another allocator")

// Lend lends the share to the allocator with the given lease epoch for
// loanDuration, during which this host does not use it. A further call with the
// same epoch extends the loan. The error is ErrLent.
func (s *Share) Lend(epoch fleet.Epoch, now time.Time) (Loan, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if epoch < s.epoch {
		return Loan{}, ErrLent
	}
	if epoch > s.epoch && now.Before(s.lentUntil) {
		return Loan{}, ErrLent
	}
	s.epoch = epoch
	s.limiter = nil
	s.lentUntil = now.Add(loanDuration)
	return Loan{Host: s.Host, Rate: s.Rate(), Duration: loanDuration}, nil
}

// Acquire waits until one load may start. While the share is lent, it takes a
// permit from the allocator; otherwise it takes the load from this host's share. Its
// error is a *verdict.Error with verdict NotRun and code deadline.
func (s *Share) Acquire(ctx context.Context, request PermitRequest) error {
	for {
		retryDelay, acquired := s.tryAcquireOwn(time.Now())
		if acquired {
			return nil
		}
		loanRemaining := s.remainingLoan(time.Now())
		if loanRemaining > 0 {
			if s.Permits.AcquirePermit(ctx, request) == nil {
				return nil
			}
			// No permit: retry soon. If no allocator is reachable, this host's
			// share becomes usable when the loan ends.
			retryDelay = min(loanRemaining, borrowInterval/4)
		}
		if ctx.Err() != nil || !duty.Sleep(ctx, retryDelay) {
			return verdict.NewNotRun(verdict.CodeDeadline, "load budget: no permit before the deadline")
		}
	}
}

// remainingLoan returns how long the share is still lent; it is zero or less if
// the share is not lent.
func (s *Share) remainingLoan(now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lentUntil.Sub(now)
}

// tryAcquireOwn takes one load from this host's share and returns true, or returns
// the delay after which to try again. It leaves no reservation in the limiter:
// if the share is lent again, a reservation would allow a load from a lent share.
func (s *Share) tryAcquireOwn(now time.Time) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Before(s.lentUntil) {
		return 0, false
	}
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(rate.Limit(s.Rate()), 1)
		// After a loan the limiter starts without tokens, because the allocator
		// has already given out the rate of that time.
		s.limiter.AllowN(now, 1)
	}
	s.limiter.SetLimitAt(now, rate.Limit(s.Rate()))
	if s.limiter.AllowN(now, 1) {
		return 0, true
	}
	reservation := s.limiter.ReserveN(now, 1)
	defer reservation.CancelAt(now)
	return min(max(reservation.DelayFrom(now), time.Millisecond), borrowInterval), false
}
