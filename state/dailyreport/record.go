// Package dailyreport has the plain structs of the records from which the page of
// the day is made.
package dailyreport

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// The times of records.
const (
	// Interval is the length of the interval of a record. It divides a day.
	Interval = time.Minute
	// WriteInterval is the time between two writes of the same record, and so the
	// most that is lost with a host while the object store answers.
	WriteInterval = 10 * time.Second
)

// A Record is what one process of a host counted in one interval. Each write
// replaces the whole value.
type Record struct {
	// Host and Start identify the process.
	Host  fleet.HostName    `json:"host"`
	Start fleet.StartNumber `json:"start"`
	// CountingSince is when the process began to count.
	CountingSince time.Time `json:"began"`
	// Interval is the start of the interval, a whole minute in UTC.
	Interval time.Time `json:"interval"`
	// From and Until bound the time that was counted; both are within the
	// interval. A write that takes effect late may put back an older value,
	// whose Until is lower, so that the lost time is seen as a gap.
	From  time.Time `json:"from"`
	Until time.Time `json:"until"`
	// Final says that the process ended with this record in a planned stop.
	Final bool `json:"final"`
	// Counts are in the order of application and kind. They are empty when the
	// host had no requests.
	Counts []RequestCounts `json:"counts"`
	// Uncounted is the number of requests that are missing from Counts because
	// the host could not keep up.
	Uncounted uint64 `json:"uncounted"`
	// DroppedIntervals is the number of intervals that the process had dropped unwritten
	// when it wrote the record.
	DroppedIntervals uint64 `json:"dropped"`
	// ObservedHosts are the live hosts of the failure domain that the host heard, itself
	// left out. Hosts that were heard and have no record have a gap.
	ObservedHosts []fleet.HostName `json:"seen"`
}

// A RequestCounts has the requests of one application and kind.
type RequestCounts struct {
	// Application and Kind are the key.
	Application configuration.ApplicationName `json:"application"`
	Kind        configuration.KindName        `json:"kind"`
	// Repeat is the repeat rule in force.
	Repeat configuration.RepeatRule `json:"repeat"`
	// Objective is the share to be answered in time, from 0 to 1.
	Objective float64 `json:"objective"`
	// Timeout is how long a caller waits at most.
	Timeout time.Duration `json:"deadline"`
	// InTime and Late are the whole answers before and after the deadline.
	InTime uint64 `json:"in-time"`
	Late   uint64 `json:"late"`
	// Replayed and ErrorResponses are parts of InTime and Late and do not overlap:
	// recorded answers of earlier tries, and new answers with an HTTP status of
	// 400 or above, with which a plain service declines a booking.
	Replayed       uint64 `json:"replayed"`
	ErrorResponses uint64 `json:"declined"`
	// Refused are the requests that did not run, by code.
	Refused map[verdict.Code]uint64 `json:"refused"`
	// MayHaveRun are the requests that may have run, by code.
	MayHaveRun map[verdict.Code]uint64 `json:"may-have-run"`
	// UncertainRequests identify requests that may not be repeated and may have run. Each
	// is held once and their number is bounded.
	UncertainRequests []UncertainRequest `json:"doubts"`
	// UncertainRequestsOmitted is the number of such ends that UncertainRequests had no room for.
	UncertainRequestsOmitted uint64 `json:"doubts-left-out"`
	// LoadStalls and Durations are HDR histograms in microseconds, in the compressed
	// V2 encoding in base64; empty without values. LoadStalls has the load stalls of
	// whole answers of engines, Durations the whole answers that are not replayed.
	LoadStalls string `json:"stalls"`
	Durations  string `json:"durations"`
}

// A UncertainRequest identifies a request that may have run.
type UncertainRequest struct {
	Caller string          `json:"caller"`
	ID     fleet.RequestID `json:"id"`
}

// ResponseCount returns the number of whole answers.
func (c *RequestCounts) ResponseCount() uint64 {
	return c.InTime + c.Late
}
