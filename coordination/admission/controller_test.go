package admission_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/coordination/admission"
	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

var _ dispatch.Admitter = (*admission.Controller)(nil)

// fixed is a configuration that does not change.
type fixed map[configuration.ApplicationName]int

func (f fixed) Current() *configuration.Configuration {
	current := &configuration.Configuration{Applications: map[configuration.ApplicationName]configuration.Application{}}
	for name, limit := range f {
		current.Applications[name] = configuration.Application{Name: name, MaxConcurrency: limit}
	}
	return current
}

// shared is one configuration for all calls.
type shared struct{ current *configuration.Configuration }

func (s shared) Current() *configuration.Configuration { return s.current }

func requestOf(name configuration.ApplicationName) *request.Request {
	return &request.Request{Application: name, Deadline: time.Now().Add(time.Hour)}
}

func codeOf(err error) verdict.Code {
	var failure *verdict.Error
	if !errors.As(err, &failure) {
		return ""
	}
	return failure.Code
}

// fill admits requests of an application until the controller refuses.
func fill(g *admission.Controller, name configuration.ApplicationName) (leaves []func(), refused verdict.Code) {
	for range 10_000 {
		leave, err := g.Admit(requestOf(name))
		if err != nil {
			return leaves, codeOf(err)
		}
		leaves = append(leaves, leave)
	}
	return leaves, ""
}

// Guards against an application that takes more than its limit, and against
// places that are lost when requests end.
func TestApplicationLimitHoldsAndPlacesReturn(t *testing.T) {
	c := qt.New(t)
	g := &admission.Controller{Configuration: fixed{"chat": 3}, ConcurrencyLimit: 100}
	for range 5 {
		leaves, refused := fill(g, "chat")
		c.Assert(leaves, qt.HasLen, 3)
		c.Assert(refused, qt.Equals, verdict.CodeApplicationLimits)
		for _, leave := range leaves {
			leave()
		}
	}
	c.Assert(g.InFlight(), qt.Equals, 0)
}

// Guards against an application that was first and keeps a full host to itself
// by retrying faster than the others.
func TestFullHostReachesFairShares(t *testing.T) {
	c := qt.New(t)
	g := &admission.Controller{Configuration: fixed{}, ConcurrencyLimit: 80}
	greedy, refused := fill(g, "greedy")
	c.Assert(greedy, qt.HasLen, 80)
	c.Assert(refused, qt.Equals, verdict.CodeOverloaded)
	var late []func()
	for range 80 {
		if len(greedy) > 0 {
			greedy[0]()
			greedy = greedy[1:]
		}
		for range 10 {
			if leave, err := g.Admit(requestOf("greedy")); err == nil {
				greedy = append(greedy, leave)
			}
		}
		if leave, err := g.Admit(requestOf("late")); err == nil {
			late = append(late, leave)
		}
	}
	c.Assert(len(late) >= 39, qt.IsTrue, qt.Commentf("late application has %d of 80", len(late)))
	c.Assert(g.InFlight() <= 80, qt.IsTrue)
}

// Guards against a share that stays reserved for an application that left.
func TestUnusedShareReturnsToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &admission.Controller{Configuration: fixed{}, ConcurrencyLimit: 80}
		leave, err := g.Admit(requestOf("once"))
		qt.Assert(t, err, qt.IsNil)
		leave()
		leaves, _ := fill(g, "busy")
		qt.Assert(t, leaves, qt.HasLen, 70)
		time.Sleep(3 * time.Second)
		_, _ = fill(g, "busy")
		time.Sleep(3 * time.Second)
		_, _ = fill(g, "busy")
		qt.Assert(t, g.InFlight(), qt.Equals, 80)
	})
}

// Guards against a stop that cuts off requests in flight or admits new ones.
func TestStopRefusesNewAndWaitsForOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &admission.Controller{Configuration: fixed{}, ConcurrencyLimit: 10}
		leave, err := g.Admit(requestOf("chat"))
		qt.Assert(t, err, qt.IsNil)
		g.StopAdmitting()
		_, err = g.Admit(requestOf("chat"))
		qt.Assert(t, codeOf(err), qt.Equals, verdict.CodeStopping)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		qt.Assert(t, g.WaitIdle(ctx), qt.ErrorIs, context.DeadlineExceeded)
		leave()
		qt.Assert(t, g.WaitIdle(t.Context()), qt.IsNil)
		g.StopAdmitting()
	})
}

// Guards against a request that is admitted after its caller stopped waiting.
func TestPassedDeadlineIsRefused(t *testing.T) {
	g := &admission.Controller{Configuration: fixed{}}
	_, err := g.Admit(&request.Request{Deadline: time.Now().Add(-time.Second)})
	qt.Assert(t, codeOf(err), qt.Equals, verdict.CodeDeadline)
}

// Guards against an allocation for each request on the common path.
func TestAdmitDoesNotAllocate(t *testing.T) {
	g := &admission.Controller{Configuration: shared{fixed{"chat": 5}.Current()}, ConcurrencyLimit: 10}
	r := requestOf("chat")
	allocations := testing.AllocsPerRun(1000, func() {
		leave, err := g.Admit(r)
		if err != nil {
			t.Fatal(err)
		}
		leave()
	})
	qt.Assert(t, allocations, qt.Equals, 0.0)
}
