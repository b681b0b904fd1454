package forward

import (
	"context"
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

// A loadRecorder keeps the loads that a Forwarder records.
type loadRecorder struct {
	*fakeSystem

	loads []*balance.LoadReport
}

func (r *loadRecorder) RecordResponse(_ *site.Server, load *balance.LoadReport) {
	r.loads = append(r.loads, load)
}

// TestAnswerTimeIsOfWholeAnswers guards against servers that seem fast because they refuse
// requests, fail, or send the head of a stream before its first event.
func TestAnswerTimeIsOfWholeAnswers(t *testing.T) {
	const answerTime = 70 * time.Millisecond
	plainRoute := site.Route{Timeout: 12 * time.Second, TargetLatency: 600 * time.Millisecond, MaxAttempts: 1}
	refusal := ResponseHead{Status: 503, Evidence: execution.Evidence{IsStated: true}}
	for _, test := range []struct {
		name  string
		route site.Route
		head  ResponseHead
		want  time.Duration
	}{
		{"success", plainRoute, ResponseHead{Status: 200, IsSigned: true}, answerTime},
		{"error", plainRoute, ResponseHead{Status: 500}, 0},
		{"refusal", plainRoute, refusal, 0},
		{"stream", chatRoute, ResponseHead{Status: 200, IsSigned: true, IsEventStream: true}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				r := &loadRecorder{fakeSystem: newFakeSystem(test.route)}
				r.onSend = func(int) (Response, error) {
					time.Sleep(answerTime)
					test.head.Load = &balance.LoadReport{Slots: 8, Slowness: 1}
					return fakeResponse{head: test.head}, nil
				}
				f := &Forwarder{Views: r, Balancer: r, Placer: r, RetryBudget: r, Quarantine: r, Recorder: r, Log: zerolog.Nop()}
				request := &Request{AttemptID: "id", Host: "h", Path: "/x", Arrived: time.Now(), MaxWait: time.Second}
				_ = f.Forward(context.Background(), request, r)
				c.Assert(len(r.loads) > 0, quicktest.IsTrue)
				for _, load := range r.loads {
					c.Check(load.Answer.Delay, quicktest.Equals, test.want)
				}
			})
		})
	}
}

// A realChooser chooses with a Balancer and leaves everything else to the fakeSystem.
type realChooser struct {
	*fakeSystem

	balancer *balance.Balancer
}

func (r *realChooser) Choose(w balance.ServerRequirements) (balance.Pick, error) {
	pick, err := r.balancer.Choose(w)
	pick.Loaded = true
	return pick, err
}

// TestOwnerJudgesByTimeLeftOnlyWhereSpeedIsStated guards against owners that refuse requests
// earlier than before on sites whose servers state no speed.
func TestOwnerJudgesByTimeLeftOnlyWhereSpeedIsStated(t *testing.T) {
	for _, slowness := range []float64{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			r := &realChooser{fakeSystem: newFakeSystem(chatRoute)}
			r.balancer = &balance.Balancer{Views: r, HasOwner: func(string) bool { return true }}
			r.balancer.RecordResponse(r.view.Servers["e"], &balance.LoadReport{Slots: 8, Slowness: slowness})
			r.onPlace = func(context.Context, site.PlaceRequest) error {
				return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeOverloaded, Message: "too late", RetryAfter: 5 * time.Second}
			}
			f := &Forwarder{Views: r, Balancer: r, Placer: r, RetryBudget: r, Quarantine: r, Recorder: r, Log: zerolog.Nop()}
			request := &Request{AttemptID: "id", Host: "h", Path: "/x", Adapter: site.Adapter{Model: "m", Name: "a"}, Arrived: time.Now(), MaxWait: 3 * time.Second}
			failure := verdict.FromError(f.Forward(context.Background(), request, r))
			c.Assert(failure, quicktest.IsNotNil)
			c.Assert(len(r.placed) > 0, quicktest.IsTrue)
			c.Check(r.placed[0].TimeLeft > 0, quicktest.Equals, slowness > 0)
			c.Check(failure.RetryAfter, quicktest.Equals, 5*time.Second)
		})
	}
}
