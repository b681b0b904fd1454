// Package request has the plain structs of a request and its answer.
package request

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A Request is one call of an application, independent of its encoding.
type Request struct {
	// ID is unique for the caller; for a kind that may not be repeated the
	// caller chose it and it is a UUID version 7.
	ID fleet.RequestID
	// RunID identifies the run towards engines and owners. It is unique over
	// all applications and callers, which may choose the same ID: engines
	// cancel and resume runs by it.
	RunID fleet.RequestID
	// Caller is the customer on whose behalf the application calls.
	Caller string
	// Application is the application that was authenticated.
	Application configuration.ApplicationName
	// Kind is the kind of request, with its rules resolved at arrival.
	Kind configuration.Kind
	// Adapter is the exact version to run on; zero for plain services.
	Adapter fleet.AdapterReference
	// Service is the plain service to call; empty for model requests.
	Service configuration.ServiceName
	// Method and Path are the HTTP method and path at a plain service.
	Method, Path string
	// ContentType is the media type of Body as the caller gave it; it may be empty.
	ContentType string
	// Body is the encoded body for the backend server. It is not modified.
	Body []byte
	// Stream says that the caller wants chunks as they come.
	Stream bool
	// Arrived is the time of arrival, with its monotonic reading.
	Arrived time.Time
	// Deadline is when the caller stops waiting; it is after Arrived.
	Deadline time.Time
}

// Repeatable says whether the request may run more than once.
func (r *Request) Repeatable() bool {
	return r.Kind.Repeat == configuration.RepeatAllowed
}
