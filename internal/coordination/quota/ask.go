package quota

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

const (
	// minRetryAfter is the shortest time after which the caller of a refused request comes
	// back.
	minRetryAfter = 20 * time.Millisecond
	// unreachableRetryDelay is the shortest time after which callers come back that no
	// granter could be asked for.
	unreachableRetryDelay = 300 * time.Millisecond
)

// An ask is a request that waits for units. The goroutine of Run owns its fields, except
// that isEnded is set by whoever ends the wait.
type ask struct {
	organisation site.OrganisationName
	quota        site.Quota
	units        float64
	// isRepeat says that the units are taken even if there are none. Nobody waits for it.
	isRepeat bool
	// zones are those whose owners share the quota, in the order of preference.
	zones []string
	// tried are the zones whose owners have been asked.
	tried []string
	// isRefused means that an owner has refused the units, now or a moment ago, and
	// retryAfter is the shortest time after which one of them has the units again.
	isRefused  bool
	retryAfter time.Duration
	// isUnanswered means that the owner of one of the zones did not answer.
	isUnanswered bool
	// reply has room for one result.
	reply chan takeResult
	// isEnded means that the request no longer waits: its result is in reply or about to be,
	// or its caller has left.
	isEnded atomic.Bool
}

// A takeResult is the outcome of an ask.
type takeResult struct {
	charge site.QuotaCharge
	err    *verdict.Error
}

// recordRefusal records that an owner has no room before the given time.
func (a *ask) recordRefusal(retryAfter time.Duration) {
	if !a.isRefused || retryAfter < a.retryAfter {
		a.retryAfter = retryAfter
	}
	a.isRefused = true
}

// end reports whether the wait ends with this call, and not with an earlier one.
func (a *ask) end() bool {
	return a.isEnded.CompareAndSwap(false, true)
}

// hasTried reports whether the owner of the zone has been asked.
func (a *ask) hasTried(zone string) bool {
	return slices.Contains(a.tried, zone)
}

// refusal returns the answer to a request for which there are no units. Without an answer of
// any owner nothing is known of the quota, so that it is not called exceeded.
func (a *ask) refusal() *verdict.Error {
	if !a.isRefused {
		delay := unreachableRetryDelay + rand.N(unreachableRetryDelay)
		return &verdict.Error{
			Verdict: verdict.NotRun, Code: verdict.CodeOverloaded, RetryAfter: delay,
			Message: "the quota of organisation " + string(a.organisation) + " cannot be checked now",
		}
	}
	delay := min(max(a.retryAfter, minRetryAfter), maxRetryAfter)
	return &verdict.Error{
		Verdict: verdict.NotRun, Code: verdict.CodeQuotaExceeded, RetryAfter: delay + rand.N(delay/4),
		Message: "organisation " + string(a.organisation) + " has used up its quota",
	}
}

func newAsk(organisation *site.Organisation, units float64) *ask {
	return &ask{organisation: organisation.Name, quota: organisation.Quota, units: max(units, 0), reply: make(chan takeResult, 1)}
}

// Take takes units from the quota of the organisation.
func (l *Limiter) Take(ctx context.Context, organisation *site.Organisation, units float64) (site.QuotaCharge, error) {
	l.prepare()
	a := newAsk(organisation, units)
	if !l.messages.Offer(a) {
		return site.QuotaCharge{}, verdict.NewNotRun(verdict.CodeOverloaded, "too many requests wait for their quotas")
	}
	select {
	case result := <-a.reply:
		if result.err != nil {
			return site.QuotaCharge{}, result.err
		}
		return result.charge, nil
	case <-l.ended:
		return site.QuotaCharge{}, verdict.NewNotRun(verdict.CodeStopping, "the host is stopping")
	case <-ctx.Done():
	}
	if !a.end() {
		l.Return((<-a.reply).charge)
	}
	return site.QuotaCharge{}, &verdict.Error{
		Verdict: verdict.NotRun, Code: verdict.CodeDeadline, Cause: ctx.Err(),
		Message: "no units of the quota of organisation " + string(organisation.Name) + " came in time",
	}
}

// Renew returns the charge if its request may still be sent under it. Otherwise it gives the
// units back and takes them anew: what waited long would run in another window than the one
// in which it was counted. If that fails, nothing is charged.
func (l *Limiter) Renew(ctx context.Context, organisation *site.Organisation, charge site.QuotaCharge) (site.QuotaCharge, error) {
	if time.Since(charge.TakenAt) <= l.Tolerance.maxSendDelay(organisation.Quota) {
		return charge, nil
	}
	l.Return(charge)
	return l.Take(ctx, organisation, charge.Units)
}

// TakeRepeat takes the units of a request that has run and is sent again. It does not wait.
func (l *Limiter) TakeRepeat(organisation *site.Organisation, units float64) {
	l.prepare()
	a := newAsk(organisation, units)
	a.isRepeat = true
	l.messages.Offer(a)
}

// Return gives back the units of a request that no server ran. It does not wait.
func (l *Limiter) Return(charge site.QuotaCharge) {
	if charge.Units <= 0 {
		return
	}
	l.prepare()
	l.messages.Offer(returnedCharge(charge))
}

// A returnedCharge is the charge of a request that did not run.
type returnedCharge site.QuotaCharge

// handle records the charge for the next call to its granter.
func (r returnedCharge) handle(_ context.Context, l *Limiter, now time.Time) {
	l.recordReturn(site.QuotaCharge(r), now)
}

// handle has the ask's first owner asked.
func (a *ask) handle(ctx context.Context, l *Limiter, now time.Time) {
	a.zones = l.preferredZones(a, now)
	l.forwardAsk(ctx, a, now)
}
