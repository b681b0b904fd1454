package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A rig is everything around a Forwarder. Its functions may be replaced.
type rig struct {
	view   *site.View
	known  chan struct{}
	loaded bool
	// places answers demands for turns, and send answers sends.
	places func(ctx context.Context, request site.PlaceRequest) error
	send   func(n int) (Response, error)
	budget int

	placed []site.PlaceRequest
	sent   []SendOptions
	failed int
}

func newRig(route site.Route) *rig {
	route.Host, route.Prefix, route.MaxAttempts = "h", "/", max(route.MaxAttempts, 1)
	route.WeightedServices = []site.WeightedService{{Service: "s", Weight: 1}}
	r := &rig{known: make(chan struct{}), loaded: true, budget: 10}
	close(r.known)
	r.view = &site.View{
		Desired: &site.DesiredState{Routes: []site.Route{route}, Services: map[site.ServiceName]*site.Service{"s": {Name: "s", Engines: &site.EngineSpec{}}}},
		Servers: map[site.ServerID]*site.Server{"e": {Incarnation: site.Incarnation{ID: "e"}, Service: "s", State: site.Ready}},
	}
	r.view.BuildIndex()
	r.places = func(context.Context, site.PlaceRequest) error { return nil }
	return r
}

func (r *rig) View() *site.View        { return r.view }
func (r *rig) Synced() <-chan struct{} { return r.known }

func (r *rig) Choose(w balance.Requirements) (balance.Pick, error) {
	if len(w.Tried) > 0 {
		return balance.Pick{}, verdict.NewNotRun(verdict.CodeOverloaded, "all tried")
	}
	return balance.Pick{Server: r.view.Servers["e"], Loaded: r.loaded}, nil
}
func (r *rig) RecordForward(*site.Server, site.Adapter)              {}
func (r *rig) Done(*site.Server, site.Adapter, bool)                 {}
func (r *rig) ChooseReplicaTarget(balance.Requirements) *site.Server { return nil }
func (r *rig) RecordResponse(*site.Server, *balance.LoadReport)      {}
func (r *rig) RecordFailure(*site.Server)                            { r.failed++ }
func (r *rig) RecordLoaded(*site.Server, site.Adapter, int)          {}
func (r *rig) RecordNotLoaded(*site.Server, site.Adapter)            { r.loaded = false }
func (r *rig) Prefetch(*site.Server, site.PlaceRequest)              {}
func (r *rig) CountRequest(string)                                   {}
func (r *rig) ResponseStarted() bool                                 { return false }
func (r *rig) AllowRetry(string) bool                                { r.budget--; return r.budget >= 0 }
func (r *rig) RecordRequest(*site.Route, site.ServiceName, time.Time, int, time.Duration, *verdict.Error) {
}

func (r *rig) Place(ctx context.Context, _ *site.Server, request site.PlaceRequest) (site.Placement, error) {
	r.placed = append(r.placed, request)
	return site.Placement{}, r.places(ctx, request)
}

func (r *rig) Send(_ context.Context, _ *site.Server, instructions SendOptions) (Response, error) {
	r.sent = append(r.sent, instructions)
	return r.send(len(r.sent))
}

// An end is an answer that is delivered with an error or none.
type end struct {
	head ResponseHead
	err  error
}

func (e end) Head() ResponseHead            { return e.head }
func (e end) Deliver(context.Context) error { return e.err }
func (e end) Discard()                      {}

// forward runs one request for an adapter through the rig and returns its error
// and how long it took.
func (r *rig) forward() (*verdict.Error, time.Duration) {
	f := &Forwarder{Views: r, Balancer: r, Placer: r, RetryBudget: r, Recorder: r, Log: zerolog.Nop()}
	began := time.Now()
	request := &Request{AttemptID: "id", Host: "h", Path: "/x", Adapter: site.Adapter{Model: "m", Name: "a"}, Arrived: began, MaxWait: 12 * time.Second}
	return verdict.FromError(f.Forward(context.Background(), request, r)), time.Since(began)
}

func wait(ctx context.Context, _ site.PlaceRequest) error {
	<-ctx.Done()
	return verdict.NewNotRun(verdict.CodeDeadline, "no turn")
}

var chat = site.Route{Kind: site.Streaming, Resumable: true, Timeout: 12 * time.Second, TargetLatency: 600 * time.Millisecond, TargetEventGap: 300 * time.Millisecond, MaxAttempts: 2}

// TestUnsentStreamIsRefusedBeforeItsCallerLeaves guards against requests that
// wait for a load until their caller has given up.
func TestUnsentStreamIsRefusedBeforeItsCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		r := newRig(chat)
		r.loaded, r.places = false, wait
		failure, took := r.forward()
		c.Assert(failure.Verdict, quicktest.Equals, verdict.NotRun)
		c.Assert(failure.RetryAfter > 0, quicktest.IsTrue)
		c.Assert(took > time.Second && took < 2300*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", took))
		c.Assert(r.sent, quicktest.HasLen, 0)
	})
}

// TestNothingIsSentAfterAWaitInVain guards against sends to an engine that began
// to leave while the request waited, and for a caller that has left.
func TestNothingIsSentAfterAWaitInVain(t *testing.T) {
	for _, test := range []struct {
		name string
		wait func(r *rig, leave context.CancelFunc)
	}{
		{"engine leaves", func(r *rig, _ context.CancelFunc) {
			r.view.Servers = map[site.ServerID]*site.Server{"e": {Incarnation: site.Incarnation{ID: "e"}, Service: "s", State: site.Draining}}
		}},
		{"engine is gone", func(r *rig, _ context.CancelFunc) { r.view.Servers = nil }},
		{"caller leaves", func(_ *rig, leave context.CancelFunc) { leave() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				r := newRig(chat)
				r.send = func(int) (Response, error) { return end{head: ResponseHead{Status: 200}}, nil }
				chosen := r.view.Servers["e"]
				ctx, leave := context.WithCancel(context.Background())
				defer leave()
				r.places = func(context.Context, site.PlaceRequest) error {
					test.wait(r, leave)
					return verdict.NewNotRun(verdict.CodeNotOwner, "no word of the owner")
				}
				f := &Forwarder{Views: r, Balancer: &fixedChoice{rig: r, server: chosen}, Placer: r, RetryBudget: r, Recorder: r, Log: zerolog.Nop()}
				request := &Request{AttemptID: "id", Host: "h", Path: "/x", Adapter: site.Adapter{Model: "m", Name: "a"}, Arrived: time.Now(), MaxWait: time.Second}
				c.Assert(f.Forward(ctx, request, r), quicktest.IsNotNil)
				c.Assert(r.sent, quicktest.HasLen, 0)
			})
		})
	}
}

// A fixedChoice chooses one server once.
type fixedChoice struct {
	*rig

	server *site.Server
}

func (f *fixedChoice) Choose(w balance.Requirements) (balance.Pick, error) {
	if len(w.Tried) > 0 {
		return balance.Pick{}, verdict.NewNotRun(verdict.CodeOverloaded, "all tried")
	}
	return balance.Pick{Server: f.server, Loaded: true}, nil
}

// TestLoadedAdapterNeedsNoOwner guards against requests that wait for a silent
// owner although the engine holds their adapter.
func TestLoadedAdapterNeedsNoOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		r := newRig(chat)
		r.places = wait
		r.send = func(int) (Response, error) { return end{head: ResponseHead{Status: 200}}, nil }
		failure, took := r.forward()
		c.Assert(failure == nil, quicktest.IsTrue)
		c.Assert(took, quicktest.Equals, turnLimit)
	})
}

// TestLateTurnLeavesTimeToAnswer guards against a request that waits for its turn
// until its caller is about to leave, and is sent in vain.
func TestLateTurnLeavesTimeToAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		r := newRig(chat)
		began := time.Now()
		r.loaded = false
		r.places = func(ctx context.Context, request site.PlaceRequest) error {
			if r.loaded {
				return wait(ctx, request)
			}
			time.Sleep(100 * time.Millisecond)
			r.loaded = time.Since(began) > 1500*time.Millisecond
			return verdict.NewNotRun(verdict.CodeOverloaded, "engine is full")
		}
		var sentAfter time.Duration
		r.send = func(int) (Response, error) {
			sentAfter = time.Since(began)
			return end{head: ResponseHead{Status: 200}}, nil
		}
		_, took := r.forward()
		c.Assert(took <= 1900*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", took))
		c.Assert(sentAfter <= 1900*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", sentAfter))
	})
}

// TestDeniedAdapterIsAskedForAgain guards against a request that fails because
// its adapter was unloaded on its way.
func TestDeniedAdapterIsAskedForAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		r := newRig(chat)
		r.send = func(n int) (Response, error) {
			if n == 1 {
				return end{head: ResponseHead{Status: 421, Misdirected: true, FromExpectedServer: true}}, nil
			}
			return end{head: ResponseHead{Status: 200}}, nil
		}
		failure, _ := r.forward()
		c.Assert(failure == nil, quicktest.IsTrue)
		c.Assert(r.placed[1].AdapterMissing, quicktest.IsTrue)
		c.Assert(r.failed, quicktest.Equals, 0)
	})
}

// TestRepeatsKeepToTheRules guards against a second run of a request that may not
// be repeated, and against sends beyond the budget and the route's attempts.
func TestRepeatsKeepToTheRules(t *testing.T) {
	lost := func(int) (Response, error) { return nil, verdict.NewMayHaveRun(verdict.CodeBackendLost, nil, "lost") }
	full := func(int) (Response, error) { return end{head: ResponseHead{Status: 503, NotRun: true}}, nil }
	for _, test := range []struct {
		name    string
		kind    site.Kind
		send    func(int) (Response, error)
		budget  int
		sends   int
		verdict verdict.Verdict
	}{
		{"unsafe that may have run", site.Unsafe, lost, 10, 1, verdict.MayHaveRun},
		{"stream that may not be resumed", site.Streaming, lost, 10, 1, verdict.MayHaveRun},
		{"safe within its attempts", site.Safe, lost, 10, 2, verdict.MayHaveRun},
		{"safe without budget", site.Safe, lost, 0, 1, verdict.MayHaveRun},
		{"unsafe that was refused", site.Unsafe, full, 10, rejectedSends, verdict.NotRun},
		{"unsafe that was refused, without budget", site.Unsafe, full, 0, 1, verdict.NotRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				r := newRig(site.Route{Kind: test.kind, Timeout: 2 * time.Second, MaxAttempts: 2})
				r.send, r.budget = test.send, test.budget
				failure, _ := r.forward()
				c.Assert(failure.Verdict, quicktest.Equals, test.verdict)
				c.Assert(r.sent, quicktest.HasLen, test.sends)
				for _, instructions := range r.sent {
					c.Assert(instructions.Timeout <= 2*time.Second, quicktest.IsTrue)
				}
			})
		})
	}
}
