package engineapi

// A CancelRequest is the body of a PathCancel request, which ends the run of a
// completion. It also succeeds when no such run exists.
type CancelRequest struct {
	// RequestID is the value of HeaderRequestID that the completion was sent with.
	RequestID string `json:"request_id"`
}
