package engineapi

// The codes of an ErrorDetail.
const (
	// CodeUnknownInstance means that the instance is not loaded. It comes with status
	// 404 and proves that the request did not run.
	CodeUnknownInstance = "unknown-instance"
	// CodeUnknownStream means that the engine no longer has the stream that a request
	// is to resume.
	CodeUnknownStream = "unknown-stream"
	// CodeStaleFencingNumber means that the engine has seen a higher fencing number. It
	// comes with status 409 from engines that refuse lower fencing numbers.
	CodeStaleFencingNumber = "stale-fencing-number"
	// CodeNoFreeSlot means that a load order found no free adapter slot.
	CodeNoFreeSlot = "no-free-slot"
	// CodeLoadFailed means that the weights could not be loaded.
	CodeLoadFailed = "load-failed"
	// CodeMalformed means that the body of the request could not be decoded.
	CodeMalformed = "malformed"
	// CodeCanceled means that a cancel order or the time limit ended the run.
	CodeCanceled = "canceled"
)

// An ErrorBody is the body of a response with an error status, and the data of an
// event that ends a stream before it is complete.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// An ErrorDetail describes an error of an engine.
type ErrorDetail struct {
	// Message is a text for people.
	Message string `json:"message"`
	// Code is one of the Code constants.
	Code string `json:"code"`
}
