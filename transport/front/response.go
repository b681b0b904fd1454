package front

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/coordination/execution"
	"github.com/persimmonmux/persimmonmux/coordination/forward"
	"github.com/persimmonmux/persimmonmux/platform"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

// A response is a server's response that is to be delivered to the caller. It
// implements forward.Response and is used by the request's goroutine only.
type response struct {
	exchange *exchange
	incoming *backend.RawResponse
	// expectedServer is the id of the server that the request was sent to.
	expectedServer string
	// evidence is what the response says about whether the request ran.
	evidence execution.Evidence
	// deliveredBytes is how much of the body was sent to the caller.
	deliveredBytes int64
}

// Head returns the status and those headers of the response that decide whether it
// is delivered.
func (r *response) Head() forward.ResponseHead {
	head := forward.ResponseHead{
		Status:      r.incoming.StatusCode,
		ContentType: r.incoming.Header.Get("Content-Type"),
		Evidence:    r.evidence,
		Misdirected: r.incoming.StatusCode == http.StatusMisdirectedRequest,
	}
	head.IsEventStream = backend.IsEventStream(head.ContentType)
	signatures := r.incoming.Header.Values(platform.HeaderResponseSignature)
	head.IsSigned = len(signatures) == 1 && signatures[0] != ""
	head.IsEncoded = len(r.incoming.Header.Values("Content-Encoding")) > 0
	head.IsPart = r.incoming.StatusCode == http.StatusPartialContent && r.exchange.request.Header.Get("Range") == ""
	instanceID := r.incoming.Header.Get(platform.HeaderInstanceID)
	head.FromExpectedServer = instanceID == "" || instanceID == r.expectedServer
	if load, ok := platform.DecodeServerLoad(r.incoming.Header.Get(platform.HeaderServerLoad)); ok {
		head.Load = &balance.LoadReport{Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Slowness: load.Slowness}
	}
	head.Leaving = platform.DecodeServerLeaving(r.incoming.Header)
	head.Pause = platform.DecodePause(r.incoming.StatusCode, r.incoming.Header, time.Now())
	head.RateLimit = platform.DecodeServerLimit(r.incoming.Header.Get(platform.HeaderServerLimit))
	return head
}

// Discard drops the response without sending any of it to the caller.
func (r *response) Discard() {
	r.incoming.DiscardBody()
}

// Abort drops the response and closes its connection.
func (r *response) Abort() {
	r.incoming.Finish(false)
}

// DeliverStream sends the events of a stream to the caller. The error is a
// *forward.IncompleteError.
func (r *response) DeliverStream(_ context.Context, observer forward.DeliveryObserver) error {
	return r.deliver(func() error { return r.deliverStream(observer) })
}

// DeliverBody sends the response to the caller with its body as it is. The error is a
// *forward.IncompleteError.
func (r *response) DeliverBody(context.Context) error {
	return r.deliver(r.deliverWhole)
}

// deliver runs send and releases the connection.
func (r *response) deliver(send func() error) error {
	err := send()
	// net/http writes the end of the body after this.
	r.extendWriteDeadline()
	r.incoming.Finish(err == nil)
	var incomplete *forward.IncompleteError
	if errors.As(err, &incomplete) {
		incomplete.DeliveredBytes = r.deliveredBytes
	}
	return err
}

// writeHeader sends the status and headers of the response unless that was done
// before. length is the size of the body, or less than 0 if it is not known.
func (r *response) writeHeader(length int64) {
	e := r.exchange
	if e.responseStarted {
		return
	}
	e.responseStarted = true
	header := e.writer.Header()
	drop := headersToDrop(r.incoming.Header)
	for name, values := range r.incoming.Header {
		if !slices.Contains(drop, name) {
			header[name] = values
		}
	}
	// net/http adds these headers where they are missing. A nil value prevents that,
	// so that the caller gets only the headers that the server sent.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			header[name] = nil
		}
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	e.writer.WriteHeader(r.incoming.StatusCode)
}

// callerWriteTimeout bounds one write to a caller, so that a caller that stops
// reading does not occupy a server's slot without a time limit.
const callerWriteTimeout = 5 * time.Second

// write sends data to the caller within callerWriteTimeout.
func (r *response) write(data []byte) error {
	r.extendWriteDeadline()
	n, err := r.exchange.writer.Write(data)
	r.deliveredBytes += int64(n)
	if err != nil {
		return &forward.IncompleteError{ClientGone: true, Cause: err}
	}
	return nil
}

// extendWriteDeadline gives the next write to the caller callerWriteTimeout.
func (r *response) extendWriteDeadline() {
	// Without a deadline a write still ends with the connection.
	_ = http.NewResponseController(r.exchange.writer).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
}
