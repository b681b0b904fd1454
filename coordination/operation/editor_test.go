package operation_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/coordination/operation"
	"github.com/persimmonmux/persimmonmux/coordination/revision"
	"github.com/persimmonmux/persimmonmux/standin/deployment"
	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// startDeployment starts hosts with an adapter at revision 1.
func startDeployment(t *testing.T, hosts int) *deployment.Deployment {
	d := deployment.New(1)
	d.StartAll(1, hosts)
	t.Cleanup(d.Close)
	result, err := editor(d, 0).Apply(context.Background(), operation.EditRequest{
		OperationID: "first", Edit: operation.CreateAdapter{Adapter: configuration.Adapter{Name: "a", Versions: []fleet.AdapterVersion{1}, Current: 1}},
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, result, qt.Equals, operation.EditResult{Revision: 1})
	// A duty that has not started yet takes no change.
	for _, member := range d.Members {
		for deadline := time.Now().Add(5 * time.Second); member.Distributor.CatchUp(context.Background(), 1) != nil; time.Sleep(time.Millisecond) {
			qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
		}
	}
	return d
}

func editor(d *deployment.Deployment, host int) *operation.Editor {
	return &operation.Editor{Revisions: d.Members[host].Distributor}
}

func addVersion(expected configuration.Revision, id string, version fleet.AdapterVersion) operation.EditRequest {
	return operation.EditRequest{
		ExpectedRevision: expected, OperationID: configuration.OperationID(id), Edit: operation.AddVersion{Adapter: "a", Version: version},
	}
}

// Guards against two operators that both believe to have changed a revision,
// and against a conflict that does not name both revisions.
func TestRacingOperators(t *testing.T) {
	d := startDeployment(t, 2)
	const rounds = 20
	for round := range rounds {
		expected := configuration.Revision(round + 1)
		var errs [2]error
		var operators sync.WaitGroup
		for i := range errs {
			operators.Go(func() {
				_, errs[i] = editor(d, i).Apply(context.Background(), addVersion(expected, fmt.Sprint(round, "-", i), fleet.AdapterVersion(2+2*round+i)))
			})
		}
		operators.Wait()
		lost := errs[0]
		if lost == nil {
			lost = errs[1]
		} else {
			qt.Assert(t, errs[1], qt.IsNil)
		}
		var conflict *revision.ConflictError
		qt.Assert(t, errors.As(lost, &conflict), qt.IsTrue, qt.Commentf("%v, %v", errs[0], errs[1]))
		qt.Assert(t, *conflict, qt.Equals, revision.ConflictError{Expected: expected, Actual: expected + 1})
		qt.Assert(t, verdict.FromError(lost).Verdict, qt.Equals, verdict.NotRun)
	}
	qt.Assert(t, d.Members[0].Distributor.CatchUp(context.Background(), rounds+1), qt.IsNil)
	qt.Check(t, d.Members[0].Distributor.Current().Adapters["a"].Versions, qt.HasLen, rounds+1)
}

// lostAnswers accepts changes and loses the answer.
type lostAnswers struct{ *revision.Distributor }

func (l lostAnswers) Accept(ctx context.Context, expected configuration.Revision, change configuration.Change) (configuration.Revision, error) {
	if _, err := l.Distributor.Accept(ctx, expected, change); err != nil {
		return 0, err
	}
	return 0, verdict.NewMayHaveRun(verdict.CodeTableUnavailable, nil, "answer lost")
}

// Guards against a repeated edit that is made twice, or refused because other
// changes came between.
func TestLostAnswerIsRepeatedAtAnotherHost(t *testing.T) {
	d := startDeployment(t, 2)
	lossy := &operation.Editor{Revisions: lostAnswers{d.Members[0].Distributor}}
	_, err := lossy.Apply(context.Background(), addVersion(1, "op", 5))
	qt.Assert(t, verdict.FromError(err).Verdict, qt.Equals, verdict.MayHaveRun)
	_, err = editor(d, 1).Apply(context.Background(), addVersion(2, "between", 6))
	qt.Assert(t, err, qt.IsNil)

	for host := range d.Members {
		again, err := editor(d, host).Apply(context.Background(), addVersion(3, "op", 5))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, again, qt.Equals, operation.EditResult{Revision: 2, Repeated: true})
	}
	_, err = editor(d, 0).Apply(context.Background(), addVersion(3, "op", 7))
	qt.Check(t, err, qt.ErrorMatches, "change is not valid: operation: was used for the different change to revision 2")
	qt.Check(t, d.Members[1].Distributor.Current().Adapters["a"].Versions, qt.DeepEquals, []fleet.AdapterVersion{1, 5, 6})
}

// overtaken makes a request at another host between lookup and catch-up, and
// waits until this host has its change.
type overtaken struct {
	*revision.Distributor
	overtake func()
}

func (o overtaken) CatchUp(context.Context, configuration.Revision) error {
	o.overtake()
	return nil
}

// Guards against an operation that is told to be refused for a conflict while
// its first call, at another host, is accepted.
func TestFirstCallOvertakesRepeat(t *testing.T) {
	for _, test := range []struct {
		name, operation string
		want            string
	}{
		{"by the same operation", "op", ""},
		{"by another operation", "other", "change was not accepted: expected revision 1, but the head is revision 2"},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := startDeployment(t, 2)
			repeat := &operation.Editor{Revisions: overtaken{d.Members[1].Distributor, func() {
				_, err := editor(d, 0).Apply(context.Background(), addVersion(1, test.operation, 5))
				qt.Assert(t, err, qt.IsNil)
				for d.Members[1].Distributor.CatchUp(context.Background(), 2) != nil {
					time.Sleep(time.Millisecond)
				}
			}}}
			result, err := repeat.Apply(context.Background(), addVersion(1, "op", 5))
			if test.want != "" {
				qt.Assert(t, err, qt.ErrorMatches, test.want)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, result, qt.Equals, operation.EditResult{Revision: 2, Repeated: true})
		})
	}
}

// Guards against a change without platform that is not clearly refused.
func TestPlatformAway(t *testing.T) {
	d := startDeployment(t, 1)
	observer := &operation.StatusReporter{Host: d.Members[0].Host.Name, Revisions: d.Members[0].Distributor, Members: d.Members[0].Monitor}
	before := observer.Freshness(context.Background())
	qt.Check(t, before.PlatformUnreachable, qt.IsFalse)
	qt.Check(t, before.Head, qt.Equals, configuration.Revision(1))
	d.Table.SetFaults(platform.TableFaults{Unavailable: true})
	_, err := editor(d, 0).Apply(context.Background(), addVersion(1, "op", 2))
	qt.Check(t, verdict.FromError(err).Verdict, qt.Equals, verdict.NotRun)
	qt.Check(t, verdict.FromError(err).Code, qt.Equals, verdict.CodeTableUnavailable)
	after := observer.Freshness(context.Background())
	qt.Check(t, after.PlatformUnreachable, qt.IsTrue)
	qt.Check(t, *after.Age > 0, qt.IsTrue)
	qt.Check(t, after.Revision, qt.Equals, configuration.Revision(1))
}
