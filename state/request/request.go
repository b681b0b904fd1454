// Package request has the plain structs of a caller's request and of its answer.
package request

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A Request is one call of an application, independent of its encoding. The entry
// host that receives the call sets the fields.
type Request struct {
	// ID is a UUID in lower case that identifies the request for the caller. For a
	// kind that may not be repeated, the caller chose it and it has version 7.
	ID fleet.RequestID
	// RunID identifies the run of the request at engines and at their owners,
	// which cancel and resume runs by it. It is unique over all applications and
	// callers, because several of them may choose the same ID.
	RunID fleet.RequestID
	// Caller is the customer on whose behalf the application calls.
	Caller string
	// Application is the application that the call's token identified.
	Application configuration.ApplicationName
	// Kind is the kind of request, with the rules that applied at arrival.
	Kind configuration.Kind
	// Adapter is the adapter to run on, with an exact version; the zero value for
	// requests to plain services.
	Adapter fleet.AdapterReference
	// Service is the plain service to call; empty for model requests.
	Service configuration.ServiceName
	// Method and Path are the HTTP method and path at the plain service; empty
	// for model requests.
	Method, Path string
	// ContentType is the media type of Body as the caller gave it; it may be empty.
	ContentType string
	// Body is the encoded body for the backend server. It is not modified.
	Body []byte
	// Stream says that the caller receives the answer in chunks, each as soon as
	// the engine has generated it. Only a repeatable request is streamed.
	Stream bool
	// Arrived is the time of arrival, with a monotonic clock reading.
	Arrived time.Time
	// Deadline is when the caller stops waiting; it is after Arrived.
	Deadline time.Time
}

// Repeatable reports whether the request may run more than once.
func (r *Request) Repeatable() bool {
	return r.Kind.Repeat == configuration.RepeatAllowed
}
