package forward

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A fakeIdentifier answers for keys that the view does not have.
type fakeIdentifier struct {
	organisation *site.Organisation
	err          error
	// onAsk is called with each question; it may be nil.
	onAsk func()
	asked int
}

func (i *fakeIdentifier) Identify(context.Context, site.KeyDigest) (*site.Organisation, error) {
	i.asked++
	if i.onAsk != nil {
		i.onAsk()
	}
	return i.organisation, i.err
}

func (i *fakeIdentifier) RefuseMissing() *verdict.Error {
	if i.onAsk != nil {
		i.onAsk()
	}
	return verdict.FromError(i.err)
}

// A keyedSystem is a fakeSystem whose desired state requires keys. It records refusals.
type keyedSystem struct {
	*fakeSystem

	refusals []KeyRefusal
}

func (s *keyedSystem) RecordKeyRefusal(reason KeyRefusal) { s.refusals = append(s.refusals, reason) }

// newKeyedSystem returns a system with the organisation "o", which has the key "known".
func newKeyedSystem(route site.Route) *keyedSystem {
	s := &keyedSystem{fakeSystem: newFakeSystem(route)}
	s.onSend = func(int) (Response, error) { return fakeResponse{head: ResponseHead{Status: 200, IsSigned: true}}, nil }
	s.view.Desired.RequiresKeys = true
	s.view.Desired.Organisations = []site.Organisation{{Name: "o", Priority: 1, Keys: []site.KeyDigest{site.NewKeyDigest("known")}}}
	s.view.BuildIndex()
	return s
}

// forwardKey runs a request with the key, or without one if it is empty, as the front does.
func (s *keyedSystem) forwardKey(key string, identifier *fakeIdentifier) error {
	f := &Forwarder{
		Views: s, Balancer: s, Placer: s, RetryBudget: s, Quarantine: s, Recorder: s, Identifier: identifier, Log: zerolog.Nop(),
	}
	request := &Request{AttemptID: "id", Host: "h", Path: "/x", Adapter: site.Adapter{Model: "m", Name: "a"}, Arrived: time.Now(), MaxWait: time.Second}
	request.Key, request.HasKey = site.NewKeyDigest(key), key != ""
	if failure := f.Authorize(context.Background(), request); failure != nil {
		return failure
	}
	return f.Forward(context.Background(), request, s)
}

var plainRoute = site.Route{Name: "r", Kind: site.Safe, Timeout: time.Second, Priority: 2}

// TestRequestRunsForItsOrganisation guards against a request that is sent without the name
// of its organisation, or queues without its priority.
func TestRequestRunsForItsOrganisation(t *testing.T) {
	c := quicktest.New(t)
	s, identifier := newKeyedSystem(plainRoute), &fakeIdentifier{}
	c.Assert(s.forwardKey("known", identifier), quicktest.IsNil)
	c.Check(identifier.asked, quicktest.Equals, 0)
	c.Check(s.sent[0].Organisation, quicktest.Equals, site.OrganisationName("o"))
	urgency := site.NewUrgency(&site.Organisation{Priority: 1}, &site.Route{Priority: 2})
	c.Check(s.sent[0].Priority, quicktest.Equals, urgency.Engine)
	c.Check(s.placed[0].Priority, quicktest.Equals, urgency.Queue)
}

// TestUnknownKeyIsAskedFor guards against a request with a new key that is refused, or that
// runs for no organisation.
func TestUnknownKeyIsAskedFor(t *testing.T) {
	c := quicktest.New(t)
	s, identifier := newKeyedSystem(plainRoute), &fakeIdentifier{organisation: &site.Organisation{Name: "new"}}
	c.Assert(s.forwardKey("new-key", identifier), quicktest.IsNil)
	c.Check(s.sent[0].Organisation, quicktest.Equals, site.OrganisationName("new"))
}

// TestRefusedKeyReachesNoServer guards against a request that runs although its key is
// missing, unknown or cannot be judged, and against refusals that cannot be told apart.
func TestRefusedKeyReachesNoServer(t *testing.T) {
	for _, test := range []struct {
		name, key string
		err       error
		code      verdict.Code
		reason    KeyRefusal
	}{
		{"missing", "", verdict.NewNotRun(verdict.CodeUnauthorized, "missing"), verdict.CodeUnauthorized, KeyMissing},
		{"unknown", "k", verdict.NewNotRun(verdict.CodeUnauthorized, "unknown"), verdict.CodeUnauthorized, KeyUnknown},
		{"missing, undecided", "", verdict.NewNotRun(verdict.CodeTableUnavailable, "old"), verdict.CodeTableUnavailable, KeyUndecided},
		{"undecided", "k", verdict.NewNotRun(verdict.CodeTableUnavailable, "old"), verdict.CodeTableUnavailable, KeyUndecided},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newKeyedSystem(plainRoute)
			failure := verdict.FromError(s.forwardKey(test.key, &fakeIdentifier{err: test.err}))
			c.Assert(failure, quicktest.IsNotNil)
			c.Check(failure.Code, quicktest.Equals, test.code)
			c.Check(failure.Verdict, quicktest.Equals, verdict.NotRun)
			c.Check(s.sent, quicktest.HasLen, 0)
			c.Check(s.placed, quicktest.HasLen, 0)
			c.Check(s.refusals, quicktest.DeepEquals, []KeyRefusal{test.reason})
		})
	}
}

// TestKeyRemovedBetweenHeaderAndBody guards against a request that runs with a key that was
// removed while its body arrived.
func TestKeyRemovedBetweenHeaderAndBody(t *testing.T) {
	c := quicktest.New(t)
	s := newKeyedSystem(plainRoute)
	f := &Forwarder{Views: s, Balancer: s, Placer: s, RetryBudget: s, Quarantine: s, Recorder: s, Log: zerolog.Nop(),
		Identifier: &fakeIdentifier{err: verdict.NewNotRun(verdict.CodeUnauthorized, "unknown")}}
	request := &Request{Host: "h", Path: "/x", Arrived: time.Now(), MaxWait: time.Second, HasKey: true, Key: site.NewKeyDigest("known")}
	c.Assert(f.Authorize(context.Background(), request) == nil, quicktest.IsTrue)
	s.view.Desired.Organisations = nil
	s.view.BuildIndex()
	failure := verdict.FromError(f.Forward(context.Background(), request, s))
	c.Assert(failure, quicktest.IsNotNil)
	c.Check(failure.Code, quicktest.Equals, verdict.CodeUnauthorized)
	c.Check(s.sent, quicktest.HasLen, 0)
}

// TestPublicRouteNeedsNoKey guards against a public route that refuses requests, or on which
// a key gives a request an organisation.
func TestPublicRouteNeedsNoKey(t *testing.T) {
	c := quicktest.New(t)
	public := plainRoute
	public.Public = true
	for _, key := range []string{"", "known", "unknown"} {
		s, identifier := newKeyedSystem(public), &fakeIdentifier{}
		c.Assert(s.forwardKey(key, identifier), quicktest.IsNil)
		c.Check(identifier.asked, quicktest.Equals, 0)
		c.Check(s.sent[0].Organisation, quicktest.Equals, site.OrganisationName(""))
		c.Check(s.sent[0].Priority, quicktest.Equals, 2)
		c.Check(s.placed[0].Priority, quicktest.Equals, 2)
	}
}

// TestUrgencyOfPublicRequests guards against requests on public routes that engines and owners
// order differently among those of organisations, and against other priorities than those of
// the route where no keys are required.
func TestUrgencyOfPublicRequests(t *testing.T) {
	for _, test := range []struct {
		name                    string
		priority                int
		isPublic, requiresKeys  bool
		key                     string
		wantQueue, wantAtEngine int
	}{
		{"no keys, first", 0, false, false, "", 0, 0},
		{"no keys, second", 1, false, false, "", 1, 2},
		{"no keys, public", 2, true, false, "", 2, 4},
		{"no keys, beyond the levels", 12, true, false, "", 12, 9},
		{"public, first", 0, true, true, "", 0, 0},
		{"public, second", 1, true, true, "", 1, 1},
		{"public with a key", 2, true, true, "known", 2, 2},
		{"public, beyond the levels of engines", 5, true, true, "", 5, 2},
		{"public, beyond the levels of queues", 12, true, true, "", 9, 2},
		{"organisation of priority 1, first", 0, false, true, "known", 10, 3},
		{"organisation of priority 1, second", 1, false, true, "known", 11, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			route := plainRoute
			route.Priority, route.Public = test.priority, test.isPublic
			s := newKeyedSystem(route)
			s.view.Desired.RequiresKeys = test.requiresKeys
			c.Assert(s.forwardKey(test.key, &fakeIdentifier{}), quicktest.IsNil)
			c.Check(s.placed[0].Priority, quicktest.Equals, test.wantQueue)
			c.Check(s.sent[0].Priority, quicktest.Equals, test.wantAtEngine)
		})
	}
}

// TestRouteBecomesPublicWhileKeyIsAskedFor guards against a 401 on a route that the newest
// desired state calls public, with a key or without.
func TestRouteBecomesPublicWhileKeyIsAskedFor(t *testing.T) {
	c := quicktest.New(t)
	for _, key := range []string{"k", ""} {
		s := newKeyedSystem(plainRoute)
		public := plainRoute
		public.Public = true
		next := newKeyedSystem(public).view
		identifier := &fakeIdentifier{err: verdict.NewNotRun(verdict.CodeUnauthorized, "unknown"), onAsk: func() { s.view = next }}
		c.Check(s.forwardKey(key, identifier), quicktest.IsNil)
		c.Check(s.sent, quicktest.HasLen, 1)
	}
}

// TestQuotaWithoutQuotas guards against a panic for an organisation that has a quota at a
// host that enforces none.
func TestQuotaWithoutQuotas(t *testing.T) {
	c := quicktest.New(t)
	s := newKeyedSystem(plainRoute)
	s.view.Desired.Organisations[0].Quota = site.Quota{Unit: site.QuotaRequests, PerSecond: 1}
	c.Check(s.forwardKey("known", &fakeIdentifier{}), quicktest.IsNil)
	c.Check(s.sent, quicktest.HasLen, 1)
}

// A fakeQuotas grants what its errors allow.
type fakeQuotas struct {
	takeErr, renewErr error
	renewed, returned []site.QuotaCharge
	// repeated has the units of each repeat.
	repeated []float64
}

func (q *fakeQuotas) Take(_ context.Context, organisation *site.Organisation, units float64) (site.QuotaCharge, error) {
	if q.takeErr != nil {
		return site.QuotaCharge{}, q.takeErr
	}
	return site.QuotaCharge{Organisation: organisation.Name, Units: units, Granter: "first"}, nil
}

func (q *fakeQuotas) Renew(_ context.Context, _ *site.Organisation, charge site.QuotaCharge) (site.QuotaCharge, error) {
	q.renewed = append(q.renewed, charge)
	if q.renewErr != nil {
		return site.QuotaCharge{}, q.renewErr
	}
	charge.Granter = "second"
	return charge, nil
}

func (q *fakeQuotas) TakeRepeat(_ *site.Organisation, units float64) {
	q.repeated = append(q.repeated, units)
}

func (q *fakeQuotas) Return(charge site.QuotaCharge) {
	if charge.Units > 0 {
		q.returned = append(q.returned, charge)
	}
}

// forwardWithin runs a request of an organisation with a quota.
func (s *keyedSystem) forwardWithin(quotas *fakeQuotas) error {
	s.view.Desired.Organisations[0].Quota = site.Quota{Unit: site.QuotaRequests, PerSecond: 1}
	f := &Forwarder{Views: s, Balancer: s, Placer: s, RetryBudget: s, Quarantine: s, Recorder: s, Identifier: &fakeIdentifier{}, Quotas: quotas, Log: zerolog.Nop()}
	request := &Request{
		AttemptID: "id", Host: "h", Path: "/x", Adapter: site.Adapter{Model: "m", Name: "a"}, Arrived: time.Now(), MaxWait: time.Second,
		HasKey: true, Key: site.NewKeyDigest("known"),
	}
	return f.Forward(context.Background(), request, s)
}

// TestChargeOfRequest guards against a request that runs without units, is tried again
// although the quota is exceeded, or keeps the units of a run that never was.
func TestChargeOfRequest(t *testing.T) {
	exceeded := &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeQuotaExceeded, RetryAfter: time.Second}
	success := func(int) (Response, error) { return fakeResponse{head: ResponseHead{Status: 200, IsSigned: true}}, nil }
	notSent := func(int) (Response, error) { return nil, verdict.NewNotRun(verdict.CodeBackendRefused, "refused") }
	interrupted := func(int) (Response, error) {
		return nil, verdict.NewMayHaveRun(verdict.CodeBackendRefused, nil, "reset")
	}
	second := site.QuotaCharge{Organisation: "o", Units: 1, Granter: "second"}
	for _, test := range []struct {
		name     string
		quotas   fakeQuotas
		onSend   func(int) (Response, error)
		code     verdict.Code
		sent     bool
		placed   bool
		returned []site.QuotaCharge
	}{
		{name: "runs", onSend: success, sent: true, placed: true},
		{name: "quota exceeded", quotas: fakeQuotas{takeErr: exceeded}, onSend: success, code: verdict.CodeQuotaExceeded},
		{name: "quota exceeded after a wait", quotas: fakeQuotas{renewErr: exceeded}, onSend: success, code: verdict.CodeQuotaExceeded, placed: true},
		{name: "refused by servers", onSend: notSent, code: verdict.CodeBackendRefused, sent: true, placed: true, returned: []site.QuotaCharge{second}},
		{name: "interrupted", onSend: interrupted, code: verdict.CodeBackendRefused, sent: true, placed: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newKeyedSystem(plainRoute)
			s.onSend = test.onSend
			failure := verdict.FromError(s.forwardWithin(&test.quotas))
			if test.code == "" {
				c.Check(failure == nil, quicktest.IsTrue)
			} else {
				c.Assert(failure, quicktest.IsNotNil)
				c.Check(failure.Code, quicktest.Equals, test.code)
			}
			if test.code == verdict.CodeQuotaExceeded {
				c.Check(failure.Verdict, quicktest.Equals, verdict.NotRun)
				c.Check(failure.RetryAfter, quicktest.Equals, time.Second)
				c.Check(len(test.quotas.renewed) <= 1, quicktest.IsTrue)
			}
			c.Check(len(s.sent) > 0, quicktest.Equals, test.sent)
			c.Check(len(s.placed) > 0, quicktest.Equals, test.placed)
			c.Check(test.quotas.returned, quicktest.DeepEquals, test.returned)
		})
	}
}

// TestSecondRunIsCharged guards against a request that runs on two engines and counts once.
func TestSecondRunIsCharged(t *testing.T) {
	c := quicktest.New(t)
	route := plainRoute
	route.MaxAttempts = 2
	s, quotas := newKeyedSystem(route), &fakeQuotas{}
	s.onSend = func(int) (Response, error) {
		if len(s.sent) == 1 {
			return nil, verdict.NewMayHaveRun(verdict.CodeBackendRefused, nil, "reset")
		}
		return fakeResponse{head: ResponseHead{Status: 200, IsSigned: true}}, nil
	}
	c.Assert(s.forwardWithin(quotas), quicktest.IsNil)
	c.Check(s.sent, quicktest.HasLen, 2)
	c.Check(quotas.renewed, quicktest.HasLen, 1)
	c.Check(quotas.repeated, quicktest.DeepEquals, []float64{1})
	c.Check(quotas.returned, quicktest.HasLen, 0)
}

// TestNoOrganisationsNoKeys guards against a desired state without organisations under which
// requests are refused or asked for.
func TestNoOrganisationsNoKeys(t *testing.T) {
	c := quicktest.New(t)
	s, identifier := newKeyedSystem(plainRoute), &fakeIdentifier{}
	s.view.Desired.RequiresKeys, s.view.Desired.Organisations = false, nil
	s.view.BuildIndex()
	for _, key := range []string{"", "any"} {
		c.Check(s.forwardKey(key, identifier), quicktest.IsNil)
	}
	c.Check(identifier.asked, quicktest.Equals, 0)
	c.Check(s.sent[1].Organisation, quicktest.Equals, site.OrganisationName(""))
}

// TestRefusedKeysWriteFewLogLines guards against callers that fill the log with refusals, by
// their number or by the length of their ids.
func TestRefusedKeysWriteFewLogLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const refusals = 50
		c := quicktest.New(t)
		s := newKeyedSystem(plainRoute)
		var output bytes.Buffer
		f := &Forwarder{Views: s, Recorder: s, Log: zerolog.New(&output),
			Identifier: &fakeIdentifier{err: verdict.NewNotRun(verdict.CodeUnauthorized, "unknown")}}
		refuse := func() {
			request := &Request{AttemptID: strings.Repeat("i", 1<<16), Host: "h", Path: "/x", Arrived: time.Now(), HasKey: true}
			c.Assert(f.Authorize(context.Background(), request), quicktest.IsNotNil)
		}
		for range refusals {
			refuse()
		}
		c.Check(strings.Count(output.String(), "\n"), quicktest.Equals, maxLinesPerSecond)
		c.Check(output.Len() < maxLinesPerSecond*(maxLoggedIDBytes+200), quicktest.IsTrue)
		c.Check(s.refusals, quicktest.HasLen, refusals)
		output.Reset()
		time.Sleep(time.Second)
		refuse()
		c.Check(output.String(), quicktest.Contains, fmt.Sprintf(`"omitted":%d,`, refusals-maxLinesPerSecond))
		output.Reset()
		refuse()
		c.Check(output.String(), quicktest.Contains, `"omitted":0,`)
	})
}
