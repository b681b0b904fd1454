package dailyreport

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/dailyreport"
)

// The windows and the alert threshold of the burn rate of error budgets.
const (
	// ShortWindow makes an alert end soon after its cause has ended.
	ShortWindow = 5 * time.Minute
	// LongWindow prevents an alert on a short disturbance.
	LongWindow = time.Hour
	// AlertThreshold is the burn rate at which 2% of a 30-day error budget is spent
	// in an hour. An alert requires at least this rate in both windows.
	AlertThreshold = 14.4
)

// A BudgetBurn says how fast one application and kind spends the error budget of its
// objective.
type BudgetBurn struct {
	Application configuration.ApplicationName `json:"application"`
	Kind        configuration.KindName        `json:"kind"`
	// Objective is the share of requests to be answered in time, from 0 to 1.
	Objective float64 `json:"objective"`
	// Short and Long cover ShortWindow and LongWindow before the end of the
	// evaluated time.
	Short BurnWindow `json:"short"`
	Long  BurnWindow `json:"long"`
	// BudgetLeft is the share of the day's error budget that is left: 1 if nothing
	// is spent, negative if the budget is overspent.
	BudgetLeft float64 `json:"budget-left"`
	// Alert reports whether the rates of both windows are at least AlertThreshold.
	Alert bool `json:"alert"`
}

// A BurnWindow says how fast the error budget was spent in one window.
type BurnWindow struct {
	// Counted is the number of requests that the objective covers. Failed is the
	// number of those that were not answered in time.
	Counted uint64 `json:"counted"`
	Failed  uint64 `json:"failed"`
	// Rate is the burn rate: the share of failed requests divided by the share that
	// the objective allows to fail. At 1 the error budget is spent exactly. It is 0
	// without requests.
	Rate float64 `json:"rate"`
	// MissingDuration is the time without records in the window, summed over hosts.
	MissingDuration time.Duration `json:"missing"`
}

// EvaluateBurn returns the budget burn of each application and kind at the end of the
// evaluated part of a day. The windows do not extend into the previous day.
func EvaluateBurn(day *DayRecords) []BudgetBurn {
	whole := Evaluate(day)
	short, long := evaluateWindow(day, ShortWindow), evaluateWindow(day, LongWindow)
	burns := make([]BudgetBurn, 0, len(whole.Results))
	for i := range whole.Results {
		l := &whole.Results[i]
		b := BudgetBurn{Application: l.Application, Kind: l.Kind, Objective: l.Objective, BudgetLeft: 1}
		b.Short, b.Long = burnInWindow(short, l), burnInWindow(long, l)
		b.BudgetLeft -= burnRate(l.Counted, l.Counted-l.InTime, l.Objective)
		b.Alert = b.Short.Rate >= AlertThreshold && b.Long.Rate >= AlertThreshold
		burns = append(burns, b)
	}
	return burns
}

// evaluateWindow evaluates the records whose intervals begin in the window of the
// given length. Gaps are computed from all records of the day, because a host with a
// gap may have no record in the window.
func evaluateWindow(day *DayRecords, length time.Duration) *Report {
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
	report := Evaluate(window)
	report.Gaps = findGaps(&DayRecords{From: from, Until: day.Until, Records: day.Records, ObservedSpans: day.ObservedSpans})
	return report
}

// burnInWindow returns the burn of the application and kind of result in a window.
func burnInWindow(window *Report, result *ObjectiveResult) BurnWindow {
	var w BurnWindow
	for i := range window.Gaps {
		w.MissingDuration += window.Gaps[i].MissingDuration
	}
	for i := range window.Results {
		if l := &window.Results[i]; l.Application == result.Application && l.Kind == result.Kind {
			w.Counted, w.Failed = l.Counted, l.Counted-l.InTime
			w.Rate = burnRate(w.Counted, w.Failed, l.Objective)
		}
	}
	return w
}

// minErrorBudget is the smallest error budget, as a share of requests, that burn rates
// are computed with. It keeps the rate finite for an objective of 1.
const minErrorBudget = 1e-6

// burnRate returns the share of failed requests divided by the error budget of the
// objective.
func burnRate(counted, failed uint64, objective float64) float64 {
	if counted == 0 {
		return 0
	}
	return float64(failed) / float64(counted) / max(1-objective, minErrorBudget)
}
