package revision

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/configuration"
)

// changesBetween returns changes that lead from one revision to another.
func changesBetween(from, to configuration.Revision) []configuration.Change {
	var changes []configuration.Change
	for revision := from + 1; revision <= to; revision++ {
		changes = append(changes, configuration.Change{Revision: revision})
	}
	return changes
}

// TestHoldingTakesOnlyHigherRevisionsInOrder guards against late answers that
// take a host back, and against changes over a gap.
func TestHoldingTakesOnlyHigherRevisionsInOrder(t *testing.T) {
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
			held := (&replica{}).with(changesBetween(0, 5), nil)
			got := held.with(test.changes, test.snapshot)
			c.Assert(got.revision(), quicktest.Equals, test.want)
			c.Assert(held.revision(), quicktest.Equals, configuration.Revision(5))
			if len(got.changes) > 0 {
				c.Assert(got.changes[len(got.changes)-1].Revision, quicktest.Equals, test.want)
			}
		})
	}
}
