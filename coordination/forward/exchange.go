// Package forward runs the steps of one proxied request: choosing a route and a
// server, having the adapter loaded there, sending the request once or several
// times, and delivering the response. It depends on no message encoding and no
// transport.
package forward

import (
	"context"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/coordination/execution"
	"github.com/persimmonmux/persimmonmux/state/site"
)

// A Request is the part of a client's request that routing and retries depend on.
type Request struct {
	// AttemptID identifies this request of the client; a retry by the client
	// has another one.
	AttemptID string
	// Host is the requested host name in lower case, without a port. Path is
	// unchanged from the client's request.
	Host, Path string
	// HasKey says that the request has an API key, and Key is its digest.
	HasKey bool
	Key    site.KeyDigest
	// Adapter is the requested adapter. Its Model is empty for requests to
	// services without engines.
	Adapter site.Adapter
	// PromptTokens is the length of the prompt, or 0 if it is unknown.
	PromptTokens int
	// MaxOutputTokens is the largest number of tokens that the answer may have, or 0 if it is
	// unknown.
	MaxOutputTokens int
	// PromptParts are the ids of those parts of the prompt that other requests may
	// share, in their order.
	PromptParts []string
	// ContentID identifies the method, target and body. Requests that are alike have the
	// same one.
	ContentID string
	// LastEventID is the id of the last event that the client has of a stream that it
	// resumes, or empty.
	LastEventID string
	// Arrived is when the request was read. MaxWait is how long the client waits
	// from then on, or 0 if it did not say.
	Arrived time.Time
	MaxWait time.Duration
}

// SendOptions holds the values added to a request for one send.
type SendOptions struct {
	// Timeout is how long the server may take.
	Timeout time.Duration
	// Version is the adapter version that the engine must hold; 0 means any.
	Version int
	// NewConnection means that the request goes over a connection that has carried no other one.
	NewConnection bool
	// Organisation is the organisation that the request belongs to, or empty.
	Organisation site.OrganisationName
	// Priority ranges from 0, the most urgent, to 9. A negative value means that
	// no priority is sent.
	Priority int
}

// A ResponseHead is what a server's response states before its body.
type ResponseHead struct {
	Status int
	// ContentType is the type that the server states for the body, or empty. IsEventStream
	// says that it is that of a stream.
	ContentType   string
	IsEventStream bool
	// IsSigned means that the response has one signature, as each success has.
	IsSigned bool
	// IsEncoded means that the body is encoded, for example compressed.
	IsEncoded bool
	// IsPart means that the body is a part of the whole one, for which the request did not ask.
	IsPart bool
	// Evidence is what the response says about whether the request ran.
	Evidence execution.Evidence
	// Misdirected means that another server has the address now, or that the
	// engine does not hold the adapter in the expected version.
	Misdirected bool
	// FromExpectedServer means that a misdirected response came from the server
	// it was sent to, so that the adapter is what is missing.
	FromExpectedServer bool
	// Load is the load stated by the server, or nil.
	Load *balance.LoadReport
	// RateLimit is the number of requests a second that the server takes from all hosts
	// together, or 0 if it states none.
	RateLimit float64
	// Leaving means that the server states that it leaves.
	Leaving bool
	// Pause is how long the server wants nothing from this host, or 0 if it states no pause.
	Pause time.Duration
}

// IsSuccess reports whether the status is that of a success.
func (h ResponseHead) IsSuccess() bool {
	return h.Status < lowestRedirectStatus
}

// ProvesNotRun reports whether the response proves that the request did not run.
func (h ResponseHead) ProvesNotRun() bool {
	return h.Evidence.Doubt() == execution.None
}

// PromisesNotRun reports whether the status promises a client that its request has not run and
// will not run later. Only a response that also states so may keep that promise.
func (h ResponseHead) PromisesNotRun() bool {
	switch h.Status {
	case statusRequestTimeout, statusMisdirected, statusTooManyRequests, statusUnavailable:
		return true
	}
	return false
}

// A Response is a server's response that has not been passed to the client yet.
// Exactly one of DeliverStream, DeliverBody, Discard and Abort is called.
type Response interface {
	Head() ResponseHead
	// DeliverStream passes the events of a stream on to the client. It checks each with
	// the observer and tells it of each that was passed on. Its error is an
	// *IncompleteError.
	DeliverStream(ctx context.Context, observer DeliveryObserver) error
	// DeliverBody passes the response on to the client with its body as it is. It is not
	// called once the client has a part of a response. Its error is an *IncompleteError.
	DeliverBody(ctx context.Context) error
	// Discard drops the response. Its connection may carry further requests.
	Discard()
	// Abort drops a response that is not one to the request, and closes its connection. A late
	// answer on it could be taken for that of the next send, which has the same id.
	Abort()
}

// A DeliveryObserver decides which events the client of a request gets, and is told of
// what it has received.
type DeliveryObserver interface {
	// CheckEvent is called before each event of a stream. If it returns an error, the
	// event is not passed on, and the delivery ends.
	CheckEvent(event site.StreamEvent) error
	// CheckEnd is called at the end of a stream that the server ended properly. If it
	// returns an error, the stream is not complete.
	CheckEnd() error
	// EventDelivered is called after each event of a stream that has data.
	EventDelivered()
}

// An Exchange connects one client request with the servers it is sent to. Only
// the request's goroutine uses it.
type Exchange interface {
	// Send sends the request to a server and waits for the head of the response.
	// Its error is a *verdict.Error.
	Send(ctx context.Context, server *site.Server, options SendOptions) (Response, error)
	// ResponseStarted reports whether the client has received any part of a
	// response.
	ResponseStarted() bool
}

// An IncompleteError means that a response ended before it was complete.
type IncompleteError struct {
	// ClientGone means that the client's connection ended, not the server's.
	ClientGone bool
	// DeliveredBytes is how much of the body was sent to the client.
	DeliveredBytes int64
	Cause          error
}

// Error states which side ended the response, and the cause.
func (b *IncompleteError) Error() string {
	if b.ClientGone {
		return "client left: " + b.Cause.Error()
	}
	return "response ended early: " + b.Cause.Error()
}

// Unwrap returns the cause.
func (b *IncompleteError) Unwrap() error { return b.Cause }
