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
