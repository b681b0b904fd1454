package dispatch

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// parts is an in-memory stand-in for everything around a Dispatcher.
type parts struct {
	admitErr error
	claimErr error
	recorded *booking.Outcome
	resolved []booking.Outcome
	// stall is how long the owner takes to grant; a grant lasts grantFor.
	stall time.Duration
	// start is the start number of the engine; restart raises it after a call.
	start    fleet.StartNumber
	restart  bool
	grantFor time.Duration
	grantErr []error
	// calls are the results of the engine, one for each try.
	calls   []call
	made    int
	granted int
	// noRetries says that the retry budget is spent.
	noRetries bool
	// maxWaits has what each demand was willing to wait.
	maxWaits []time.Duration
	// mutex guards released and canceled, which background cancels change.
	mutex    sync.Mutex
	released int
	canceled int
	// cancelErr is the result of every cancel order.
	cancelErr error
	inFlight  int
	resumes   []int
	runs      []fleet.RequestID
	engines   []fleet.EngineName
	finished  []*verdict.Error
}

type call struct {
	chunks int
	err    error
}

func (p *parts) Admit(*request.Request) (func(), error) { return func() {}, p.admitErr }

func (p *parts) Claim(context.Context, *request.Request) (booking.ClaimHandle, *booking.Outcome, error) {
	return booking.ClaimHandle{Token: "token"}, p.recorded, p.claimErr
}

func (p *parts) Resolve(_ context.Context, _ booking.ClaimHandle, outcome booking.Outcome) error {
	p.resolved = append(p.resolved, outcome)
	return nil
}

func (p *parts) Choose(_ *request.Request, tried []fleet.EngineName) (fleet.EngineName, error) {
	p.inFlight++
	return fleet.EngineName([]string{"first", "second", "third", "fourth"}[len(tried)]), nil
}

func (p *parts) Done(fleet.EngineName) { p.inFlight-- }

func (p *parts) Cancel(context.Context, fleet.Engine, fleet.RequestID) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.canceled++
	return p.cancelErr
}

func (p *parts) AcquireGrant(_ context.Context, demand GrantRequest) (fleet.Grant, error) {
	p.maxWaits = append(p.maxWaits, demand.MaxWait)
	time.Sleep(p.stall)
	if len(p.grantErr) > 0 {
		err := p.grantErr[0]
		p.grantErr = p.grantErr[1:]
		return fleet.Grant{}, err
	}
	p.granted++
	duration := demand.Duration
	if p.grantFor > 0 {
		duration = p.grantFor
	}
	return fleet.Grant{Engine: demand.Engine, EngineStart: p.start, Duration: duration}, nil
}

func (p *parts) Release(fleet.Grant) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.released++
}

func (p *parts) Complete(_ context.Context, grant fleet.Grant, r *request.Request, resume int, sink Sink) (request.Response, error) {
	p.runs = append(p.runs, r.RunID)
	result := p.calls[p.made]
	p.made++
	if p.restart {
		p.start++
	}
	p.resumes = append(p.resumes, resume)
	p.engines = append(p.engines, grant.Engine)
	for i := range result.chunks {
		if err := sink.WriteChunk(request.Chunk{Position: resume + i}); err != nil {
			return request.Response{}, err
		}
	}
	return request.Response{Status: 200, Body: []byte("whole")}, result.err
}

func (p *parts) Call(context.Context, *request.Request) (request.Response, error) {
	result := p.calls[p.made]
	p.made++
	return request.Response{Status: 200}, result.err
}

func (p *parts) NextBackoff(_ *request.Request, retry int) (time.Duration, bool) {
	return time.Millisecond, retry <= 3 && !p.noRetries
}

func (p *parts) RecordRequest(_ *request.Request, _ request.Response, failure *verdict.Error) {
	p.finished = append(p.finished, failure)
}

// WriteChunk accepts chunks of the caller.
func (p *parts) WriteChunk(request.Chunk) error { return nil }

func dispatcher(p *parts) *Dispatcher {
	return &Dispatcher{
		Host: "host", Admission: p, Claims: p, Router: p, Grants: p, Engines: p,
		Services: p, Retries: p, Recorder: p, GrantLimit: 2 * time.Minute,
	}
}

func modelRequest(repeat configuration.RepeatRule) *request.Request {
	now := time.Now()
	return &request.Request{
		ID:       "id",
		Kind:     configuration.Kind{Repeat: repeat},
		Adapter:  fleet.AdapterReference{Name: "adapter", Version: 1},
		Arrived:  now,
		Deadline: now.Add(time.Minute),
	}
}

// TestTries guards against tries that the verdict or the repeat rule forbids,
// and against engines, grants and counts that are not given back.
func TestTries(t *testing.T) {
	refused := verdict.NewNotRun(verdict.CodeNoGrant, "no grant")
	unknown := verdict.NewNotRun(verdict.CodeUnknownInstance, "unknown instance")
	lost := verdict.NewMayHaveRun(verdict.CodeBackendLost, nil, "connection lost")
	gone := verdict.NewMayHaveRun(verdict.CodeBackendRefused, nil, "no such stream")
	wrong := verdict.NewMayHaveRun(verdict.CodeWrongInstance, nil, "wrong instance")
	cases := map[string]struct {
		repeat  configuration.RepeatRule
		parts   *parts
		verdict verdict.Verdict
		calls   int
		resumes []int
	}{
		"repeatable, first try succeeds": {configuration.RepeatAllowed, &parts{calls: []call{{}}}, "", 1, []int{0}},
		"repeatable, lost before a chunk": {configuration.RepeatAllowed,
			&parts{calls: []call{{err: lost}, {}}}, "", 2, []int{0, 0}},
		"repeatable, lost after three chunks resumes": {configuration.RepeatAllowed,
			&parts{calls: []call{{chunks: 3, err: lost}, {chunks: 2}}}, "", 2, []int{0, 3}},
		"repeatable, wrong instance after a chunk ends": {configuration.RepeatAllowed,
			&parts{calls: []call{{chunks: 1, err: wrong}}}, verdict.MayHaveRun, 1, []int{0}},
		"repeatable, budget spent": {configuration.RepeatAllowed,
			&parts{calls: []call{{err: wrong}, {err: wrong}, {err: wrong}, {err: wrong}}}, verdict.MayHaveRun, 4, []int{0, 0, 0, 0}},
		"not repeatable, lost once may have run": {configuration.RepeatForbidden,
			&parts{calls: []call{{err: lost}}}, verdict.MayHaveRun, 1, []int{0}},
		"not repeatable, unknown instance is tried again": {configuration.RepeatForbidden,
			&parts{calls: []call{{err: unknown}, {}}}, "", 2, []int{0, 0}},
		"not repeatable, no grant is tried elsewhere": {configuration.RepeatForbidden,
			&parts{grantErr: []error{refused}, calls: []call{{}}}, "", 1, []int{0}},
		"not repeatable, an error without verdict may have run": {configuration.RepeatForbidden,
			&parts{calls: []call{{err: errors.New("broken")}}}, verdict.MayHaveRun, 1, []int{0}},
		"repeatable, doubt outlasts a later refusal": {configuration.RepeatAllowed,
			&parts{calls: []call{{err: wrong}, {err: unknown}, {err: unknown}, {err: unknown}}}, verdict.MayHaveRun, 4, []int{0, 0, 0, 0}},
		"repeatable, the engine lost the stream": {configuration.RepeatAllowed,
			&parts{calls: []call{{chunks: 2, err: lost}, {err: gone}}}, verdict.MayHaveRun, 2, []int{0, 2}},
		"claim refused": {configuration.RepeatForbidden,
			&parts{claimErr: verdict.NewNotRun(verdict.CodeTableUnavailable, "table down")}, verdict.NotRun, 0, nil},
		"not admitted": {configuration.RepeatAllowed,
			&parts{admitErr: verdict.NewNotRun(verdict.CodeStopping, "stopping")}, verdict.NotRun, 0, nil},
		"recorded outcome is returned": {configuration.RepeatForbidden,
			&parts{recorded: &booking.Outcome{Verdict: verdict.Ran, Response: &request.Response{Status: 200}}}, "", 0, nil},
		"recorded doubt is returned": {configuration.RepeatForbidden,
			&parts{recorded: &booking.Outcome{Verdict: verdict.MayHaveRun}}, verdict.MayHaveRun, 0, nil},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				p := test.parts
				d := dispatcher(p)
				_, err := d.Dispatch(t.Context(), modelRequest(test.repeat), p)
				c.Assert(d.Close(), quicktest.IsNil)
				if test.verdict == "" {
					c.Assert(err, quicktest.IsNil)
				} else {
					c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, test.verdict)
				}
				c.Assert(p.made, quicktest.Equals, test.calls)
				c.Assert(p.resumes, quicktest.DeepEquals, test.resumes)
				c.Assert(p.released, quicktest.Equals, p.granted)
				c.Assert(p.inFlight, quicktest.Equals, 0)
				c.Assert(p.finished, quicktest.HasLen, 1)
			})
		})
	}
}

// TestGrantThatEndedIsNotUsed guards against a host that was paused past the
// end of its grant and starts the request on waking.
func TestGrantThatEndedIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		p := &parts{stall: 2 * time.Second, grantFor: time.Second}
		_, err := dispatcher(p).Dispatch(t.Context(), modelRequest(configuration.RepeatForbidden), p)
		failure := verdict.FromError(err)
		c.Assert(failure.Verdict, quicktest.Equals, verdict.NotRun)
		c.Assert(failure.Code, quicktest.Equals, verdict.CodeNoGrant)
		c.Assert(p.made, quicktest.Equals, 0)
		c.Assert(p.resolved[0].Verdict, quicktest.Equals, verdict.NotRun)
	})
}

// TestDemandLeavesTimeForAnotherEngine guards against a demand that waits at an
// engine without a free slot until its request has no time left.
func TestDemandLeavesTimeForAnotherEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		refused := verdict.NewNotRun(verdict.CodeNoGrant, "no slot in time")
		p := &parts{stall: 20 * time.Second, grantErr: []error{refused}, calls: []call{{}}}
		_, err := dispatcher(p).Dispatch(t.Context(), modelRequest(configuration.RepeatForbidden), p)
		c.Assert(err, quicktest.IsNil)
		c.Assert(p.maxWaits, quicktest.HasLen, 2)
		c.Check(p.maxWaits[0], quicktest.Equals, 15*time.Second)
		c.Check(p.maxWaits[1] <= 10*time.Second, quicktest.IsTrue)
		c.Check(p.engines, quicktest.DeepEquals, []fleet.EngineName{"second"})
	})
}

// TestRunsHaveTheirOwnIDs guards against a late cancel order or release of a
// run that was given up, which would end the next run or its grant. A resumed
// stream and a request that may not be repeated keep their id.
func TestRunsHaveTheirOwnIDs(t *testing.T) {
	lost := verdict.NewMayHaveRun(verdict.CodeBackendLost, nil, "connection lost")
	unknown := verdict.NewNotRun(verdict.CodeUnknownInstance, "unknown instance")
	for name, test := range map[string]struct {
		repeat configuration.RepeatRule
		calls  []call
		same   bool
	}{
		"given up":            {configuration.RepeatAllowed, []call{{err: lost}, {}}, false},
		"resumed":             {configuration.RepeatAllowed, []call{{chunks: 1, err: lost}, {}}, true},
		"may not be repeated": {configuration.RepeatForbidden, []call{{err: unknown}, {}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				p := &parts{calls: test.calls}
				d := dispatcher(p)
				_, err := d.Dispatch(t.Context(), modelRequest(test.repeat), p)
				c.Assert(err, quicktest.IsNil)
				c.Assert(d.Close(), quicktest.IsNil)
				c.Assert(p.runs[0] == p.runs[1], quicktest.Equals, test.same)
			})
		})
	}
}

// TestStreamIsNotResumedAfterRestart guards against a run on an instance that
// was loaded again under the same name, for which the former grant is void.
func TestStreamIsNotResumedAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		lost := verdict.NewMayHaveRun(verdict.CodeBackendLost, nil, "connection lost")
		p := &parts{restart: true, calls: []call{{chunks: 2, err: lost}, {chunks: 1}}}
		d := dispatcher(p)
		_, err := d.Dispatch(t.Context(), modelRequest(configuration.RepeatAllowed), p)
		c.Assert(d.Close(), quicktest.IsNil)
		c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.MayHaveRun)
		c.Assert(p.made, quicktest.Equals, 1)
		c.Assert(p.released, quicktest.Equals, p.granted)
	})
}

// TestRunIsEndedBeforeItsGrant guards against a grant that is released while
// the engine still runs the request: the owner could evict the instance.
func TestRunIsEndedBeforeItsGrant(t *testing.T) {
	lost := verdict.NewMayHaveRun(verdict.CodeBackendLost, nil, "connection lost")
	for name, test := range map[string]struct {
		cancelErr error
		released  int
	}{
		"the engine confirms the cancel": {nil, 1},
		"the engine does not answer":     {errors.New("no answer"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				p := &parts{calls: []call{{err: lost}}, cancelErr: test.cancelErr}
				d := dispatcher(p)
				_, err := d.Dispatch(t.Context(), modelRequest(configuration.RepeatForbidden), p)
				c.Assert(d.Close(), quicktest.IsNil)
				c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.MayHaveRun)
				c.Assert(p.canceled, quicktest.Equals, 1)
				c.Assert(p.released, quicktest.Equals, test.released)
			})
		})
	}
}

// TestResumeIsNoRetry guards against streams that are given up because many of
// them lost their connections at once and the retry budget is spent, and against
// a stream that goes on for ever.
func TestResumeIsNoRetry(t *testing.T) {
	lost := call{chunks: 1, err: verdict.NewMayHaveRun(verdict.CodeBackendLost, nil, "connection lost")}
	for _, test := range []struct {
		name  string
		calls []call
		made  int
		ends  bool
	}{
		{"ends after four connections", []call{lost, lost, lost, lost, {}}, 5, true},
		{"never ends", []call{lost, lost, lost, lost, lost, lost}, 1 + resumeLimit, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				p := &parts{calls: test.calls, noRetries: true}
				d := dispatcher(p)
				_, err := d.Dispatch(t.Context(), modelRequest(configuration.RepeatAllowed), p)
				c.Check(err == nil, quicktest.Equals, test.ends)
				c.Check(p.made, quicktest.Equals, test.made)
				c.Assert(d.Close(), quicktest.IsNil)
			})
		})
	}
}

// TestResumedStreamReturnsToItsEngine guards against a stream that goes on at
// an engine which does not know it.
func TestResumedStreamReturnsToItsEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		lost := verdict.NewMayHaveRun(verdict.CodeBackendLost, nil, "connection silent")
		refused := verdict.NewNotRun(verdict.CodeNoGrant, "no grant")
		p := &parts{grantErr: []error{refused}, calls: []call{{chunks: 2, err: lost}, {chunks: 1}}}
		_, err := dispatcher(p).Dispatch(t.Context(), modelRequest(configuration.RepeatAllowed), p)
		c.Assert(err, quicktest.IsNil)
		c.Assert(p.engines, quicktest.DeepEquals, []fleet.EngineName{"second", "second"})
	})
}
