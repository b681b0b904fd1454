package daybook

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/daybook"
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

// A Burn is the service-level burn of one application and kind.
type Burn struct {
	Application configuration.ApplicationName `json:"application"`
	Kind        configuration.KindName        `json:"kind"`
	Objective   float64                       `json:"objective"`
	// Short and Long are the windows that end with the evaluated time.
	Short Window `json:"short"`
	Long  Window `json:"long"`
	// BudgetLeft is the part of the day's error budget that is left; it is
	// below zero when the budget is overspent.
	BudgetLeft float64 `json:"budget-left"`
	// Alert says that both windows burn at the threshold or above.
	Alert bool `json:"alert"`
}

// A Window is a part of a Burn.
type Window struct {
	// Counted and Failed are the requests that the objective covers.
	Counted uint64 `json:"counted"`
	Failed  uint64 `json:"failed"`
	// Rate is the speed at which the error budget is spent; at 1 it is spent
	// exactly. It is 0 without requests.
	Rate float64 `json:"rate"`
	// Missing is the time of gaps, summed over hosts.
	Missing time.Duration `json:"missing"`
}

// BurnOf returns the burn at the end of the evaluated part of a day. The
// windows do not reach into the day before.
func BurnOf(day *Day) []Burn {
	whole := Evaluate(day)
	short, long := windowOf(day, ShortWindow), windowOf(day, LongWindow)
	burns := make([]Burn, 0, len(whole.Lines))
	for i := range whole.Lines {
		l := &whole.Lines[i]
		b := Burn{Application: l.Application, Kind: l.Kind, Objective: l.Objective, BudgetLeft: 1}
		b.Short, b.Long = burnIn(short, l), burnIn(long, l)
		b.BudgetLeft -= rateOf(l.Counted, l.Counted-l.InTime, l.Objective)
		b.Alert = b.Short.Rate >= AlertThreshold && b.Long.Rate >= AlertThreshold
		burns = append(burns, b)
	}
	return burns
}

// windowOf evaluates the records whose intervals begin in the window. Gaps come
// from all records, because a host may have none in the window.
func windowOf(day *Day, length time.Duration) *Page {
	from := day.Until.Add(-length).Truncate(daybook.Interval)
	if from.Before(day.From) {
		from = day.From
	}
	window := &Day{From: from, Until: day.Until}
	for i := range day.Records {
		if !day.Records[i].Interval.Before(from) {
			window.Records = append(window.Records, day.Records[i])
		}
	}
	page := Evaluate(window)
	page.Gaps = gapsOf(&Day{From: from, Until: day.Until, Records: day.Records, Seen: day.Seen})
	return page
}

func burnIn(window *Page, of *Line) Window {
	var w Window
	for i := range window.Gaps {
		w.Missing += window.Gaps[i].Missing
	}
	for i := range window.Lines {
		if l := &window.Lines[i]; l.Application == of.Application && l.Kind == of.Kind {
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
