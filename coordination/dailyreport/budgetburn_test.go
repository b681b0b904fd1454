package dailyreport

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/dailyreport"
)

// TestEvaluateBurn guards against an alert on a short disturbance and against an alert
// that continues after its cause has ended, which happen if only one of the two
// windows is compared with the threshold.
func TestEvaluateBurn(t *testing.T) {
	good, bad := chatCounts(100, 0, 0, 0), chatCounts(0, 100, 0, 0)
	bad.Objective, good.Objective = 0.95, 0.95
	for _, test := range []struct {
		name string
		// bad are the first and the last minute, excluded, with failures only.
		bad        [2]int
		alert      bool
		short      float64
		long       float64
		budgetLeft float64
	}{
		{name: "no failures", bad: [2]int{0, 0}, budgetLeft: 1},
		{name: "failures in both windows", bad: [2]int{60, 120}, alert: true, short: 20, long: 20, budgetLeft: -9},
		{name: "short disturbance", bad: [2]int{114, 120}, short: 20, long: 2, budgetLeft: 0},
		{name: "disturbance has ended", bad: [2]int{60, 114}, long: 18, budgetLeft: -8},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			records := minuteRecords("a", 0, 120, false, good)
			for i := test.bad[0]; i < test.bad[1]; i++ {
				records[i].Counts = []dailyreport.RequestCounts{bad}
			}
			burns := EvaluateBurn(&DayRecords{From: testDay, Until: testDay.Add(2 * time.Hour), Records: records})
			c.Assert(burns, quicktest.HasLen, 1)
			b := burns[0]
			c.Check(b.Alert, quicktest.Equals, test.alert)
			for _, pair := range [][2]float64{{b.Short.Rate, test.short}, {b.Long.Rate, test.long}, {b.BudgetLeft, test.budgetLeft}} {
				c.Check(pair[0]-pair[1] < 1e-6 && pair[1]-pair[0] < 1e-6, quicktest.IsTrue, quicktest.Commentf("got %v, want %v", pair[0], pair[1]))
			}
		})
	}
}
