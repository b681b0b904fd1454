package forward

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/coordination/execution"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A fakeSystem stands in for everything that a Forwarder depends on. Tests
// replace onPlace and onSend.
type fakeSystem struct {
	view   *site.View
	synced chan struct{}
	loaded bool
	// onPlace handles requests for admission, and onSend the n-th send.
	onPlace func(ctx context.Context, request site.PlaceRequest) error
	onSend  func(n int) (Response, error)
	// onSendContext replaces onSend if it is set.
	onSendContext func(ctx context.Context) (Response, error)
	retriesLeft   int

	placed   []site.PlaceRequest
	sent     []SendOptions
	failures int
}

func newFakeSystem(route site.Route) *fakeSystem {
	route.Host, route.Prefix, route.MaxAttempts = "h", "/", max(route.MaxAttempts, 1)
	route.WeightedServices = []site.WeightedService{{Service: "s", Weight: 1}}
	r := &fakeSystem{synced: make(chan struct{}), loaded: true, retriesLeft: 10}
	close(r.synced)
	r.view = &site.View{
		Desired: &site.DesiredState{Routes: []site.Route{route}, Services: map[site.ServiceName]*site.Service{"s": {Name: "s", Engines: &site.EngineSpec{}}}},
		Servers: map[site.ServerID]*site.Server{"e": {Incarnation: site.Incarnation{ID: "e"}, Service: "s", State: site.Ready}},
	}
	r.view.BuildIndex()
	r.onPlace = func(context.Context, site.PlaceRequest) error { return nil }
	return r
}

func (r *fakeSystem) View() *site.View        { return r.view }
func (r *fakeSystem) Synced() <-chan struct{} { return r.synced }

func (r *fakeSystem) Choose(w balance.ServerRequirements) (balance.Pick, error) {
	if len(w.Tried) > 0 {
		return balance.Pick{}, verdict.NewNotRun(verdict.CodeOverloaded, "all tried")
	}
	return balance.Pick{Server: r.view.Servers["e"], Loaded: r.loaded}, nil
}
func (r *fakeSystem) RecordForward(*site.Server, site.Adapter)                    {}
func (r *fakeSystem) Done(*site.Server, site.Adapter, bool)                       {}
func (r *fakeSystem) ChooseReplicaTarget(balance.ServerRequirements) *site.Server { return nil }
func (r *fakeSystem) RecordBegun(*site.Server, int, time.Duration)                {}
func (r *fakeSystem) RecordResponse(*site.Server, *balance.LoadReport)            {}
func (r *fakeSystem) RecordFailure(*site.Server)                                  { r.failures++ }
func (r *fakeSystem) RecordLoaded(*site.Server, site.Adapter, int)                {}
func (r *fakeSystem) RecordRateLimit(*site.Server, float64) bool                  { return false }
func (r *fakeSystem) RecordLeaving(*site.Server) bool                             { return true }
func (r *fakeSystem) RecordPause(*site.Server, time.Duration)                     {}
func (r *fakeSystem) IsAvailable(*site.Server) bool                               { return true }
func (r *fakeSystem) RecordTurn(*site.Server, bool)                               {}
func (r *fakeSystem) RecordTurnRefused(*site.Server, time.Duration)               {}
func (r *fakeSystem) StatedLimit(*site.Server) site.StatedLimit                   { return site.StatedLimit{} }
func (r *fakeSystem) TakeShare(*site.Server) bool                                 { return true }
func (r *fakeSystem) RecordNotLoaded(*site.Server, site.Adapter)                  { r.loaded = false }
func (r *fakeSystem) Prefetch(*site.Server, site.PlaceRequest)                    {}
func (r *fakeSystem) CountRequest(string)                                         {}
func (r *fakeSystem) ResponseStarted() bool                                       { return false }
func (r *fakeSystem) Watch(site.ServiceName, []string, func()) func()             { return func() {} }
func (r *fakeSystem) AwaitEvidence(context.Context)                               {}
func (r *fakeSystem) BlockedFor(site.ServiceName, []string) time.Duration         { return 0 }
func (r *fakeSystem) RecordInterruption(context.Context, *site.Server, []string)  {}
func (r *fakeSystem) RecordSound(site.ServiceName, []string)                      {}
func (r *fakeSystem) RecordRefusal(site.ServiceName, execution.Doubt)             {}
func (r *fakeSystem) RecordKeyRefusal(KeyRefusal)                                 {}
func (r *fakeSystem) AllowRetry(string) bool                                      { r.retriesLeft--; return r.retriesLeft >= 0 }
func (r *fakeSystem) RecordRequest(*site.Route, site.ServiceName, time.Time, int, time.Duration, *verdict.Error) {
}

func (r *fakeSystem) Place(ctx context.Context, _ *site.Server, request site.PlaceRequest) (site.Placement, error) {
	r.placed = append(r.placed, request)
	return site.Placement{}, r.onPlace(ctx, request)
}

func (r *fakeSystem) Send(ctx context.Context, _ *site.Server, options SendOptions) (Response, error) {
	r.sent = append(r.sent, options)
	if r.onSendContext != nil {
		return r.onSendContext(ctx)
	}
	return r.onSend(len(r.sent))
}

// A fakeResponse is a Response whose delivery returns err.
type fakeResponse struct {
	head ResponseHead
	err  error
}

func (e fakeResponse) Head() ResponseHead                                    { return e.head }
func (e fakeResponse) DeliverBody(context.Context) error                     { return e.err }
func (e fakeResponse) DeliverStream(context.Context, DeliveryObserver) error { return e.err }
func (e fakeResponse) Discard()                                              {}
func (e fakeResponse) Abort()                                                {}

// forward sends one request for an adapter through a Forwarder and returns its
// error and how long it took.
func (r *fakeSystem) forward() (*verdict.Error, time.Duration) {
	return r.forwardWith(r)
}

// forwardWith does the same with another Quarantine.
func (r *fakeSystem) forwardWith(quarantine Quarantine) (*verdict.Error, time.Duration) {
	f := &Forwarder{Views: r, Balancer: r, Placer: r, RetryBudget: r, Quarantine: quarantine, Recorder: r, Log: zerolog.Nop()}
	began := time.Now()
	request := &Request{AttemptID: "id", Host: "h", Path: "/x", Adapter: site.Adapter{Model: "m", Name: "a"}, Arrived: began, MaxWait: 12 * time.Second}
	return verdict.FromError(f.Forward(context.Background(), request, r)), time.Since(began)
}

// waitForDeadline is an onPlace function that never admits a request.
func waitForDeadline(ctx context.Context, _ site.PlaceRequest) error {
	<-ctx.Done()
	return verdict.NewNotRun(verdict.CodeDeadline, "no turn")
}

var chatRoute = site.Route{Kind: site.Streaming, Resumable: true, Timeout: 12 * time.Second, TargetLatency: 600 * time.Millisecond, TargetEventGap: 300 * time.Millisecond, MaxAttempts: 2}

// TestUnsentStreamIsRefusedBeforeItsCallerLeaves guards against requests that
// wait for a load until their caller has given up, so that the caller gets no
// refusal to retry on.
func TestUnsentStreamIsRefusedBeforeItsCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		r := newFakeSystem(chatRoute)
		r.loaded, r.onPlace = false, waitForDeadline
		failure, took := r.forward()
		c.Assert(failure.Verdict, quicktest.Equals, verdict.NotRun)
		c.Assert(failure.RetryAfter > 0, quicktest.IsTrue)
		c.Assert(took > time.Second && took < 2300*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", took))
		c.Assert(r.sent, quicktest.HasLen, 0)
	})
}

// TestNothingIsSentAfterEngineOrCallerLeft guards against sends to an engine
// that started draining or became unavailable while the request waited for
// admission, and sends for a caller that has left meanwhile.
func TestNothingIsSentAfterEngineOrCallerLeft(t *testing.T) {
	for _, test := range []struct {
		name string
		wait func(r *fakeSystem, leave context.CancelFunc)
	}{
		{"engine starts draining", func(r *fakeSystem, _ context.CancelFunc) {
			r.view.Servers = map[site.ServerID]*site.Server{"e": {Incarnation: site.Incarnation{ID: "e"}, Service: "s", State: site.Draining}}
		}},
		{"engine is removed", func(r *fakeSystem, _ context.CancelFunc) { r.view.Servers = nil }},
		{"caller leaves", func(_ *fakeSystem, leave context.CancelFunc) { leave() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				r := newFakeSystem(chatRoute)
				r.onSend = func(int) (Response, error) {
					return fakeResponse{head: ResponseHead{Status: 200, IsSigned: true, IsEventStream: true}}, nil
				}
				chosen := r.view.Servers["e"]
				ctx, leave := context.WithCancel(context.Background())
				defer leave()
				r.onPlace = func(context.Context, site.PlaceRequest) error {
					test.wait(r, leave)
					return verdict.NewNotRun(verdict.CodeNotOwner, "the owner did not respond")
				}
				f := &Forwarder{Views: r, Balancer: &fixedBalancer{fakeSystem: r, server: chosen}, Placer: r, RetryBudget: r, Quarantine: r, Recorder: r, Log: zerolog.Nop()}
				request := &Request{AttemptID: "id", Host: "h", Path: "/x", Adapter: site.Adapter{Model: "m", Name: "a"}, Arrived: time.Now(), MaxWait: time.Second}
				c.Assert(f.Forward(ctx, request, r), quicktest.IsNotNil)
				c.Assert(r.sent, quicktest.HasLen, 0)
			})
		})
	}
}

// A fixedBalancer chooses the same server until a server was tried.
type fixedBalancer struct {
	*fakeSystem

	server *site.Server
}

func (f *fixedBalancer) Choose(w balance.ServerRequirements) (balance.Pick, error) {
	if len(w.Tried) > 0 {
		return balance.Pick{}, verdict.NewNotRun(verdict.CodeOverloaded, "all tried")
	}
	return balance.Pick{Server: f.server, Loaded: true}, nil
}

// TestRequestThatWaitsGetsNewestVersion guards against a request that begins on the version of
// its adapter that was the newest one before it waited for a turn.
func TestRequestThatWaitsGetsNewestVersion(t *testing.T) {
	for _, isDenied := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			r := newFakeSystem(chatRoute)
			adapter := site.Adapter{Model: "m", Name: "a"}
			r.view.Versions = map[site.Adapter]int{adapter: 1}
			r.onPlace = func(context.Context, site.PlaceRequest) error {
				time.Sleep(time.Second)
				if len(r.placed) > 1 {
					return nil
				}
				newer := *r.view
				newer.Versions = map[site.Adapter]int{adapter: 2}
				r.view = &newer
				if isDenied {
					return verdict.NewNotRun(verdict.CodeDeadline, "no turn")
				}
				return nil
			}
			r.onSend = func(int) (Response, error) {
				return fakeResponse{head: ResponseHead{Status: 200, IsEventStream: true, IsSigned: true}}, nil
			}
			failure, _ := r.forward()
			c.Assert(failure == nil, quicktest.IsTrue, quicktest.Commentf("%v", failure))
			c.Assert(r.placed, quicktest.HasLen, 2)
			c.Check(r.placed[1].MinVersion, quicktest.Equals, 2)
			c.Assert(r.sent, quicktest.HasLen, 1)
			c.Check(r.sent[0].Version, quicktest.Equals, 2)
		})
	}
}

// TestLoadedAdapterNeedsNoOwner guards against requests that wait for an owner
// that does not respond although the engine holds their adapter.
func TestLoadedAdapterNeedsNoOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		r := newFakeSystem(chatRoute)
		r.onPlace = waitForDeadline
		r.onSend = func(int) (Response, error) {
			return fakeResponse{head: ResponseHead{Status: 200, IsSigned: true, IsEventStream: true}}, nil
		}
		failure, took := r.forward()
		c.Assert(failure == nil, quicktest.IsTrue)
		c.Assert(took, quicktest.Equals, admissionTimeout)
	})
}

// TestBusyEngineGetsNoRequestWithoutTurn guards against requests that are sent to an engine
// although its owner says that it has more prompts than it can read.
func TestBusyEngineGetsNoRequestWithoutTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		r := newFakeSystem(chatRoute)
		r.onPlace = func(ctx context.Context, _ site.PlaceRequest) error {
			time.Sleep(admissionTimeout / 2)
			return verdict.NewNotRun(verdict.CodeOverloaded, "the engine reads the prompts of other requests")
		}
		failure, _ := r.forward()
		c.Assert(failure.Verdict, quicktest.Equals, verdict.NotRun)
		c.Assert(r.sent, quicktest.HasLen, 0)
	})
}

// TestLateAdmissionLeavesTimeToAnswer guards against a request that waits for its
// admission until its caller is about to leave, and is then sent although nobody
// waits for the response.
func TestLateAdmissionLeavesTimeToAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		r := newFakeSystem(chatRoute)
		began := time.Now()
		r.loaded = false
		r.onPlace = func(ctx context.Context, request site.PlaceRequest) error {
			if r.loaded {
				return waitForDeadline(ctx, request)
			}
			time.Sleep(100 * time.Millisecond)
			r.loaded = time.Since(began) > 1500*time.Millisecond
			return verdict.NewNotRun(verdict.CodeOverloaded, "engine is full")
		}
		var sentAfter time.Duration
		r.onSend = func(int) (Response, error) {
			sentAfter = time.Since(began)
			return fakeResponse{head: ResponseHead{Status: 200, IsSigned: true, IsEventStream: true}}, nil
		}
		_, took := r.forward()
		c.Assert(took <= 1900*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", took))
		c.Assert(sentAfter <= 1900*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", sentAfter))
	})
}

// TestDeniedAdapterIsRequestedAgain guards against a request that fails because
// its adapter was unloaded while the request was on its way to the engine.
func TestDeniedAdapterIsRequestedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		r := newFakeSystem(chatRoute)
		r.onSend = func(n int) (Response, error) {
			if n == 1 {
				return fakeResponse{head: ResponseHead{Status: 421, Evidence: execution.Evidence{IsStated: true}, Misdirected: true, FromExpectedServer: true}}, nil
			}
			return fakeResponse{head: ResponseHead{Status: 200, IsSigned: true, IsEventStream: true}}, nil
		}
		failure, _ := r.forward()
		c.Assert(failure == nil, quicktest.IsTrue)
		c.Assert(r.placed[1].AdapterMissing, quicktest.IsTrue)
		c.Assert(r.failures, quicktest.Equals, 0)
	})
}

// TestRetriesKeepToRouteAndBudget guards against a second run of a request that
// must not be repeated, and against sends beyond the retry budget and the route's
// attempts.
func TestRetriesKeepToRouteAndBudget(t *testing.T) {
	lost := func(int) (Response, error) { return nil, verdict.NewMayHaveRun(verdict.CodeBackendLost, nil, "lost") }
	full := func(int) (Response, error) {
		return fakeResponse{head: ResponseHead{Status: 503, Evidence: execution.Evidence{IsStated: true}}}, nil
	}
	for _, test := range []struct {
		name    string
		kind    site.Kind
		send    func(int) (Response, error)
		budget  int
		sends   int
		verdict verdict.Verdict
	}{
		{"unsafe request that may have run", site.Unsafe, lost, 10, 1, verdict.MayHaveRun},
		{"stream that must not be resumed", site.Streaming, lost, 10, 1, verdict.MayHaveRun},
		{"safe request within its attempts", site.Safe, lost, 10, 2, verdict.MayHaveRun},
		{"safe request without budget", site.Safe, lost, 0, 1, verdict.MayHaveRun},
		{"unsafe request that was rejected", site.Unsafe, full, 10, maxRejectedSends, verdict.NotRun},
		{"unsafe request that was rejected, without budget", site.Unsafe, full, 0, 1, verdict.NotRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				r := newFakeSystem(site.Route{Kind: test.kind, Timeout: 2 * time.Second, MaxAttempts: 2})
				r.onSend, r.retriesLeft = test.send, test.budget
				failure, _ := r.forward()
				c.Assert(failure.Verdict, quicktest.Equals, test.verdict)
				c.Assert(r.sent, quicktest.HasLen, test.sends)
				for _, options := range r.sent {
					c.Assert(options.Timeout <= 2*time.Second, quicktest.IsTrue)
				}
			})
		})
	}
}

// A fakeQuarantine blocks prompt parts and records what it is told.
type fakeQuarantine struct {
	blockedFor           time.Duration
	interrupted, sound   int
	blockAfterInterrupts int
	// onWatch is called with the function to call on a block.
	onWatch func(onBlock func())
}

func (q *fakeQuarantine) Watch(_ site.ServiceName, _ []string, onBlock func()) func() {
	if q.onWatch != nil {
		q.onWatch(onBlock)
	}
	return func() {}
}
func (q *fakeQuarantine) AwaitEvidence(context.Context)                       {}
func (q *fakeQuarantine) BlockedFor(site.ServiceName, []string) time.Duration { return q.blockedFor }
func (q *fakeQuarantine) RecordSound(site.ServiceName, []string)              { q.sound++ }
func (q *fakeQuarantine) RecordInterruption(context.Context, *site.Server, []string) {
	q.interrupted++
	if q.interrupted == q.blockAfterInterrupts {
		q.blockedFor = time.Minute
	}
}

// A brokenResponse delivers events and then breaks off.
type brokenResponse struct{ events int }

func (b brokenResponse) Head() ResponseHead {
	return ResponseHead{Status: 200, IsSigned: true, IsEventStream: true}
}
func (b brokenResponse) Discard() {}
func (b brokenResponse) Abort()   {}
func (b brokenResponse) DeliverBody(context.Context) error {
	return &IncompleteError{Cause: io.ErrUnexpectedEOF}
}
func (b brokenResponse) DeliverStream(_ context.Context, observer DeliveryObserver) error {
	for range b.events {
		observer.EventDelivered()
	}
	return &IncompleteError{Cause: io.ErrUnexpectedEOF}
}

// TestBlockedPromptIsRefusedAtOnce guards against a request that is known to crash servers
// and is sent, waits until its deadline or is answered as if it had run.
func TestBlockedPromptIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		r := newFakeSystem(chatRoute)
		q := &fakeQuarantine{blockedFor: time.Minute}
		failure, took := r.forwardWith(q)
		c.Assert(failure.Code, quicktest.Equals, verdict.CodePromptBlocked)
		c.Assert(failure.Verdict, quicktest.Equals, verdict.NotRun)
		c.Assert(failure.RetryAfter, quicktest.Equals, time.Minute)
		c.Assert(took, quicktest.Equals, time.Duration(0))
		c.Assert(r.sent, quicktest.HasLen, 0)
	})
}

// TestBlockEndsSend guards against a request that stays at a server, or goes to another one,
// after its traits have become blocked, and against a caller that is told that it did not run.
func TestBlockEndsSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		r := newFakeSystem(chatRoute)
		r.onSendContext = func(ctx context.Context) (Response, error) {
			<-ctx.Done()
			return nil, verdict.NewMayHaveRun(verdict.CodeBackendLost, ctx.Err(), "connection closed")
		}
		q := &fakeQuarantine{}
		q.onWatch = func(onBlock func()) { time.AfterFunc(time.Second, onBlock) }
		failure, took := r.forwardWith(q)
		c.Check(failure.Verdict, quicktest.Equals, verdict.MayHaveRun)
		c.Check(failure.Code, quicktest.Equals, verdict.CodePromptBlocked)
		c.Check(took, quicktest.Equals, time.Second)
		c.Check(r.sent, quicktest.HasLen, 1)
		c.Check(q.interrupted, quicktest.Equals, 0)
		c.Check(r.failures, quicktest.Equals, 0)
	})
}

// TestInterruptedRequestIsEvidenceOnce guards against sound streams that count as evidence
// because their server ended, and against a request that goes to the next server although
// the last end made its prompt blocked.
func TestInterruptedRequestIsEvidenceOnce(t *testing.T) {
	for _, test := range []struct {
		name                      string
		events, blockAfter        int
		interrupted, sound, sends int
	}{
		{"no event", 0, 0, 2, 0, 2},
		{"one event", 1, 0, 1, 1, 2},
		{"two events", begunEvents, 0, 0, 1, 2},
		{"blocked by its first server", 0, 1, 1, 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				r := newFakeSystem(chatRoute)
				r.onSend = func(int) (Response, error) { return brokenResponse{events: test.events}, nil }
				q := &fakeQuarantine{blockAfterInterrupts: test.blockAfter}
				failure, _ := r.forwardWith(q)
				c.Check(failure.Verdict, quicktest.Equals, verdict.MayHaveRun)
				c.Check(q.interrupted, quicktest.Equals, test.interrupted)
				c.Check(q.sound, quicktest.Equals, test.sound)
				c.Check(len(r.sent), quicktest.Equals, test.sends)
			})
		})
	}
}
