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

// startDeployment starts hosts whose configuration at revision 1 has the adapter a
// with version 1, and waits until each host has applied that revision.
func startDeployment(t *testing.T, hosts int) *deployment.Deployment {
	d := deployment.New(1)
	d.StartAll(1, hosts)
	t.Cleanup(d.Close)
	result, err := newEditor(d, 0).Apply(context.Background(), operation.EditRequest{
		OperationID: "first", Edit: operation.CreateAdapter{Adapter: configuration.Adapter{Name: "a", Versions: []fleet.AdapterVersion{1}, Current: 1}},
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, result, qt.Equals, operation.EditResult{Revision: 1})
	// CatchUp fails while the distributor of a host has not started yet, so retry.
	for _, member := range d.Members {
		for deadline := time.Now().Add(5 * time.Second); member.Distributor.CatchUp(context.Background(), 1) != nil; time.Sleep(time.Millisecond) {
			qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
		}
	}
	return d
}

func newEditor(d *deployment.Deployment, host int) *operation.Editor {
	return &operation.Editor{Revisions: d.Members[host].Distributor}
}

// addVersion returns a request to add a version to the adapter a.
func addVersion(expected configuration.Revision, id string, version fleet.AdapterVersion) operation.EditRequest {
	return operation.EditRequest{
		ExpectedRevision: expected, OperationID: configuration.OperationID(id), Edit: operation.AddVersion{Adapter: "a", Version: version},
	}
}

// TestRacingOperators guards against two operators at different hosts whose edits
// of the same revision are both accepted, and against a conflict error that does
// not name the expected and the actual revision.
func TestRacingOperators(t *testing.T) {
	d := startDeployment(t, 2)
	const rounds = 20
	for round := range rounds {
		expected := configuration.Revision(round + 1)
		var errs [2]error
		var operators sync.WaitGroup
		for i := range errs {
			operators.Go(func() {
				_, errs[i] = newEditor(d, i).Apply(context.Background(), addVersion(expected, fmt.Sprint(round, "-", i), fleet.AdapterVersion(2+2*round+i)))
			})
		}
		operators.Wait()
		refusal := errs[0]
		if refusal == nil {
			refusal = errs[1]
		} else {
			qt.Assert(t, errs[1], qt.IsNil)
		}
		var conflict *revision.ConflictError
		qt.Assert(t, errors.As(refusal, &conflict), qt.IsTrue, qt.Commentf("%v, %v", errs[0], errs[1]))
		qt.Assert(t, *conflict, qt.Equals, revision.ConflictError{Expected: expected, Actual: expected + 1})
		qt.Assert(t, verdict.FromError(refusal).Verdict, qt.Equals, verdict.NotRun)
	}
	qt.Assert(t, d.Members[0].Distributor.CatchUp(context.Background(), rounds+1), qt.IsNil)
	qt.Check(t, d.Members[0].Distributor.Current().Adapters["a"].Versions, qt.HasLen, rounds+1)
}

// lossyStore accepts changes and then returns an error, as if the reply were lost.
type lossyStore struct{ *revision.Distributor }

func (l lossyStore) Accept(ctx context.Context, expected configuration.Revision, change configuration.Change) (configuration.Revision, error) {
	if _, err := l.Distributor.Accept(ctx, expected, change); err != nil {
		return 0, err
	}
	return 0, verdict.NewMayHaveRun(verdict.CodeTableUnavailable, nil, "reply lost")
}

// TestLostReplyIsRepeatedAtAnotherHost guards against an edit that is applied twice,
// or refused as a conflict, when its reply is lost and the operator repeats it at
// any host after another change was accepted. It also guards against another edit
// that reuses the operation ID.
func TestLostReplyIsRepeatedAtAnotherHost(t *testing.T) {
	d := startDeployment(t, 2)
	lossy := &operation.Editor{Revisions: lossyStore{d.Members[0].Distributor}}
	_, err := lossy.Apply(context.Background(), addVersion(1, "op", 5))
	qt.Assert(t, verdict.FromError(err).Verdict, qt.Equals, verdict.MayHaveRun)
	_, err = newEditor(d, 1).Apply(context.Background(), addVersion(2, "between", 6))
	qt.Assert(t, err, qt.IsNil)

	for host := range d.Members {
		again, err := newEditor(d, host).Apply(context.Background(), addVersion(3, "op", 5))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, again, qt.Equals, operation.EditResult{Revision: 2, Repeated: true})
	}
	_, err = newEditor(d, 0).Apply(context.Background(), addVersion(3, "op", 7))
	qt.Check(t, err, qt.ErrorMatches, "change is not valid: operation: was used for the different change to revision 2")
	qt.Check(t, d.Members[1].Distributor.Current().Adapters["a"].Versions, qt.DeepEquals, []fleet.AdapterVersion{1, 5, 6})
}

// overtakenStore calls beforeCatchUp between the lookup of an operation and the
// read of the configuration, so that a test can change the head in
// between. beforeCatchUp waits until this host has the change.
type overtakenStore struct {
	*revision.Distributor
	beforeCatchUp func()
}

func (o overtakenStore) CatchUp(context.Context, configuration.Revision) error {
	o.beforeCatchUp()
	return nil
}

// TestFirstCallOvertakesRepeat guards against a repeated edit that is reported as a
// conflict although the first request of its operation is accepted at another host
// after the repeated one looked the operation up. A change of another operation
// at that moment is a conflict.
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
			repeat := &operation.Editor{Revisions: overtakenStore{d.Members[1].Distributor, func() {
				_, err := newEditor(d, 0).Apply(context.Background(), addVersion(1, test.operation, 5))
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

// TestPlatformUnreachable guards against an edit that is not refused as not run while
// the platform's table is unavailable, and against a status report that does not
// say so or loses the applied revision.
func TestPlatformUnreachable(t *testing.T) {
	d := startDeployment(t, 1)
	reporter := &operation.StatusReporter{Host: d.Members[0].Host.Name, Revisions: d.Members[0].Distributor, Members: d.Members[0].Monitor}
	before := reporter.Freshness(context.Background())
	qt.Check(t, before.PlatformUnreachable, qt.IsFalse)
	qt.Check(t, before.Head, qt.Equals, configuration.Revision(1))
	d.Table.SetFaults(platform.TableFaults{Unavailable: true})
	_, err := newEditor(d, 0).Apply(context.Background(), addVersion(1, "op", 2))
	qt.Check(t, verdict.FromError(err).Verdict, qt.Equals, verdict.NotRun)
	qt.Check(t, verdict.FromError(err).Code, qt.Equals, verdict.CodeTableUnavailable)
	after := reporter.Freshness(context.Background())
	qt.Check(t, after.PlatformUnreachable, qt.IsTrue)
	qt.Check(t, *after.Age > 0, qt.IsTrue)
	qt.Check(t, after.Revision, qt.Equals, configuration.Revision(1))
}
