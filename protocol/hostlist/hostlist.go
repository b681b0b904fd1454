// Package platformstore has the JSON structs of the HTTP interface of the
// platform: table, object store, host list and weight store.
package platformstore

import (
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// The paths of the platform.
const (
	PathRead    = "/v1/table/read"
	PathScan    = "/v1/table/scan"
	PathCommit  = "/v1/table/commit"
	PathObjects = "/v1/objects"
	PathHosts   = "/v1/hosts"
	PathWeights = "/v1/weights/fetch"
)

// The codes of failures.
const (
	// CodeUnavailable means that the operation had no effect.
	CodeUnavailable = "unavailable"
	// CodeUnknown means that the operation may have taken effect.
	CodeUnknown = "unknown"
	// CodeNotFound means that the object does not exist.
	CodeNotFound = "not-found"
	// CodeMalformed means that the request could not be read.
	CodeMalformed = "malformed"
)

// A ReadRequest asks for records by key.
type ReadRequest struct {
	Keys []table.Key `json:"keys"`
}

// A ScanRequest asks for up to Limit records with Prefix whose keys sort after After.
type ScanRequest struct {
	Prefix table.Key `json:"prefix"`
	After  table.Key `json:"after"`
	Limit  int       `json:"limit"`
}

// A RecordsAnswer is the answer to a ReadRequest or a ScanRequest.
type RecordsAnswer struct {
	Records []table.Record `json:"records"`
}

// A CommitAnswer is the answer to a table.Transaction.
type CommitAnswer struct {
	Results []table.WriteResult `json:"results"`
}

// An ObjectsAnswer lists keys of objects in rising order.
type ObjectsAnswer struct {
	Keys []string `json:"keys"`
}

// A HostsAnswer is the host list.
type HostsAnswer struct {
	Hosts []fleet.ListedHost `json:"hosts"`
}

// A WeightsRequest asks for the weights of an adapter version. The answer comes
// when the transfer has ended.
type WeightsRequest struct {
	Adapter string `json:"adapter"`
}

// A Failure is the body of an answer that is not a success.
type Failure struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}
