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

// loanDuration is how long one loan lasts: three rounds of borrowing, so that
// one lost round does not end it.
const loanDuration = 3 * borrowEvery

// PermitSource asks the allocator.
type PermitSource interface {
	// AcquirePermit waits for a permit from the allocator. An error with code
	// not-owner means that no allocator is heard.
	AcquirePermit(ctx context.Context, want PermitRequest) error
}

// A Share is one host's share of the load rate. Its exported fields are set
// before use; it is safe for concurrent use.
type Share struct {
	// Host is this host.
	Host fleet.HostName
	// Rate returns the host's fixed share in loads per second. The shares of
	// all hosts sum to at most the weight store's rate.
	Rate func() float64
	// Permits asks the allocator.
	Permits PermitSource

	mutex     sync.Mutex
	lentUntil time.Time
	epoch     fleet.Epoch
	limiter   *rate.Limiter
}

// ErrLent is returned by Lend when the share is lent to a newer allocator, or
// to an earlier one whose loan has not ended.
var ErrLent = errors.New("load budget: the share is lent to another allocator")

// Lend promises not to use the own share for the duration of the loan.
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

// Acquire waits until one load may start: by permit of the allocator while the
// share is lent, otherwise from the own share. Its error is a *verdict.Error.
func (s *Share) Acquire(ctx context.Context, want PermitRequest) error {
	for {
		pause, taken := s.takeOwn(time.Now())
		if taken {
			return nil
		}
		lent := s.lentFor(time.Now())
		if lent > 0 {
			if s.Permits.AcquirePermit(ctx, want) == nil {
				return nil
			}
			// Without an allocator the share comes back when the loan ends.
			pause = min(lent, borrowEvery/4)
		}
		if ctx.Err() != nil || !duty.Sleep(ctx, pause) {
			return verdict.NewNotRun(verdict.CodeDeadline, "load budget: no permit in time")
		}
	}
}

func (s *Share) lentFor(now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lentUntil.Sub(now)
}

// takeOwn takes a load from the own share, or returns the time until one may
// be free. Nobody queues in the limiter, because a share that is lent again
// must not serve those who waited for it.
func (s *Share) takeOwn(now time.Time) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Before(s.lentUntil) {
		return 0, false
	}
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(rate.Limit(s.Rate()), 1)
		// A share that comes back starts empty: what it could have saved up
		// meanwhile was given out by the allocator.
		s.limiter.AllowN(now, 1)
	}
	s.limiter.SetLimitAt(now, rate.Limit(s.Rate()))
	if s.limiter.AllowN(now, 1) {
		return 0, true
	}
	reservation := s.limiter.ReserveN(now, 1)
	defer reservation.CancelAt(now)
	return min(max(reservation.DelayFrom(now), time.Millisecond), borrowEvery), false
}
