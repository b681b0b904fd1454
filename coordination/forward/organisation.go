package forward

import (
	"context"

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
}

// Quotas limits the requests of organisations over all hosts.
type Quotas interface {
	// Take takes units from the quota of the organisation. The error is a *verdict.Error
	// with CodeQuotaExceeded and the time after which so many units are available.
	Take(ctx context.Context, organisation *site.Organisation, units float64) (site.QuotaCharge, error)
	// Return gives back the charge of a request that no server ran.
	Return(charge site.QuotaCharge)
}

// identify sets the organisation of the request, or returns why it is refused.
func (f *Forwarder) identify(ctx context.Context, view *site.View, p *progress) *verdict.Error {
	if !view.Desired.RequiresKeys || p.route.Public {
		return nil
	}
	if !p.request.HasKey {
		return verdict.NewNotRun(verdict.CodeUnauthorized, "request has no key")
	}
	if p.organisation = view.OrganisationOf(p.request.Key); p.organisation != nil {
		return nil
	}
	organisation, err := f.Identifier.Identify(ctx, p.request.Key)
	p.organisation = organisation
	return verdict.FromError(err)
}

// runWithinQuota runs a request once its units are taken from the quota of its
// organisation. They are given back if no server has run the request.
func (f *Forwarder) runWithinQuota(ctx context.Context, p *progress) error {
	if p.organisation == nil || !p.organisation.Quota.IsLimited() {
		return f.run(ctx, p)
	}
	charge, err := f.Quotas.Take(ctx, p.organisation, p.request.quotaUnits(p.organisation.Quota))
	if err != nil {
		return err
	}
	p.charge = charge
	err = f.run(ctx, p)
	if p.runs == 0 {
		f.Quotas.Return(charge)
	}
	return err
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
