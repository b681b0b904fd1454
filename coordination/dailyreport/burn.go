package dailyreport

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/dailyreport"
)

// The windows of service-level burn.
const (
	ShortWindow = 5 * time.Minute
	LongWindow  = time.Hour
	// AlertThreshold is the burn rate at which a budget of 30 days loses 2% in
	// an hour. An alert needs it in both windows: the long one keeps out short
	// disturbances and the short one ends the alert soon after its cause.
	AlertThreshold = 14.4
)

// A BudgetBurn is the service-level burn of one application and kind.
type BudgetBurn struct {
	Application configuration.ApplicationName `json:"application"`
	Kind        configuration.KindName        `json:"kind"`
	Objective   float64                       `json:"objective"`
	// Short and Long are the windows that end with the evaluated time.
	Short BurnWindow `json:"short"`
	Long  BurnWindow `json:"long"`
	// BudgetLeft is the part of the day's error budget that is left; it is
	// below zero when the budget is overspent.
	BudgetLeft float64 `json:"budget-left"`
	// Alert says that both windows burn at the threshold or above.
	Alert bool `json:"alert"`
}

// A BurnWindow is a part of a BudgetBurn.
type BurnWindow struct {
	// Counted and Failed are the requests that the objective covers.
	Counted uint64 `json:"counted"`
	Failed  uint64 `json:"failed"`
	// Rate is the speed at which the error budget is spent; at 1 it is spent
	// exactly. It is 0 without requests.
	Rate float64 `json:"rate"`
	// MissingDuration is the time of gaps, summed over hosts.
	MissingDuration time.Duration `json:"missing"`
}

// EvaluateBurn returns the burn at the end of the evaluated part of a day. The
// windows do not reach into the day before.
func EvaluateBurn(day *DayRecords) []BudgetBurn {
	whole := Evaluate(day)
	short, long := windowOf(day, ShortWindow), windowOf(day, LongWindow)
	burns := make([]BudgetBurn, 0, len(whole.Results))
	for i := range whole.Results {
		l := &whole.Results[i]
		b := BudgetBurn{Application: l.Application, Kind: l.Kind, Objective: l.Objective, BudgetLeft: 1}
		b.Short, b.Long = burnIn(short, l), burnIn(long, l)
		b.BudgetLeft -= rateOf(l.Counted, l.Counted-l.InTime, l.Objective)
		b.Alert = b.Short.Rate >= AlertThreshold && b.Long.Rate >= AlertThreshold
		burns = append(burns, b)
	}
	return burns
}

// windowOf evaluates the records whose intervals begin in the window. Gaps come
// from all records, because a host may have none in the window.
func windowOf(day *DayRecords, length time.Duration) *Report {
	from := day.Until.Add(-length).Truncate(dailyreport.Interval)
	if from.Before(day.From) {
		from = day.From
	}
	window := &DayRecords{From: from, Until: day.Until}
	for i := range day.Records {
		if !day.Records[i].Interval.Before(from) {
			window.Records = append(window.Records, day.Records[i])
		}
	}
	page := Evaluate(window)
	page.Gaps = gapsOf(&DayRecords{From: from, Until: day.Until, Records: day.Records, ObservedSpans: day.ObservedSpans})
	return page
}

func burnIn(window *Report, of *ObjectiveResult) BurnWindow {
	var w BurnWindow
	for i := range window.Gaps {
		w.MissingDuration += window.Gaps[i].MissingDuration
	}
	for i := range window.Results {
		if l := &window.Results[i]; l.Application == of.Application && l.Kind == of.Kind {
			w.Counted, w.Failed = l.Counted, l.Counted-l.InTime
			w.Rate = rateOf(w.Counted, w.Failed, l.Objective)
		}
	}
	return w
}

// leastBudget stands for the error budget of an objective of 1, so that rates
// stay finite.
const leastBudget = 1e-6

func rateOf(counted, failed uint64, objective float64) float64 {
	if counted == 0 {
		return 0
	}
	return float64(failed) / float64(counted) / max(1-objective, leastBudget)
}
