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

// fakes implements every interface that a Dispatcher uses. Tests set the results
// that its methods return and check the calls that it records.
type fakes struct {
	admitErr         error
	claimErr         error
	recordedOutcome  *booking.Outcome
	resolvedOutcomes []booking.Outcome
	// grantDelay is how long AcquireGrant takes.
	grantDelay time.Duration
	// engineStart is the start number of the engine. If restartsAfterCall is set,
	// every call of the engine raises it.
	engineStart       fleet.StartNumber
	restartsAfterCall bool
	// grantDuration is how long a grant lasts; zero means as long as requested.
	grantDuration time.Duration
	// grantErrors are the results of the first calls of AcquireGrant; later calls
	// succeed.
	grantErrors []error
	// callResults are the results of the calls of the engine or service, in order.
	callResults []callResult
	callCount   int
	grantCount  int
	// retriesExhausted says that the retry budget allows no retry.
	retriesExhausted bool
	// maxWaits holds the MaxWait of each grant request.
	maxWaits []time.Duration
	// mutex guards releaseCount and cancelCount, which background cancellations
	// change.
	mutex        sync.Mutex
	releaseCount int
	cancelCount  int
	// cancelErr is the result of every call of Cancel.
	cancelErr error
	// inFlight is the number of requests counted on engines.
	inFlight int
	// resumePositions, runIDs and engines hold one entry for each Complete.
	resumePositions  []int
	runIDs           []fleet.RequestID
	engines          []fleet.EngineName
	recordedFailures []*verdict.Error
}

// A callResult is the result of one call: the number of streamed chunks and the
// error after them.
type callResult struct {
	chunks int
	err    error
}

func (p *fakes) Admit(*request.Request) (func(), error) { return func() {}, p.admitErr }

func (p *fakes) Claim(context.Context, *request.Request) (booking.ClaimHandle, *booking.Outcome, error) {
	return booking.ClaimHandle{Token: "token"}, p.recordedOutcome, p.claimErr
}

func (p *fakes) Resolve(_ context.Context, _ booking.ClaimHandle, outcome booking.Outcome) error {
	p.resolvedOutcomes = append(p.resolvedOutcomes, outcome)
	return nil
}

func (p *fakes) Choose(_ *request.Request, tried []fleet.EngineName) (fleet.EngineName, error) {
	p.inFlight++
	return fleet.EngineName([]string{"first", "second", "third", "fourth"}[len(tried)]), nil
}

func (p *fakes) Done(fleet.EngineName) { p.inFlight-- }

func (p *fakes) Cancel(context.Context, fleet.Engine, fleet.RequestID) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cancelCount++
	return p.cancelErr
}

func (p *fakes) AcquireGrant(_ context.Context, request GrantRequest) (fleet.Grant, error) {
	p.maxWaits = append(p.maxWaits, request.MaxWait)
	time.Sleep(p.grantDelay)
	if len(p.grantErrors) > 0 {
		err := p.grantErrors[0]
		p.grantErrors = p.grantErrors[1:]
		return fleet.Grant{}, err
	}
	p.grantCount++
	duration := request.Duration
	if p.grantDuration > 0 {
		duration = p.grantDuration
	}
	return fleet.Grant{Engine: request.Engine, EngineStart: p.engineStart, Duration: duration}, nil
}

func (p *fakes) Release(fleet.Grant) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.releaseCount++
}

func (p *fakes) Complete(_ context.Context, grant fleet.Grant, r *request.Request, resume int, sink Sink) (request.Response, error) {
	p.runIDs = append(p.runIDs, r.RunID)
	result := p.callResults[p.callCount]
	p.callCount++
	if p.restartsAfterCall {
		p.engineStart++
	}
	p.resumePositions = append(p.resumePositions, resume)
	p.engines = append(p.engines, grant.Engine)
	for i := range result.chunks {
		if err := sink.WriteChunk(request.Chunk{Position: resume + i}); err != nil {
			return request.Response{}, err
		}
	}
	return request.Response{Status: 200, Body: []byte("whole")}, result.err
}

func (p *fakes) Call(context.Context, *request.Request) (request.Response, error) {
	result := p.callResults[p.callCount]
	p.callCount++
	return request.Response{Status: 200}, result.err
}

func (p *fakes) NextBackoff(_ *request.Request, retry int) (time.Duration, bool) {
	return time.Millisecond, retry <= 3 && !p.retriesExhausted
}

func (p *fakes) RecordRequest(_ *request.Request, _ request.Response, failure *verdict.Error) {
	p.recordedFailures = append(p.recordedFailures, failure)
}

// WriteChunk is the caller's Sink and accepts every chunk.
func (p *fakes) WriteChunk(request.Chunk) error { return nil }

func newDispatcher(p *fakes) *Dispatcher {
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

// TestAttempts guards against attempts that the verdict of the last failure or the
// repeat rule of the request forbids, and against grants that are not released
// and requests that stay counted on an engine.
func TestAttempts(t *testing.T) {
	refused := verdict.NewNotRun(verdict.CodeNoGrant, "no grant")
	unknown := verdict.NewNotRun(verdict.CodeUnknownInstance, "unknown instance")
	lost := verdict.NewMayHaveRun(verdict.CodeBackendLost, nil, "connection lost")
	gone := verdict.NewMayHaveRun(verdict.CodeBackendRefused, nil, "no such stream")
	wrong := verdict.NewMayHaveRun(verdict.CodeWrongInstance, nil, "wrong instance")
	cases := map[string]struct {
		repeat  configuration.RepeatRule
		parts   *fakes
		verdict verdict.Verdict
		calls   int
		resumes []int
	}{
		"repeatable, first attempt succeeds": {configuration.RepeatAllowed, &fakes{callResults: []callResult{{}}}, "", 1, []int{0}},
		"repeatable, connection lost before the first chunk is run again": {configuration.RepeatAllowed,
			&fakes{callResults: []callResult{{err: lost}, {}}}, "", 2, []int{0, 0}},
		"repeatable, connection lost after three chunks is resumed": {configuration.RepeatAllowed,
			&fakes{callResults: []callResult{{chunks: 3, err: lost}, {chunks: 2}}}, "", 2, []int{0, 3}},
		"repeatable, wrong instance after a chunk is not retried": {configuration.RepeatAllowed,
			&fakes{callResults: []callResult{{chunks: 1, err: wrong}}}, verdict.MayHaveRun, 1, []int{0}},
		"repeatable, retry budget is used up": {configuration.RepeatAllowed,
			&fakes{callResults: []callResult{{err: wrong}, {err: wrong}, {err: wrong}, {err: wrong}}}, verdict.MayHaveRun, 4, []int{0, 0, 0, 0}},
		"not repeatable, connection lost may have run": {configuration.RepeatForbidden,
			&fakes{callResults: []callResult{{err: lost}}}, verdict.MayHaveRun, 1, []int{0}},
		"not repeatable, unknown instance is retried": {configuration.RepeatForbidden,
			&fakes{callResults: []callResult{{err: unknown}, {}}}, "", 2, []int{0, 0}},
		"not repeatable, refused grant is retried on another engine": {configuration.RepeatForbidden,
			&fakes{grantErrors: []error{refused}, callResults: []callResult{{}}}, "", 1, []int{0}},
		"not repeatable, error without verdict may have run": {configuration.RepeatForbidden,
			&fakes{callResults: []callResult{{err: errors.New("broken")}}}, verdict.MayHaveRun, 1, []int{0}},
		"repeatable, may-have-run outlasts a later not-run": {configuration.RepeatAllowed,
			&fakes{callResults: []callResult{{err: wrong}, {err: unknown}, {err: unknown}, {err: unknown}}}, verdict.MayHaveRun, 4, []int{0, 0, 0, 0}},
		"repeatable, engine no longer has the stream": {configuration.RepeatAllowed,
			&fakes{callResults: []callResult{{chunks: 2, err: lost}, {err: gone}}}, verdict.MayHaveRun, 2, []int{0, 2}},
		"claim refused": {configuration.RepeatForbidden,
			&fakes{claimErr: verdict.NewNotRun(verdict.CodeTableUnavailable, "table down")}, verdict.NotRun, 0, nil},
		"admission refused": {configuration.RepeatAllowed,
			&fakes{admitErr: verdict.NewNotRun(verdict.CodeStopping, "stopping")}, verdict.NotRun, 0, nil},
		"recorded outcome is returned": {configuration.RepeatForbidden,
			&fakes{recordedOutcome: &booking.Outcome{Verdict: verdict.Ran, Response: &request.Response{Status: 200}}}, "", 0, nil},
		"recorded may-have-run is returned": {configuration.RepeatForbidden,
			&fakes{recordedOutcome: &booking.Outcome{Verdict: verdict.MayHaveRun}}, verdict.MayHaveRun, 0, nil},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				p := test.parts
				d := newDispatcher(p)
				_, err := d.Dispatch(t.Context(), modelRequest(test.repeat), p)
				c.Assert(d.Close(), quicktest.IsNil)
				if test.verdict == "" {
					c.Assert(err, quicktest.IsNil)
				} else {
					c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, test.verdict)
				}
				c.Assert(p.callCount, quicktest.Equals, test.calls)
				c.Assert(p.resumePositions, quicktest.DeepEquals, test.resumes)
				c.Assert(p.releaseCount, quicktest.Equals, p.grantCount)
				c.Assert(p.inFlight, quicktest.Equals, 0)
				c.Assert(p.recordedFailures, quicktest.HasLen, 1)
			})
		})
	}
}

// TestExpiredGrantIsNotUsed guards against a request that is sent to the engine
// after its grant has expired, because the host was paused in between.
func TestExpiredGrantIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		p := &fakes{grantDelay: 2 * time.Second, grantDuration: time.Second}
		_, err := newDispatcher(p).Dispatch(t.Context(), modelRequest(configuration.RepeatForbidden), p)
		failure := verdict.FromError(err)
		c.Assert(failure.Verdict, quicktest.Equals, verdict.NotRun)
		c.Assert(failure.Code, quicktest.Equals, verdict.CodeNoGrant)
		c.Assert(p.callCount, quicktest.Equals, 0)
		c.Assert(p.resolvedOutcomes[0].Verdict, quicktest.Equals, verdict.NotRun)
	})
}

// TestMaxWaitLeavesTimeForAnotherEngine guards against a request that waits for a
// grant on an engine without a free slot until no time is left for another engine.
func TestMaxWaitLeavesTimeForAnotherEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		refused := verdict.NewNotRun(verdict.CodeNoGrant, "no slot in time")
		p := &fakes{grantDelay: 20 * time.Second, grantErrors: []error{refused}, callResults: []callResult{{}}}
		_, err := newDispatcher(p).Dispatch(t.Context(), modelRequest(configuration.RepeatForbidden), p)
		c.Assert(err, quicktest.IsNil)
		c.Assert(p.maxWaits, quicktest.HasLen, 2)
		c.Check(p.maxWaits[0], quicktest.Equals, 15*time.Second)
		c.Check(p.maxWaits[1] <= 10*time.Second, quicktest.IsTrue)
		c.Check(p.engines, quicktest.DeepEquals, []fleet.EngineName{"second"})
	})
}

// TestRunIDs guards against two runs with one id: the late cancellation of an
// abandoned run or the release of its grant would then end the next run or its
// grant. A resumed stream and a request that may not be repeated keep their id.
func TestRunIDs(t *testing.T) {
	lost := verdict.NewMayHaveRun(verdict.CodeBackendLost, nil, "connection lost")
	unknown := verdict.NewNotRun(verdict.CodeUnknownInstance, "unknown instance")
	for name, test := range map[string]struct {
		repeat configuration.RepeatRule
		calls  []callResult
		sameID bool
	}{
		"abandoned run":  {configuration.RepeatAllowed, []callResult{{err: lost}, {}}, false},
		"resumed stream": {configuration.RepeatAllowed, []callResult{{chunks: 1, err: lost}, {}}, true},
		"not repeatable": {configuration.RepeatForbidden, []callResult{{err: unknown}, {}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				p := &fakes{callResults: test.calls}
				d := newDispatcher(p)
				_, err := d.Dispatch(t.Context(), modelRequest(test.repeat), p)
				c.Assert(err, quicktest.IsNil)
				c.Assert(d.Close(), quicktest.IsNil)
				c.Assert(p.runIDs[0] == p.runIDs[1], quicktest.Equals, test.sameID)
			})
		})
	}
}

// TestStreamIsNotResumedAfterRestart guards against a stream that is resumed after
// its engine restarted. The adapter may have been loaded again under the same
// instance name, and the former grant does not protect that instance.
func TestStreamIsNotResumedAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		lost := verdict.NewMayHaveRun(verdict.CodeBackendLost, nil, "connection lost")
		p := &fakes{restartsAfterCall: true, callResults: []callResult{{chunks: 2, err: lost}, {chunks: 1}}}
		d := newDispatcher(p)
		_, err := d.Dispatch(t.Context(), modelRequest(configuration.RepeatAllowed), p)
		c.Assert(d.Close(), quicktest.IsNil)
		c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.MayHaveRun)
		c.Assert(p.callCount, quicktest.Equals, 1)
		c.Assert(p.releaseCount, quicktest.Equals, p.grantCount)
	})
}

// TestRunIsCanceledBeforeGrantIsReleased guards against a grant that is released
// while the engine still runs the request. The owner could then evict the
// instance under the run.
func TestRunIsCanceledBeforeGrantIsReleased(t *testing.T) {
	lost := verdict.NewMayHaveRun(verdict.CodeBackendLost, nil, "connection lost")
	for name, test := range map[string]struct {
		cancelErr error
		released  int
	}{
		"the engine confirms the cancellation": {nil, 1},
		"the engine does not answer":           {errors.New("no answer"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				p := &fakes{callResults: []callResult{{err: lost}}, cancelErr: test.cancelErr}
				d := newDispatcher(p)
				_, err := d.Dispatch(t.Context(), modelRequest(configuration.RepeatForbidden), p)
				c.Assert(d.Close(), quicktest.IsNil)
				c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.MayHaveRun)
				c.Assert(p.cancelCount, quicktest.Equals, 1)
				c.Assert(p.releaseCount, quicktest.Equals, test.released)
			})
		})
	}
}

// TestResumeDoesNotUseRetryBudget guards against streams that fail because many of
// them lost their connections at once and used up the retry budget. It also guards
// against a stream that is resumed without limit.
func TestResumeDoesNotUseRetryBudget(t *testing.T) {
	lost := callResult{chunks: 1, err: verdict.NewMayHaveRun(verdict.CodeBackendLost, nil, "connection lost")}
	for _, test := range []struct {
		name      string
		calls     []callResult
		callCount int
		succeeds  bool
	}{
		{"succeeds after four lost connections", []callResult{lost, lost, lost, lost, {}}, 5, true},
		{"fails after the last resume", []callResult{lost, lost, lost, lost, lost, lost}, 1 + maxResumes, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				p := &fakes{callResults: test.calls, retriesExhausted: true}
				d := newDispatcher(p)
				_, err := d.Dispatch(t.Context(), modelRequest(configuration.RepeatAllowed), p)
				c.Check(err == nil, quicktest.Equals, test.succeeds)
				c.Check(p.callCount, quicktest.Equals, test.callCount)
				c.Assert(d.Close(), quicktest.IsNil)
			})
		})
	}
}

// TestStreamResumesOnSameEngine guards against a stream that is resumed on an engine
// that did not start it. The first engine refuses a grant here, so that the stream
// starts on the second one and must stay there.
func TestStreamResumesOnSameEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		lost := verdict.NewMayHaveRun(verdict.CodeBackendLost, nil, "connection silent")
		refused := verdict.NewNotRun(verdict.CodeNoGrant, "no grant")
		p := &fakes{grantErrors: []error{refused}, callResults: []callResult{{chunks: 2, err: lost}, {chunks: 1}}}
		_, err := newDispatcher(p).Dispatch(t.Context(), modelRequest(configuration.RepeatAllowed), p)
		c.Assert(err, quicktest.IsNil)
		c.Assert(p.engines, quicktest.DeepEquals, []fleet.EngineName{"second", "second"})
	})
}
