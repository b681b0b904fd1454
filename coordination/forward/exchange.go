// Package forward runs the steps of one request that is passed on unchanged: a
// route, a server, an adapter loaded there, one or more sends, and the answer.
// It knows no encoding and no transport.
package forward

import (
	"context"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/state/site"
)

// A Request is what the decisions need to know of a request.
type Request struct {
	// AttemptID is the id of this try of the client; no other try has it.
	AttemptID string
	// Host is in lower case, without a port; Path is as the client sent it.
	Host, Path string
	// Adapter has an empty Model for requests to plain services.
	Adapter site.Adapter
	// PromptTokens is the length of the prompt; 0 if it is not known.
	PromptTokens int
	// Arrived is when the request was read, and MaxWait how long the client
	// waits from then on; 0 if it did not say.
	Arrived time.Time
	MaxWait time.Duration
}

// SendOptions are what the system adds to a request for one send.
type SendOptions struct {
	// Timeout is how long the server may work.
	Timeout time.Duration
	// Version is the adapter version that the engine has to have; 0 means any.
	Version int
	// Priority is from 0, the most urgent, to 9; less than 0 leaves it out.
	Priority int
}

// A ResponseHead is the beginning of a server's answer.
type ResponseHead struct {
	Status int
	// NotRun says that the server states that it did not run the request.
	NotRun bool
	// Misdirected says that another server has the address, or that the engine
	// does not hold the adapter in the expected version.
	Misdirected bool
	// FromExpectedServer says that a misdirected answer came from the expected server.
	FromExpectedServer bool
	// Load is nil if the server did not tell.
	Load *balance.LoadReport
}

// A Response is a server's answer that the client has not got yet. One of its
// methods Deliver and Discard is called.
type Response interface {
	Head() ResponseHead
	// Deliver passes the answer on to the client. An error is an *IncompleteError.
	Deliver(ctx context.Context) error
	// Discard gives the answer up.
	Discard()
}

// An Exchange is the origin of one request. It belongs to the request's goroutine.
type Exchange interface {
	// Send passes the request on to a server and waits for the beginning of its
	// answer. The error is a *verdict.Error.
	Send(ctx context.Context, server *site.Server, instructions SendOptions) (Response, error)
	// ResponseStarted says whether the client has got a part of an answer.
	ResponseStarted() bool
}

// An IncompleteError is an answer that ended early.
type IncompleteError struct {
	// ClientGone says that the client's connection ended, not the server's.
	ClientGone bool
	Cause      error
}

// Error returns the cause.
func (b *IncompleteError) Error() string {
	if b.ClientGone {
		return "client left: " + b.Cause.Error()
	}
	return "answer broke off: " + b.Cause.Error()
}

// Unwrap returns the cause.
func (b *IncompleteError) Unwrap() error { return b.Cause }
