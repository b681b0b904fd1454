package peer

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// TestQuarantineReportKeepsClocks guards against clocks that are lost on the way: the ends of
// engines are then as far apart as their reports arrived.
func TestQuarantineReportKeepsClocks(t *testing.T) {
	c := quicktest.New(t)
	process := site.Process{Host: "host-1", Start: 7}
	report := site.QuarantineReport{
		Known:  map[site.Process]uint64{process: 3, {Host: "host-2", Start: 1}: 0},
		Clocks: map[site.Process]time.Duration{process: time.Minute},
		Observations: []site.ProcessObservations{{
			Process:         process,
			CompleteThrough: 3,
			Observations:    []site.Observation{{Number: 3, Age: time.Second, Clock: 59 * time.Second, Service: "writers", Traits: []string{"bad"}}},
		}},
	}
	c.Assert(ToQuarantineReport(FromQuarantineReport(report)), quicktest.DeepEquals, report)
}
