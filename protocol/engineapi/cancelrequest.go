package engineapi

// A CancelRequest ends the run of a request. It succeeds when no such run exists.
type CancelRequest struct {
	// RequestID is the request id that the completion was sent with.
	RequestID string `json:"request_id"`
}
