// Package backend sends HTTP requests to backend servers and to the platform. It writes
// each request at most once: it never resends a request and follows no redirect.
package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	// defaultDialTimeout bounds a connection attempt of a Client.
	defaultDialTimeout = 2 * time.Second
	// idleConnTimeout is shorter than the 60 s or more after which servers usually close
	// an unused connection. If the server closes the connection while a request is being
	// written to it, it is unknown whether the request ran.
	idleConnTimeout = 30 * time.Second
	// maxIdleConnsPerServer bounds the unused connections to one server.
	maxIdleConnsPerServer = 64
	// maxResponseHeaderBytes bounds the header of a response.
	maxResponseHeaderBytes = 16 << 10
)

// ErrClosed is returned by BeginCall after Close has been called.
var ErrClosed = errors.New("HTTP client is closed")

// A Client sends requests through a net/http transport and keeps unused connections for
// later requests. It is safe for concurrent use; its zero value is ready for use.
type Client struct {
	// DialTimeout bounds a connection attempt; zero means 2 s. It must not change after
	// the first call.
	DialTimeout time.Duration
	// SingleUse means that each connection carries one request, so that no response to an earlier
	// request can be taken for that of a later one. It must not change after the first call.
	SingleUse bool

	mutex     sync.Mutex
	transport *http.Transport
	closed    bool
	// dialContext is canceled by Close to end connection attempts.
	dialContext context.Context
	cancelDials context.CancelFunc
	// activeCalls counts the calls between BeginCall and their end.
	activeCalls sync.WaitGroup
	// openConns counts connections from their dial until they are closed.
	openConns sync.WaitGroup
}

// BeginCall registers a call that Close waits for, and returns the function that ends
// it. Its error is ErrClosed after Close. Send and CloseIdleConnections may be called
// only while a call is registered.
func (c *Client) BeginCall() (func(), error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	if c.transport == nil {
		c.createTransport()
	}
	c.activeCalls.Add(1)
	return c.activeCalls.Done, nil
}

// createTransport creates the transport at the first call. BeginCall holds the mutex.
func (c *Client) createTransport() {
	c.dialContext, c.cancelDials = context.WithCancel(context.Background())
	c.transport = &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		DisableKeepAlives:      c.SingleUse,
		IdleConnTimeout:        idleConnTimeout,
		MaxIdleConnsPerHost:    maxIdleConnsPerServer,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// maxSendTries bounds the unused connections that one Send finds retired, each of which it removes.
const maxSendTries = 32

// Send sends a request of NewRequest once; it must be called between BeginCall and the end of that
// call. With an error, wrote says whether a byte of the request may have been written; false proves
// that none was written and none will be. With a nil error, the body of the response has to be
// closed.
func (c *Client) Send(r *http.Request) (response *Response, wrote bool, err error) {
	// net/http resends a request that has one of these headers.
	r.Header.Del("Idempotency-Key")
	r.Header.Del("X-Idempotency-Key")
	for range maxSendTries {
		a := &attempt{contentBytes: r.ContentLength}
		response, wrote, err = c.try(r, a)
		if err == nil || wrote || !a.tookRetired {
			break
		}
		r = renew(r)
	}
	return response, wrote, err
}

// try sends the request over one connection.
func (c *Client) try(r *http.Request, a *attempt) (response *Response, wrote bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		a.isReused = info.Reused
		a.attach(info.Conn)
	}}
	received, err := c.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, a.finish(), err
	}
	if err := a.checkHead(received); err != nil {
		a.finish()
		_ = received.Body.Close()
		return nil, true, err
	}
	if received.Body != http.NoBody {
		received.Body = checkedBody{ReadCloser: received.Body, check: func() error { return checkTrailer(received) }}
	}
	if announcesMissingBody(received) {
		// net/http has put the connection back already, and closes only all unused ones.
		c.transport.CloseIdleConnections()
	}
	return &Response{Response: received, connection: a.connection, isReused: a.isReused}, true, nil
}

// CloseIdleConnections closes the unused connections. It is called after a request
// timed out on a silent connection, because other connections to the same server may be
// silent too.
func (c *Client) CloseIdleConnections() {
	c.transport.CloseIdleConnections()
}

// Close refuses new calls, waits until the calls in flight have ended and closes all
// connections. It does not cancel calls in flight; they end with their contexts. The
// error is always nil.
func (c *Client) Close() error {
	c.mutex.Lock()
	c.closed = true
	started := c.transport != nil
	c.mutex.Unlock()
	if !started {
		return nil
	}
	c.activeCalls.Wait()
	c.cancelDials()
	c.transport.CloseIdleConnections()
	c.openConns.Wait()
	return nil
}

// dial opens a connection whose writes are counted. Close cancels it.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	timeout := c.DialTimeout
	if timeout == 0 {
		timeout = defaultDialTimeout
	}
	c.openConns.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.dialContext, cancel)()
	dialer := net.Dialer{Timeout: timeout}
	raw, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		c.openConns.Done()
		return nil, err
	}
	return &countingConn{Conn: raw, onClose: c.openConns.Done}, nil
}
