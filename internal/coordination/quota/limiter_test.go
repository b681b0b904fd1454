package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/table"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A scriptedOwner is the owner of zone a on another host. Its fields are set before use.
type scriptedOwner struct {
	view  *site.View
	delay time.Duration
	// answer returns the answer to an ask; nil for an owner that does not answer.
	answer func(ask site.QuotaAsk) site.QuotaAnswer

	mutex    sync.Mutex
	requests []site.QuotaRequest
}

func (o *scriptedOwner) View() *site.View { return o.view }

func (o *scriptedOwner) Era() table.Era { return 1 }

func (o *scriptedOwner) OrderEpoch(string) (uint64, bool) { return 0, false }

func (o *scriptedOwner) OrderingZones() []string { return nil }

func (o *scriptedOwner) GrantQuota(ctx context.Context, _ string, request site.QuotaRequest) (site.QuotaReply, error) {
	o.mutex.Lock()
	o.requests = append(o.requests, request)
	o.mutex.Unlock()
	if o.answer == nil || !sleep(ctx, o.delay) {
		<-ctx.Done()
		return site.QuotaReply{}, errUnreachable
	}
	reply := site.QuotaReply{Epoch: 5}
	for _, ask := range request.Asks {
		reply.Answers = append(reply.Answers, o.answer(ask))
	}
	return reply, nil
}

// received returns the requests that the owner has got.
func (o *scriptedOwner) received() []site.QuotaRequest {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.requests
}

// runWithOwner runs a test with the limiter of a host whose site has the given owner.
func runWithOwner(t *testing.T, owner *scriptedOwner, test func(c *quicktest.C, l *Limiter, organisation *site.Organisation)) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		organisation := site.Organisation{Name: "o", Quota: site.Quota{Unit: site.QuotaTokens, PerSecond: 100_000, Burst: 100_000}}
		owner.view = &site.View{
			Desired: &site.DesiredState{Version: 3, Organisations: []site.Organisation{organisation}},
			Hosts: map[string]*site.Host{
				"me":    {Name: "me", Zone: "a"},
				"owner": {Name: "owner", Zone: "a", Address: "owner", OwnedZones: map[string]uint64{"a": 5}},
			},
		}
		owner.view.BuildIndex()
		regions := map[string]string{"a": "x"}
		l := &Limiter{
			Self: "me", Zone: "a", Regions: regions, Tolerance: testTolerance, Views: owner, Peers: owner, Log: zerolog.Nop(),
			Granter: &Granter{Leases: owner, Views: owner, Regions: regions, Tolerance: testTolerance},
		}
		ended := make(chan error, 1)
		go func() { ended <- l.Run(context.Background()) }()
		synctest.Wait()
		test(c, l, &organisation)
		c.Check(l.Close(), quicktest.IsNil)
		c.Check(<-ended, quicktest.IsNil)
	})
}

func granted(site.QuotaAsk) site.QuotaAnswer { return site.QuotaAnswer{Verdict: site.QuotaGranted} }

// TestWaitingRequestsShareCalls guards against a call for each request while calls are in
// flight.
func TestWaitingRequestsShareCalls(t *testing.T) {
	owner := &scriptedOwner{delay: 20 * time.Millisecond, answer: granted}
	runWithOwner(t, owner, func(c *quicktest.C, l *Limiter, organisation *site.Organisation) {
		var group sync.WaitGroup
		for range 50 {
			group.Go(func() {
				charge, err := l.Take(context.Background(), organisation, 100)
				c.Check(err, quicktest.IsNil)
				c.Check(charge.Granter, quicktest.Equals, "a")
			})
		}
		group.Wait()
		c.Check(len(owner.received()) <= 2*maxCallsInFlight, quicktest.IsTrue)
	})
}

// TestKnownDeficitNeedsNoCall guards against a call for each request of an organisation
// that is known to have no room, and against one that is never asked for again.
func TestKnownDeficitNeedsNoCall(t *testing.T) {
	owner := &scriptedOwner{answer: func(site.QuotaAsk) site.QuotaAnswer {
		return site.QuotaAnswer{Verdict: site.QuotaRefused, RetryAfter: 300 * time.Millisecond}
	}}
	runWithOwner(t, owner, func(c *quicktest.C, l *Limiter, organisation *site.Organisation) {
		for range 10 {
			_, err := l.Take(context.Background(), organisation, 1000)
			failure := verdict.FromError(err)
			c.Assert(failure, quicktest.IsNotNil)
			c.Check(failure.Code, quicktest.Equals, verdict.CodeQuotaExceeded)
			c.Check(failure.Verdict, quicktest.Equals, verdict.NotRun)
			c.Check(failure.RetryAfter >= 300*time.Millisecond && failure.RetryAfter < time.Second, quicktest.IsTrue)
		}
		c.Check(owner.received(), quicktest.HasLen, 1)
		time.Sleep(time.Second)
		_, _ = l.Take(context.Background(), organisation, 1000)
		c.Check(owner.received(), quicktest.HasLen, 2)
	})
}

// TestSilentOwner guards against requests that wait for an owner that does not answer, and
// against refusals that call a quota exceeded of which nothing is known.
func TestSilentOwner(t *testing.T) {
	runWithOwner(t, &scriptedOwner{}, func(c *quicktest.C, l *Limiter, organisation *site.Organisation) {
		began := time.Now()
		_, err := l.Take(context.Background(), organisation, 1000)
		c.Check(time.Since(began), quicktest.Equals, callTimeout)
		failure := verdict.FromError(err)
		c.Assert(failure, quicktest.IsNotNil)
		c.Check(failure.Code, quicktest.Equals, verdict.CodeOverloaded)
		c.Check(failure.Verdict, quicktest.Equals, verdict.NotRun)
		began = time.Now()
		_, err = l.Take(context.Background(), organisation, 1000)
		c.Check(err, quicktest.IsNotNil)
		c.Check(time.Since(began), quicktest.Equals, time.Duration(0))
		// One request finds out whether the owner answers again.
		time.Sleep(silenceDuration)
		go l.Take(context.Background(), organisation, 1000)
		synctest.Wait()
		began = time.Now()
		_, err = l.Take(context.Background(), organisation, 1000)
		c.Check(err, quicktest.IsNotNil)
		c.Check(time.Since(began), quicktest.Equals, time.Duration(0))
	})
}

// TestCloseEndsWaitingRequests guards against requests that wait for a duty that has ended.
func TestCloseEndsWaitingRequests(t *testing.T) {
	runWithOwner(t, &scriptedOwner{}, func(c *quicktest.C, l *Limiter, organisation *site.Organisation) {
		failures := make(chan error, 1)
		go func() {
			_, err := l.Take(context.Background(), organisation, 1000)
			failures <- err
		}()
		synctest.Wait()
		c.Assert(l.Close(), quicktest.IsNil)
		c.Check(verdict.FromError(<-failures).Code, quicktest.Equals, verdict.CodeStopping)
		_, err := l.Take(context.Background(), organisation, 1000)
		c.Check(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeStopping)
	})
}

// TestShareWithoutOwner guards against a host that has a share and refuses everything
// without an owner, and against a share that is used although the owner refuses.
func TestShareWithoutOwner(t *testing.T) {
	owner := &scriptedOwner{}
	runWithOwner(t, owner, func(c *quicktest.C, l *Limiter, organisation *site.Organisation) {
		time.Sleep(time.Hour)
		charge, err := l.Take(context.Background(), organisation, 1000)
		c.Assert(err, quicktest.IsNil)
		c.Check(charge.Granter, quicktest.Equals, "")
		c.Check(l.Counts()["o"].ShareUnits, quicktest.Equals, 1000.0)
	})
	owner = &scriptedOwner{answer: func(site.QuotaAsk) site.QuotaAnswer { return site.QuotaAnswer{Verdict: site.QuotaRefused} }}
	runWithOwner(t, owner, func(c *quicktest.C, l *Limiter, organisation *site.Organisation) {
		time.Sleep(time.Hour)
		_, err := l.Take(context.Background(), organisation, 1000)
		c.Check(err, quicktest.IsNotNil)
	})
}

// TestReturns guards against units of requests that did not run and are lost, and against
// units that are returned without the time for which they were taken.
func TestReturns(t *testing.T) {
	owner := &scriptedOwner{answer: granted}
	runWithOwner(t, owner, func(c *quicktest.C, l *Limiter, organisation *site.Organisation) {
		first, err := l.Take(context.Background(), organisation, 1000)
		c.Assert(err, quicktest.IsNil)
		second, err := l.Take(context.Background(), organisation, 300)
		c.Assert(err, quicktest.IsNil)
		l.Return(first)
		time.Sleep(2 * returnDelay)
		l.Return(second)
		time.Sleep(2 * returnDelay)
		requests := owner.received()
		c.Assert(requests, quicktest.HasLen, 4)
		c.Check(requests[2].Returns, quicktest.DeepEquals, []site.QuotaReturn{{Organisation: "o", Units: 1000, Age: returnDelay}})
		c.Check(requests[3].Returns, quicktest.DeepEquals, []site.QuotaReturn{{Organisation: "o", Units: 300, Age: 3 * returnDelay}})
		c.Check(l.Counts()["o"].ReturnedUnits, quicktest.Equals, 1300.0)
	})
}

// TestAbandonedRequestReturnsItsUnits guards against units that are lost because the caller
// left while the owner was asked.
func TestAbandonedRequestReturnsItsUnits(t *testing.T) {
	owner := &scriptedOwner{delay: 50 * time.Millisecond, answer: granted}
	runWithOwner(t, owner, func(c *quicktest.C, l *Limiter, organisation *site.Organisation) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		_, err := l.Take(ctx, organisation, 1000)
		c.Check(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeDeadline)
		time.Sleep(time.Second)
		requests := owner.received()
		c.Assert(requests, quicktest.HasLen, 2)
		c.Check(requests[1].Returns, quicktest.DeepEquals, []site.QuotaReturn{{Organisation: "o", Units: 1000, Age: returnDelay}})
	})
}

// TestCallerLeavesAsUnitsCome guards against units that are lost because the caller leaves
// while its request is granted.
func TestCallerLeavesAsUnitsCome(t *testing.T) {
	owner := &scriptedOwner{delay: 10 * time.Millisecond, answer: granted}
	runWithOwner(t, owner, func(c *quicktest.C, l *Limiter, organisation *site.Organisation) {
		var group sync.WaitGroup
		for range 3000 {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), owner.delay)
				defer cancel()
				if charge, err := l.Take(ctx, organisation, 1); err == nil {
					l.Return(charge)
				}
			})
			if rand.N(8) == 0 {
				group.Wait()
			}
		}
		group.Wait()
		time.Sleep(time.Second)
		counts := l.Counts()["o"]
		c.Check(counts.GrantedUnits > 0, quicktest.IsTrue)
		c.Check(counts.ReturnedUnits, quicktest.Equals, counts.GrantedUnits)
	})
}

// TestRepeatIsCharged guards against a second run that is not counted because its owner had
// no room, or that counts as a refusal if no owner answers.
func TestRepeatIsCharged(t *testing.T) {
	owner := &scriptedOwner{answer: func(ask site.QuotaAsk) site.QuotaAnswer {
		if ask.IsRepeat {
			return site.QuotaAnswer{Verdict: site.QuotaGranted, Room: -ask.Units}
		}
		return site.QuotaAnswer{Verdict: site.QuotaRefused}
	}}
	runWithOwner(t, owner, func(c *quicktest.C, l *Limiter, organisation *site.Organisation) {
		_, err := l.Take(context.Background(), organisation, 1000)
		c.Assert(err, quicktest.IsNotNil)
		l.TakeRepeat(organisation, 1000)
		synctest.Wait()
		requests := owner.received()
		c.Assert(requests, quicktest.HasLen, 2)
		c.Check(requests[1].Asks, quicktest.DeepEquals, []site.QuotaAsk{{Organisation: "o", Units: 1000, IsRepeat: true}})
		c.Check(l.Counts()["o"].GrantedUnits, quicktest.Equals, 1000.0)
	})
	runWithOwner(t, &scriptedOwner{}, func(c *quicktest.C, l *Limiter, organisation *site.Organisation) {
		l.TakeRepeat(organisation, 1000)
		time.Sleep(time.Second)
		c.Check(l.Counts()["o"].RefusedRequests, quicktest.Equals, int64(0))
	})
}

// TestRenew guards against a request that waited long and is sent with units of another
// window, against units that are taken twice, and against calls for requests that did not
// wait.
func TestRenew(t *testing.T) {
	owner := &scriptedOwner{answer: granted}
	runWithOwner(t, owner, func(c *quicktest.C, l *Limiter, organisation *site.Organisation) {
		first, err := l.Take(context.Background(), organisation, 1000)
		c.Assert(err, quicktest.IsNil)
		time.Sleep(testTolerance.maxSendDelay(organisation.Quota))
		same, err := l.Renew(context.Background(), organisation, first)
		c.Assert(err, quicktest.IsNil)
		c.Check(same, quicktest.Equals, first)
		time.Sleep(time.Millisecond)
		renewed, err := l.Renew(context.Background(), organisation, first)
		c.Assert(err, quicktest.IsNil)
		c.Check(renewed.TakenAt, quicktest.Equals, time.Now())
		requests := owner.received()
		c.Assert(requests, quicktest.HasLen, 2)
		c.Check(requests[1].Asks, quicktest.DeepEquals, []site.QuotaAsk{{Organisation: "o", Units: 1000}})
		c.Check(requests[1].Returns, quicktest.DeepEquals, []site.QuotaReturn{{Organisation: "o", Units: 1000, Age: time.Since(first.TakenAt)}})
	})
}

// TestRenewAsksDespiteADeficit guards against a request that is refused before its send
// because its owner had no room, although its own units come back to the owner.
func TestRenewAsksDespiteADeficit(t *testing.T) {
	owner := &scriptedOwner{answer: granted}
	runWithOwner(t, owner, func(c *quicktest.C, l *Limiter, organisation *site.Organisation) {
		charge, err := l.Take(context.Background(), organisation, 1000)
		c.Assert(err, quicktest.IsNil)
		time.Sleep(testTolerance.Window)
		owner.answer = func(site.QuotaAsk) site.QuotaAnswer { return site.QuotaAnswer{Verdict: site.QuotaRefused} }
		_, err = l.Take(context.Background(), organisation, 1000)
		c.Assert(err, quicktest.IsNotNil)
		owner.answer = granted
		_, err = l.Renew(context.Background(), organisation, charge)
		c.Check(err, quicktest.IsNil)
	})
}

// suspendedPeers are the peers of a host that is suspended for a second after each reply of
// an owner has arrived.
type suspendedPeers struct{ *scriptedOwner }

func (p suspendedPeers) GrantQuota(ctx context.Context, address string, request site.QuotaRequest) (site.QuotaReply, error) {
	reply, err := p.scriptedOwner.GrantQuota(ctx, address, request)
	time.Sleep(time.Second)
	return reply, err
}

// TestSuspendedHostRenewsItsCharges guards against a host that was suspended and sends
// requests with units that were granted long before.
func TestSuspendedHostRenewsItsCharges(t *testing.T) {
	owner := &scriptedOwner{answer: granted}
	runWithOwner(t, owner, func(c *quicktest.C, l *Limiter, organisation *site.Organisation) {
		l.Peers = suspendedPeers{owner}
		asked := time.Now()
		charge, err := l.Take(context.Background(), organisation, 1000)
		c.Assert(err, quicktest.IsNil)
		c.Check(charge.TakenAt, quicktest.Equals, asked)
		l.Peers = owner
		renewed, err := l.Renew(context.Background(), organisation, charge)
		c.Assert(err, quicktest.IsNil)
		c.Check(renewed.TakenAt, quicktest.Equals, time.Now())
	})
}

// TestStaleOwnerGrantsNothing guards against grants of a host that lost its zone to another
// one.
func TestStaleOwnerGrantsNothing(t *testing.T) {
	owner := &scriptedOwner{answer: granted}
	runWithOwner(t, owner, func(c *quicktest.C, l *Limiter, organisation *site.Organisation) {
		owner.view.Hosts["owner"].OwnedZones["a"] = 6
		_, err := l.Take(context.Background(), organisation, 1000)
		c.Check(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeOverloaded)
	})
}

// BenchmarkTake measures what a request costs its host, without the call to another host.
func BenchmarkTake(b *testing.B) {
	owner := &scriptedOwner{answer: granted}
	regions := map[string]string{"a1": "x", "a2": "x", "a3": "x", "b1": "y", "b2": "y", "b3": "y"}
	organisation := &site.Organisation{Name: "o", Quota: site.Quota{Unit: site.QuotaTokens, PerSecond: 1e12, Burst: 1e12}}
	host := &site.Host{Name: "me", Zone: "a1", OwnedZones: map[string]uint64{"a1": 1}}
	owner.view = &site.View{Desired: &site.DesiredState{Organisations: []site.Organisation{*organisation}}, Hosts: map[string]*site.Host{"me": host}}
	owner.view.BuildIndex()
	leases := &singleOwner{epoch: 1, view: owner.view}
	l := &Limiter{
		Self: "me", Zone: "a1", Regions: regions, Tolerance: testTolerance, Views: owner, Peers: owner, Log: zerolog.Nop(),
		Granter: &Granter{Leases: ownerOf{leases, "a1"}, Views: owner, Regions: regions, Tolerance: testTolerance},
	}
	go l.Run(context.Background())
	defer l.Close()
	time.Sleep(100 * time.Millisecond)
	for b.Loop() {
		if _, err := l.Take(context.Background(), organisation, 1); err != nil {
			b.Fatal(err)
		}
	}
}

// ownerOf is the leases of a host that owns one zone.
type ownerOf struct {
	*singleOwner
	zone string
}

func (o ownerOf) OrderEpoch(zone string) (uint64, bool) { return o.epoch, zone == o.zone }

func (o ownerOf) OrderingZones() []string { return []string{o.zone} }
