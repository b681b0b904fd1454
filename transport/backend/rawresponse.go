package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// A RawResponse is the response to a RawRequest, with its body not yet read. It owns
// its connection until Finish, which must be called exactly once.
type RawResponse struct {
	*http.Response

	pool *ConnectionPool
	conn *pooledConn
	// stopContextWatch ends the watch that interrupts the connection when the context of
	// the request ends. It returns false if the context has ended already.
	stopContextWatch func() bool
	// written is the writing of the request, which may go on while the response is read.
	written *requestWrite
	// endContext bounds the wait for the end of the writing at the end of the body.
	endContext context.Context
}

// OnReusedConnection reports whether the connection carried an earlier request, to which a
// response without an id may belong.
func (in *RawResponse) OnReusedConnection() bool {
	return in.conn.isReused
}

// responseStarted waits for input and reports whether a byte of the response has
// arrived. A server may respond and close the connection before it has read the whole
// request.
func responseStarted(conn *pooledConn) bool {
	_, err := conn.reader.Peek(1)
	return err == nil
}

// readHead reads the header of the final response and skips informational responses.
// All of them together have at most maxResponseHeaderBytes. startHeader must have been called.
func readHead(conn *pooledConn, method string) (*http.Response, error) {
	defer conn.endHeader()
	for range maxResponsesPerRequest {
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if !isInformational(response.StatusCode) {
			return response, checkHead(response, conn.head.fields)
		}
	}
	return nil, errors.New("received 8 informational responses, expected a final response")
}

// writeRequest writes the header and a body of at most maxCombinedBodyBytes. A larger
// body is written by a goroutine.
func (in *RawResponse) writeRequest(out *RawRequest) error {
	in.written = newRequestWrite()
	var head strings.Builder
	head.WriteString(out.Method + " " + out.Target + " HTTP/1.1\r\nHost: " + out.Host + "\r\n")
	for name, values := range out.Header {
		for _, value := range values {
			head.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(out.Body) > 0 || out.Method != http.MethodGet && out.Method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(out.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if len(out.Body) <= maxCombinedBodyBytes {
		_, err := in.conn.Write(append([]byte(head.String()), out.Body...))
		in.written.end(err)
		return err
	}
	if _, err := io.WriteString(in.conn, head.String()); err != nil {
		in.written.end(err)
		return err
	}
	go func() {
		_, err := in.conn.Write(out.Body)
		in.written.end(err)
	}()
	return nil
}

// checkEnd returns an error if the body has ended, but may not be whole. A body that ends with its
// connection counts only once the server has received the whole request, because a reset that ends the
// writing may look like an orderly end to the reader.
func (in *RawResponse) checkEnd() error {
	if !endsWithConnection(in.Response) {
		return checkTrailer(in.Response)
	}
	return in.written.awaitReceipt(in.endContext, in.conn.Conn)
}

// Finish releases the connection. complete says that the body was read to its end; the
// connection is then kept for another request if the server allows it, and closed
// otherwise.
func (in *RawResponse) Finish(complete bool) {
	if !complete || !in.isReusable() {
		in.discard()
		return
	}
	in.pool.putIdle(in.conn)
}

// DiscardBody reads a short rest of the body, so that the connection can be used again,
// and finishes the response. If the body does not end soon, the connection is closed.
func (in *RawResponse) DiscardBody() {
	in.Finish(in.ReadToEnd(discardTimeout))
}

// ReadToEnd reads a short rest of the body and drops it. It reports whether the body has ended
// properly within the timeout.
func (in *RawResponse) ReadToEnd(timeout time.Duration) bool {
	_ = in.conn.SetReadDeadline(time.Now().Add(timeout))
	var cancel context.CancelFunc
	in.endContext, cancel = context.WithTimeout(in.endContext, timeout)
	defer cancel()
	n, err := io.Copy(io.Discard, io.LimitReader(in.Body, maxDiscardBytes))
	return err == nil && n < maxDiscardBytes
}

// HasFurtherInput reports whether bytes have arrived after the response, whose body must have been
// read to its end.
func (in *RawResponse) HasFurtherInput() bool {
	return in.conn.reader.Buffered() > 0 || in.conn.peek() == inputData
}

// isReusable reports whether the connection can carry another request: request and
// response are complete, and the context of the request has not interrupted the
// connection. It sets when the connection expires.
func (in *RawResponse) isReusable() bool {
	if !in.stopContextWatch() || in.Close || announcesMissingBody(in.Response) || in.conn.reader.Buffered() > 0 || !in.written.isWhole() {
		return false
	}
	in.conn.expiresAt = time.Now().Add(keepAliveDuration(in.Header))
	return time.Now().Before(in.conn.expiresAt)
}

// keepAliveDuration returns how long an unused connection may be kept after a response
// with the header, at most poolIdleTimeout.
func keepAliveDuration(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.ParseFloat(value, 64); strings.EqualFold(name, "timeout") && err == nil {
			return min(time.Duration(seconds*float64(time.Second))-keepAliveMargin, poolIdleTimeout)
		}
	}
	return poolIdleTimeout
}

// discard closes the connection.
func (in *RawResponse) discard() {
	in.stopContextWatch()
	in.pool.closeConn(in.conn)
}
