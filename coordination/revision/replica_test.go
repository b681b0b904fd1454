package revision

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/configuration"
)

// changesBetween returns empty changes for the revisions after from up to to.
func changesBetween(from, to configuration.Revision) []configuration.Change {
	var changes []configuration.Change
	for revision := from + 1; revision <= to; revision++ {
		changes = append(changes, configuration.Change{Revision: revision})
	}
	return changes
}

// TestReplicaAppliesOnlyHigherRevisionsInOrder guards against a late answer with
// old changes or an old snapshot that returns a host to an earlier revision, and
// against changes that are applied although one before them is missing.
func TestReplicaAppliesOnlyHigherRevisionsInOrder(t *testing.T) {
	snapshot := func(revision configuration.Revision) *configuration.Configuration {
		return &configuration.Configuration{Revision: revision}
	}
	tests := []struct {
		name     string
		changes  []configuration.Change
		snapshot *configuration.Configuration
		want     configuration.Revision
	}{
		{name: "nothing", want: 5},
		{name: "next", changes: changesBetween(5, 7), want: 7},
		{name: "overlap", changes: changesBetween(2, 6), want: 6},
		{name: "old", changes: changesBetween(1, 4), want: 5},
		{name: "gap", changes: changesBetween(6, 9), want: 5},
		{name: "gap within", changes: append(changesBetween(5, 6), changesBetween(7, 9)...), want: 6},
		{name: "late lower snapshot", snapshot: snapshot(3), want: 5},
		{name: "higher snapshot", snapshot: snapshot(9), want: 9},
		{name: "snapshot and changes after it", snapshot: snapshot(8), changes: changesBetween(8, 10), want: 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			before := (&replica{}).withUpdates(changesBetween(0, 5), nil)
			got := before.withUpdates(test.changes, test.snapshot)
			c.Assert(got.revision(), quicktest.Equals, test.want)
			c.Assert(before.revision(), quicktest.Equals, configuration.Revision(5))
			if len(got.changes) > 0 {
				c.Assert(got.changes[len(got.changes)-1].Revision, quicktest.Equals, test.want)
			}
		})
	}
}
