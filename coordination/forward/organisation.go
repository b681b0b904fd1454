package forward

import (
	"context"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// An Identifier finds the organisation of a key.
type Identifier interface {
	// Identify returns the organisation that the key belongs to. If this host does not
	// know the key, it first learns the newest desired state. The error is a
	// *verdict.Error with verdict NotRun: CodeUnauthorized if no desired state in force
	// has the key, another code if that cannot be known now.
	Identify(ctx context.Context, key site.KeyDigest) (*site.Organisation, error)
	// RefuseMissing returns the error, with the same codes, for a request without a key on
	// a route that needs one.
	RefuseMissing() *verdict.Error
}

// Quotas limits the requests of organisations over all hosts.
type Quotas interface {
	// Take takes units from the quota of the organisation. The error is a *verdict.Error
	// with CodeQuotaExceeded and the time after which so many units are available.
	Take(ctx context.Context, organisation *site.Organisation, units float64) (site.QuotaCharge, error)
	// Renew returns a charge under which the request may be sent now: the given one, or
	// another one if it is too old. After an error, which is like that of Take, nothing is
	// charged.
	Renew(ctx context.Context, organisation *site.Organisation, charge site.QuotaCharge) (site.QuotaCharge, error)
	// TakeRepeat takes the units of a request that may have run and is sent again, even if
	// the quota is used up: a response that has begun is not refused.
	TakeRepeat(organisation *site.Organisation, units float64)
	// Return gives back the charge of a request that no server ran.
	Return(charge site.QuotaCharge)
}

// A KeyRefusal is why a request is refused for its key.
type KeyRefusal string

// The reasons for which a request is refused for its key.
const (
	// KeyMissing means that the request has no key and needs one.
	KeyMissing KeyRefusal = "missing"
	// KeyUnknown means that no organisation has the key.
	KeyUnknown KeyRefusal = "unknown"
	// KeyUndecided means that the host cannot know whether an organisation has the key, or
	// whether the request still needs one.
	KeyUndecided KeyRefusal = "undecided"
)

// Authorize returns why a request is refused for its key, or nil. It does not need the body
// of the request, and waits no longer than its client. Forward decides again, because the desired state may
// change until the body is read.
func (f *Forwarder) Authorize(ctx context.Context, request *Request) *verdict.Error {
	view := f.Views.View()
	if view.Desired == nil || !view.Desired.RequiresKeys {
		return nil
	}
	route := view.Route(request.Host, request.Path)
	if route == nil {
		return nil
	}
	_, failure := f.identify(ctx, view, route, request)
	return failure
}

// identify returns the organisation of a request, which is nil if it needs no key, or why
// the request is refused.
func (f *Forwarder) identify(ctx context.Context, view *site.View, route *site.Route, request *Request) (*site.Organisation, *verdict.Error) {
	if !needsKey(view, route) {
		return nil, nil
	}
	organisation, failure := f.findOrganisation(ctx, view, request)
	if failure == nil {
		return organisation, nil
	}
	if newest := f.Views.View(); newest != view && !needsKey(newest, newest.Route(request.Host, request.Path)) {
		return nil, nil
	}
	reason := KeyUndecided
	switch {
	case failure.Code == verdict.CodeUnauthorized && request.HasKey:
		reason = KeyUnknown
	case failure.Code == verdict.CodeUnauthorized:
		reason = KeyMissing
	}
	return nil, f.refuseKey(request, route, reason, failure)
}

// findOrganisation returns the organisation of a request that needs a key, or why none is
// found.
func (f *Forwarder) findOrganisation(ctx context.Context, view *site.View, request *Request) (*site.Organisation, *verdict.Error) {
	if !request.HasKey {
		return nil, f.Identifier.RefuseMissing()
	}
	if organisation := view.OrganisationOf(request.Key); organisation != nil {
		return organisation, nil
	}
	if request.MaxWait > 0 {
		limited, cancel := context.WithDeadline(ctx, request.Arrived.Add(request.MaxWait-finalResponseMargin))
		defer cancel()
		ctx = limited
	}
	organisation, err := f.Identifier.Identify(ctx, request.Key)
	return organisation, verdict.FromError(err)
}

// needsKey reports whether requests on the route need a key. A route that is not known
// needs one, in case it was private before.
func needsKey(view *site.View, route *site.Route) bool {
	return view.Desired != nil && view.Desired.RequiresKeys && (route == nil || !route.Public)
}

// refuseKey records that a request is refused for its key and returns the failure.
func (f *Forwarder) refuseKey(request *Request, route *site.Route, reason KeyRefusal, failure *verdict.Error) *verdict.Error {
	f.Recorder.RecordKeyRefusal(reason)
	if omitted, ok := f.refusalLines.take(time.Now()); ok {
		f.Log.Info().Str("request", request.loggedID()).Str("route", route.Name).Str("reason", string(reason)).Str("code", string(failure.Code)).
			Dur("after", time.Since(request.Arrived)).Int("omitted", omitted).Msg("request refused for its key")
	}
	return failure
}

// runWithinQuota runs a request once its units are taken from the quota of its
// organisation. They are given back if no server has run the request.
func (f *Forwarder) runWithinQuota(ctx context.Context, p *progress) error {
	if f.Quotas == nil || p.organisation == nil || !p.organisation.Quota.IsLimited() {
		return f.run(ctx, p)
	}
	charge, err := f.Quotas.Take(ctx, p.organisation, p.request.quotaUnits(p.organisation.Quota))
	if err != nil {
		return err
	}
	p.charge = charge
	err = f.run(ctx, p)
	if p.runs == 0 {
		f.Quotas.Return(p.charge)
	}
	return err
}

// chargeSend has the units of a request counted at the time of its send: those of a first
// run anew if it has waited for long, and those of each further run.
func (f *Forwarder) chargeSend(ctx context.Context, p *progress) *verdict.Error {
	if p.charge.Units <= 0 {
		return nil
	}
	if p.runs > 0 {
		f.Quotas.TakeRepeat(p.organisation, p.charge.Units)
		return nil
	}
	charge, err := f.Quotas.Renew(ctx, p.organisation, p.charge)
	p.charge = charge
	if err != nil {
		p.turnDenied = true
		return verdict.FromError(err)
	}
	return nil
}

// newUrgency returns the urgency of a request. While keys are required, requests on public
// routes have the priority of the most urgent organisations, so that they are ordered
// alike at owners and at engines.
func newUrgency(view *site.View, organisation *site.Organisation, route *site.Route) site.Urgency {
	if organisation == nil && view.Desired.RequiresKeys {
		organisation = &site.Organisation{}
	}
	return site.NewUrgency(organisation, route)
}

// quotaUnits returns what the request takes from the quota.
func (r *Request) quotaUnits(quota site.Quota) float64 {
	if quota.Unit != site.QuotaTokens {
		return 1
	}
	if tokens := r.PromptTokens + r.MaxOutputTokens; tokens > 0 {
		return float64(tokens)
	}
	return float64(quota.DefaultTokens)
}

// organisationName returns the name of the request's organisation, or an empty name.
func (p *progress) organisationName() site.OrganisationName {
	if p.organisation == nil {
		return ""
	}
	return p.organisation.Name
}
