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

// applicationLimits is a ConfigurationSource with the given limits of requests in
// flight. It builds a new configuration for each call.
type applicationLimits map[configuration.ApplicationName]int

func (f applicationLimits) Current() *configuration.Configuration {
	current := &configuration.Configuration{Applications: map[configuration.ApplicationName]configuration.Application{}}
	for name, limit := range f {
		current.Applications[name] = configuration.Application{Name: name, MaxConcurrency: limit}
	}
	return current
}

// fixedConfiguration is a ConfigurationSource that returns the same configuration
// for each call, without an allocation.
type fixedConfiguration struct{ current *configuration.Configuration }

func (s fixedConfiguration) Current() *configuration.Configuration { return s.current }

func newRequest(name configuration.ApplicationName) *request.Request {
	return &request.Request{Application: name, Deadline: time.Now().Add(time.Hour)}
}

func codeOf(err error) verdict.Code {
	var failure *verdict.Error
	if !errors.As(err, &failure) {
		return ""
	}
	return failure.Code
}

// admitUntilRefused sends requests of an application until the controller refuses
// one, 10,000 at most. It returns the release functions of the admitted requests
// and the code of the refusal.
func admitUntilRefused(controller *admission.Controller, name configuration.ApplicationName) (releases []func(), refused verdict.Code) {
	for range 10_000 {
		release, err := controller.Admit(newRequest(name))
		if err != nil {
			return releases, codeOf(err)
		}
		releases = append(releases, release)
	}
	return releases, ""
}

// TestApplicationLimit guards against an application that exceeds its limit, and
// against capacity that is not returned when requests end.
func TestApplicationLimit(t *testing.T) {
	c := qt.New(t)
	controller := &admission.Controller{Configuration: applicationLimits{"chat": 3}, ConcurrencyLimit: 100}
	for range 5 {
		releases, refused := admitUntilRefused(controller, "chat")
		c.Assert(releases, qt.HasLen, 3)
		c.Assert(refused, qt.Equals, verdict.CodeApplicationLimits)
		for _, release := range releases {
			release()
		}
	}
	c.Assert(controller.InFlight(), qt.Equals, 0)
}

// TestFullHostConvergesToFairShares guards against an application that has filled
// the host first and keeps all capacity by retrying faster than the others.
func TestFullHostConvergesToFairShares(t *testing.T) {
	c := qt.New(t)
	controller := &admission.Controller{Configuration: applicationLimits{}, ConcurrencyLimit: 80}
	greedy, refused := admitUntilRefused(controller, "greedy")
	c.Assert(greedy, qt.HasLen, 80)
	c.Assert(refused, qt.Equals, verdict.CodeOverloaded)
	var late []func()
	for range 80 {
		if len(greedy) > 0 {
			greedy[0]()
			greedy = greedy[1:]
		}
		for range 10 {
			if release, err := controller.Admit(newRequest("greedy")); err == nil {
				greedy = append(greedy, release)
			}
		}
		if release, err := controller.Admit(newRequest("late")); err == nil {
			late = append(late, release)
		}
	}
	c.Assert(len(late) >= 39, qt.IsTrue, qt.Commentf("late application has %d of 80", len(late)))
	c.Assert(controller.InFlight() <= 80, qt.IsTrue)
}

// TestInactiveApplicationLosesFairShare guards against capacity that stays reserved
// for an application that no longer sends requests.
func TestInactiveApplicationLosesFairShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := &admission.Controller{Configuration: applicationLimits{}, ConcurrencyLimit: 80}
		release, err := controller.Admit(newRequest("once"))
		qt.Assert(t, err, qt.IsNil)
		release()
		releases, _ := admitUntilRefused(controller, "busy")
		qt.Assert(t, releases, qt.HasLen, 70)
		time.Sleep(3 * time.Second)
		_, _ = admitUntilRefused(controller, "busy")
		time.Sleep(3 * time.Second)
		_, _ = admitUntilRefused(controller, "busy")
		qt.Assert(t, controller.InFlight(), qt.Equals, 80)
	})
}

// TestStopAdmittingAndWaitIdle guards against a stop that does not wait for requests
// in flight or admits new ones.
func TestStopAdmittingAndWaitIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := &admission.Controller{Configuration: applicationLimits{}, ConcurrencyLimit: 10}
		release, err := controller.Admit(newRequest("chat"))
		qt.Assert(t, err, qt.IsNil)
		controller.StopAdmitting()
		_, err = controller.Admit(newRequest("chat"))
		qt.Assert(t, codeOf(err), qt.Equals, verdict.CodeStopping)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		qt.Assert(t, controller.WaitIdle(ctx), qt.ErrorIs, context.DeadlineExceeded)
		release()
		qt.Assert(t, controller.WaitIdle(t.Context()), qt.IsNil)
		controller.StopAdmitting()
	})
}

// TestExpiredDeadlineIsRefused guards against a request that is admitted although
// its caller no longer waits for the answer.
func TestExpiredDeadlineIsRefused(t *testing.T) {
	controller := &admission.Controller{Configuration: applicationLimits{}}
	_, err := controller.Admit(&request.Request{Deadline: time.Now().Add(-time.Second)})
	qt.Assert(t, codeOf(err), qt.Equals, verdict.CodeDeadline)
}

// TestAdmitDoesNotAllocate guards against a memory allocation for each admitted
// request.
func TestAdmitDoesNotAllocate(t *testing.T) {
	controller := &admission.Controller{Configuration: fixedConfiguration{applicationLimits{"chat": 5}.Current()}, ConcurrencyLimit: 10}
	r := newRequest("chat")
	allocations := testing.AllocsPerRun(1000, func() {
		release, err := controller.Admit(r)
		if err != nil {
			t.Fatal(err)
		}
		release()
	})
	qt.Assert(t, allocations, qt.Equals, 0.0)
}
