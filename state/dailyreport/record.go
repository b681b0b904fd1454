// Package dailyreport has the plain structs of the records that hosts write to the
// object store, and from which the daily report is made.
package dailyreport

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// The intervals of records.
const (
	// Interval is the length of the interval of a record. A day is a multiple of
	// it, so that each record belongs to one day.
	Interval = time.Minute
	// WriteInterval is the time between two writes of the same record. When a
	// host fails while the object store is available, at most the counts of this
	// time are lost.
	WriteInterval = 10 * time.Second
)

// A Record has the counts of one process of a host for one interval. The process
// writes it several times; each write replaces the whole value.
type Record struct {
	// Host and Start identify the process.
	Host  fleet.HostName    `json:"host"`
	Start fleet.StartNumber `json:"start"`
	// CountingSince is when the process began to count. It is the same in all
	// records of the process.
	CountingSince time.Time `json:"began"`
	// Interval is the start of the interval, a whole minute in UTC.
	Interval time.Time `json:"interval"`
	// From and Until bound the time that was counted; both are within the
	// interval or at its end. A delayed write may take effect after a later one
	// and restore an older value. Its Until is lower, so that the report shows
	// the lost time as a gap.
	From  time.Time `json:"from"`
	Until time.Time `json:"until"`
	// Final says that this is the last record of the process, written in a
	// planned stop.
	Final bool `json:"final"`
	// Counts are sorted by application and kind. They are empty if no request
	// ended in the interval.
	Counts []RequestCounts `json:"counts"`
	// Uncounted is the number of requests that are missing from Counts, because
	// requests ended faster than the host could count them.
	Uncounted uint64 `json:"uncounted"`
	// DroppedIntervals is the number of intervals whose records the process had
	// discarded before they were written, from its start until this record. It
	// discards the oldest ones while the object store does not accept writes.
	DroppedIntervals uint64 `json:"dropped"`
	// ObservedHosts are the live hosts of the failure domain that this host heard
	// from in the interval, without itself. A host that is listed here and has
	// no record for the interval has a gap in the report.
	ObservedHosts []fleet.HostName `json:"seen"`
}

// A RequestCounts has the counts of the requests of one application and kind that
// ended in an interval.
type RequestCounts struct {
	// Application and Kind identify the counts within a record.
	Application configuration.ApplicationName `json:"application"`
	Kind        configuration.KindName        `json:"kind"`
	// Repeat is the repeat rule of the kind. Like Objective and Timeout, it is the
	// rule that applied to the request that was counted last.
	Repeat configuration.RepeatRule `json:"repeat"`
	// Objective is the share of requests that should be answered in time, from 0
	// to 1.
	Objective float64 `json:"objective"`
	// Timeout is the longest time that a caller waits for an answer.
	Timeout time.Duration `json:"deadline"`
	// InTime and Late are the numbers of whole answers before and after the
	// deadline of the request.
	InTime uint64 `json:"in-time"`
	Late   uint64 `json:"late"`
	// Replayed and ErrorResponses count answers that InTime and Late also count.
	// Replayed counts recorded answers of earlier attempts. ErrorResponses counts
	// other answers with an HTTP status of 400 or above, with which a plain
	// service declines a booking.
	Replayed       uint64 `json:"replayed"`
	ErrorResponses uint64 `json:"declined"`
	// Refused has the number of requests that did not run, by code.
	Refused map[verdict.Code]uint64 `json:"refused"`
	// MayHaveRun has the number of failed requests that may have run, by code.
	MayHaveRun map[verdict.Code]uint64 `json:"may-have-run"`
	// UncertainRequests identify requests that may not be repeated and may have
	// run. Each is listed once, and the length of the list is bounded.
	UncertainRequests []UncertainRequest `json:"doubts"`
	// UncertainRequestsOmitted counts the requests that did not fit in
	// UncertainRequests. A request that ends so more than once counts each time.
	UncertainRequestsOmitted uint64 `json:"doubts-left-out"`
	// LoadStalls and Durations are HDR histograms of values in microseconds, in
	// the compressed V2 encoding in base64; empty if there are no values. Both
	// cover whole answers that are not replayed: LoadStalls has the time that
	// requests to engines waited for their adapters, Durations the time from the
	// arrival of each request to its answer.
	LoadStalls string `json:"stalls"`
	Durations  string `json:"durations"`
}

// An UncertainRequest identifies a request that may not be repeated and may have run.
type UncertainRequest struct {
	// Caller is the caller on whose behalf the application sent the request.
	Caller string `json:"caller"`
	// ID is the ID that the caller chose.
	ID fleet.RequestID `json:"id"`
}

// ResponseCount returns the number of whole answers, replayed ones included.
func (c *RequestCounts) ResponseCount() uint64 {
	return c.InTime + c.Late
}
