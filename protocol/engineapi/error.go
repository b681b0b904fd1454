package engineapi

// The codes of failures.
const (
	// CodeUnknownInstance comes with status 404 and proves that the request
	// did not run.
	CodeUnknownInstance = "unknown-instance"
	// CodeUnknownStream means that the engine does not hold the stream to resume.
	CodeUnknownStream = "unknown-stream"
	// CodeStaleFencingNumber comes with status 409 from engines that refuse old
	// fencing numbers.
	CodeStaleFencingNumber = "stale-fencing-number"
	// CodeNoFreeSlot means that a load order found every slot taken.
	CodeNoFreeSlot = "no-free-slot"
	// CodeLoadFailed means that the weights could not be loaded.
	CodeLoadFailed = "load-failed"
	// CodeMalformed means that the body of the request could not be read.
	CodeMalformed = "malformed"
	// CodeCanceled means that a cancel order or the time limit ended the run.
	CodeCanceled = "canceled"
)

// An ErrorBody is the body of an answer that is not a success, and the data of an
// event that ends a stream early.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// An ErrorDetail says what failed.
type ErrorDetail struct {
	Message string `json:"message"`
	Code    string `json:"code"`
}
