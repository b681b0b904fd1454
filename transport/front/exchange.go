package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/coordination/forward"
	"github.com/persimmonmux/persimmonmux/platform"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

// A exchange is the caller of one request. It belongs to the request's goroutine.
type exchange struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	body    []byte
	// started says that the head of an answer was sent to the caller.
	started bool
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
}

// ResponseStarted says whether the caller has got a part of an answer.
func (c *exchange) ResponseStarted() bool { return c.started }

// Send passes the request on and reads the head of the answer.
func (c *exchange) Send(ctx context.Context, server *site.Server, instructions forward.SendOptions) (forward.Response, error) {
	out := &backend.RawRequest{
		Address: server.Address,
		Method:  c.request.Method,
		Target:  c.request.RequestURI,
		Host:    c.request.Host,
		Header:  c.header(server, instructions),
		Body:    c.body,
	}
	in, wrote, err := c.server.ConnectionPool.Do(ctx, out)
	if err != nil {
		failure := verdict.NewMayHaveRun(verdict.CodeBackendLost, err, "server %s", server.ID)
		if !wrote {
			failure.Verdict = verdict.NotRun
		}
		return nil, failure
	}
	a := &response{client: c, incoming: in}
	if id := in.Header.Get(platform.HeaderAttemptID); id != c.request.Header.Get(platform.HeaderAttemptID) && !a.refuses() {
		in.Finish(false)
		return nil, verdict.NewMayHaveRun(verdict.CodeWrongInstance, nil, "server %s answered request %q", server.ID, id)
	}
	a.expected = string(server.ID)
	return a, nil
}

// header returns the headers of the request as a server gets them.
func (c *exchange) header(server *site.Server, instructions forward.SendOptions) http.Header {
	header := make(http.Header, len(c.request.Header)+4)
	drop := connectionHeaders(c.request.Header)
	for name, values := range c.request.Header {
		if !slices.Contains(drop, name) && !reserved(name) {
			header[name] = values
		}
	}
	header.Set(platform.HeaderRemainingTime, strconv.FormatInt(max(instructions.Timeout.Milliseconds(), 1), 10))
	header.Set(platform.HeaderExpectInstance, string(server.ID))
	if instructions.Version > 0 {
		header.Set(platform.HeaderExpectVersion, strconv.Itoa(instructions.Version))
	}
	if instructions.Priority >= 0 {
		header.Set(platform.HeaderRequestPriority, strconv.Itoa(instructions.Priority))
	}
	if c.lastEvent != "" {
		header.Set(platform.HeaderLastEventID, c.lastEvent)
	}
	return header
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// connectionHeaders returns hopHeaders and those that the Connection header names.
func connectionHeaders(header http.Header) []string {
	list := hopHeaders
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			if name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)); name != "" && !kept(name) {
				list = append(list[:len(list):len(list)], name)
			}
		}
	}
	return list
}

// kept lists headers that a caller cannot have dropped by naming them.
func kept(name string) bool {
	switch name {
	case textproto.CanonicalMIMEHeaderKey(platform.HeaderAttemptID), textproto.CanonicalMIMEHeaderKey(platform.HeaderModel),
		textproto.CanonicalMIMEHeaderKey(platform.HeaderTokenCounts), "X-Prompt-Prefix":
		return true
	}
	return false
}

func reserved(name string) bool {
	for _, own := range platform.ReservedHeaders {
		if strings.EqualFold(name, own) {
			return true
		}
	}
	return false
}

// An answer is a server's answer on its way to the caller.
type response struct {
	client   *exchange
	incoming *backend.RawResponse
	expected string
}

// refuses says whether the server states that the request did not run.
func (a *response) refuses() bool {
	return a.incoming.StatusCode == http.StatusMisdirectedRequest || a.incoming.Header.Get(platform.HeaderNotExecuted) != ""
}

// Head returns the beginning of the answer.
func (a *response) Head() forward.ResponseHead {
	head := forward.ResponseHead{
		Status:      a.incoming.StatusCode,
		NotRun:      a.refuses(),
		Misdirected: a.incoming.StatusCode == http.StatusMisdirectedRequest,
	}
	other := a.incoming.Header.Get(platform.HeaderInstanceID)
	head.FromExpectedServer = other == "" || other == a.expected
	if running, waiting, slots, ok := platform.DecodeServerLoad(a.incoming.Header.Get(platform.HeaderServerLoad)); ok {
		head.Load = &balance.LoadReport{Running: running, Waiting: waiting, Slots: slots}
	}
	return head
}

// discardLimit is the most bytes of an unwanted answer that are read to keep its
// connection.
const discardLimit = 16 << 10

// Discard gives the answer up.
func (a *response) Discard() {
	n, err := io.Copy(io.Discard, io.LimitReader(a.incoming.Body, discardLimit))
	a.incoming.Finish(err == nil && n < discardLimit)
}

// errNoReceipt means that a success lacks the server's signature.
var errNoReceipt = errors.New("success without a receipt")

// Deliver passes the answer on to the caller.
func (a *response) Deliver(_ context.Context) error {
	c, in := a.client, a.incoming
	success := in.StatusCode < http.StatusMultipleChoices
	if success && in.Header.Get(platform.HeaderResponseSignature) == "" {
		in.Finish(false)
		return &forward.IncompleteError{Cause: errNoReceipt}
	}
	if c.started && !success {
		a.Discard()
		return &forward.IncompleteError{Cause: errors.New("resumed stream was refused with status " + strconv.Itoa(in.StatusCode))}
	}
	stream := success && strings.HasPrefix(in.Header.Get("Content-Type"), "text/event-stream")
	var err error
	if stream {
		err = a.stream()
	} else {
		err = a.whole()
	}
	in.Finish(err == nil)
	return err
}

// wholeLimit is the size up to which an answer is read whole before its head is
// passed on, so that one that breaks off can be replaced.
const wholeLimit = 256 << 10

// whole passes an answer on that is not a stream.
func (a *response) whole() error {
	in := a.incoming
	body, err := io.ReadAll(io.LimitReader(in.Body, wholeLimit))
	if err != nil {
		return &forward.IncompleteError{Cause: err}
	}
	if len(body) < wholeLimit {
		// The body is complete, also where the server gave no length.
		a.head(int64(len(body)))
		return a.write(body)
	}
	a.head(in.ContentLength)
	if err := a.write(body); err != nil {
		return err
	}
	buffer := make([]byte, 32<<10)
	for {
		n, err := in.Body.Read(buffer)
		if n > 0 {
			if err := a.write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &forward.IncompleteError{Cause: err}
		}
	}
}

// head sends the head of the answer. length is less than 0 if it is not known.
func (a *response) head(length int64) {
	c := a.client
	if c.started {
		return
	}
	c.started = true
	header := c.writer.Header()
	drop := connectionHeaders(a.incoming.Header)
	for name, values := range a.incoming.Header {
		if !slices.Contains(drop, name) {
			header[name] = values
		}
	}
	// net/http adds these where they are missing; the answer is the server's.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			header[name] = nil
		}
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.writer.WriteHeader(a.incoming.StatusCode)
}

// writeLimit bounds one write to a caller, so that one that does not read holds
// no server's slot.
const writeLimit = 5 * time.Second

func (a *response) write(data []byte) error {
	controller := http.NewResponseController(a.client.writer)
	_ = controller.SetWriteDeadline(time.Now().Add(writeLimit))
	if _, err := a.client.writer.Write(data); err != nil {
		return &forward.IncompleteError{ClientGone: true, Cause: err}
	}
	return nil
}
