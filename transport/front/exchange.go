package front

import (
	"context"
	"errors"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/coordination/forward"
	"github.com/persimmonmux/persimmonmux/coordination/refusal"
	"github.com/persimmonmux/persimmonmux/platform"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

// An exchange is one request of a caller and the connection for its response. It
// implements forward.Exchange and is used by the request's goroutine only.
type exchange struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	body    []byte
	// responseStarted reports whether the status and headers of a response were
	// sent to the caller.
	responseStarted bool
	// lastEventID is the id of the last event that was sent to the caller. A server
	// that resumes the stream continues after it.
	lastEventID string
	// refusedBy lists the servers that have refused the request.
	refusedBy []site.ServerID
}

// ResponseStarted reports whether the caller has got a part of a response.
func (e *exchange) ResponseStarted() bool { return e.responseStarted }

// Send forwards the request to a server once and reads the status and headers of
// the response. The error is a *verdict.Error; its verdict is NotRun if certainly no
// byte of the request was written. A response with another attempt id belongs to another
// request and is an error, also if it states that the request did not run.
func (e *exchange) Send(ctx context.Context, server *site.Server, options forward.SendOptions) (forward.Response, error) {
	out := &backend.RawRequest{
		Address: server.Address,
		Method:  e.request.Method,
		Target:  e.request.RequestURI,
		Host:    e.request.Host,
		Header:  e.requestHeader(server, options),
		Body:    e.body,
		// A server that repeats its refusal on a kept connection cannot be told from one
		// that refuses the request again.
		NewConnection: options.NewConnection || slices.Contains(e.refusedBy, server.ID),
	}
	in, wrote, err := e.server.ConnectionPool.Do(ctx, out)
	if err != nil {
		failure := verdict.NewMayHaveRun(verdict.CodeBackendLost, err, "server %s", server.ID)
		if !wrote {
			failure.Verdict = verdict.NotRun
		}
		return nil, failure
	}
	r := &response{exchange: e, incoming: in, expectedServer: string(server.ID)}
	r.evidence = r.readEvidence()
	if !r.isOwn() {
		in.Finish(false)
		return nil, verdict.NewMayHaveRun(verdict.CodeWrongInstance, nil, "server %s: response with status %d has attempt ids %q, not that of the request",
			server.ID, in.StatusCode, in.Header.Values(platform.HeaderAttemptID))
	}
	if r.evidence.Doubt() == refusal.None {
		e.refusedBy = append(e.refusedBy, server.ID)
	}
	return r, nil
}

// requestHeader returns the headers of the request for a server: those of the
// caller without hop-by-hop and reserved headers, and those from the options.
func (e *exchange) requestHeader(server *site.Server, options forward.SendOptions) http.Header {
	header := make(http.Header, len(e.request.Header)+4)
	drop := headersToDrop(e.request.Header)
	for name, values := range e.request.Header {
		if !slices.Contains(drop, name) && !isReserved(name) {
			header[name] = values
		}
	}
	header.Set(platform.HeaderRemainingTime, strconv.FormatInt(max(options.Timeout.Milliseconds(), 1), 10))
	header.Set(platform.HeaderExpectInstance, string(server.ID))
	if options.Version > 0 {
		header.Set(platform.HeaderExpectVersion, strconv.Itoa(options.Version))
	}
	if options.Priority >= 0 {
		header.Set(platform.HeaderRequestPriority, strconv.Itoa(options.Priority))
	}
	if e.lastEventID != "" {
		header.Set(platform.HeaderLastEventID, e.lastEventID)
	}
	return header
}

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// headersToDrop returns hopByHopHeaders and the headers that the Connection header
// names, except those that must be forwarded.
func headersToDrop(header http.Header) []string {
	list := hopByHopHeaders
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			if name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)); name != "" && !mustForward(name) {
				list = append(list[:len(list):len(list)], name)
			}
		}
	}
	return list
}

// mustForward reports whether a header is forwarded even if the Connection header
// names it.
func mustForward(name string) bool {
	switch name {
	case textproto.CanonicalMIMEHeaderKey(platform.HeaderAttemptID), textproto.CanonicalMIMEHeaderKey(platform.HeaderModel),
		textproto.CanonicalMIMEHeaderKey(platform.HeaderTokenCounts), textproto.CanonicalMIMEHeaderKey(platform.HeaderPromptPrefix),
		textproto.CanonicalMIMEHeaderKey(platform.HeaderResponseSignature), "Content-Type":
		return true
	}
	return false
}

// isReserved reports whether only the system may set a header on a request.
func isReserved(name string) bool {
	for _, own := range platform.ReservedHeaders {
		if strings.EqualFold(name, own) {
			return true
		}
	}
	return false
}

// A response is a server's response that is to be delivered to the caller. It
// implements forward.Response and is used by the request's goroutine only.
type response struct {
	exchange *exchange
	incoming *backend.RawResponse
	// expectedServer is the id of the server that the request was sent to.
	expectedServer string
	// evidence is what the response says about whether the request ran.
	evidence refusal.Evidence
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
	if running, waiting, slots, ok := platform.DecodeServerLoad(r.incoming.Header.Get(platform.HeaderServerLoad)); ok {
		head.Load = &balance.LoadReport{Running: running, Waiting: waiting, Slots: slots}
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
