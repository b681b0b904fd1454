// Package backend has HTTP connections to backend servers and to the platform.
// One try is one write: a request is never resent and no redirect is followed.
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
	// defaultDialLimit bounds a connection attempt.
	defaultDialLimit = 2 * time.Second
	// idleLimit closes unused connections before a server's usual limit of
	// 60 s or more does, because a request on a connection that the server
	// closes at the same time ends in doubt.
	idleLimit = 30 * time.Second
	// idlePerServer is the number of unused connections kept for each server.
	idlePerServer = 64
	// maximumHeader bounds the header of an answer, in bytes.
	maximumHeader = 64 << 10
)

// ErrClosed is returned by BeginCall after Close.
var ErrClosed = errors.New("connections are closed")

// Client is a pool of connections. It is safe for concurrent use; its zero
// value is ready.
type Client struct {
	// DialTimeout bounds a connection attempt; zero means 2 s. It is set before use.
	DialTimeout time.Duration

	mutex     sync.Mutex
	transport *http.Transport
	closed    bool
	closing   context.Context
	cancel    context.CancelFunc
	calls     sync.WaitGroup
	open      sync.WaitGroup
}

// BeginCall counts a call that Close waits for. The returned function ends it.
func (c *Client) BeginCall() (func(), error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	if c.transport == nil {
		c.start()
	}
	c.calls.Add(1)
	return c.calls.Done, nil
}

func (c *Client) start() {
	c.closing, c.cancel = context.WithCancel(context.Background())
	c.transport = &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		IdleConnTimeout:        idleLimit,
		MaxIdleConnsPerHost:    idlePerServer,
		MaxResponseHeaderBytes: maximumHeader,
	}
}

// Send makes one try between BeginCall and its end. With an error, wrote says
// whether a byte of the request may have been written; false is proof that none
// was or will be. With a nil error the caller closes the body of the answer.
func (c *Client) Send(r *http.Request) (answer *http.Response, wrote bool, err error) {
	// net/http takes these headers for permission to resend.
	r.Header.Del("Idempotency-Key")
	r.Header.Del("X-Idempotency-Key")
	t := &attempt{}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { t.use(info.Conn) }}
	answer, err = c.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, t.end(), err
	}
	return answer, true, nil
}

// CloseIdleConnections closes the unused connections. It is called after a connection went
// silent, because its neighbours may be silent too.
func (c *Client) CloseIdleConnections() {
	c.transport.CloseIdleConnections()
}

// Close refuses new calls, waits for the calls in flight and closes all
// connections. It does not cut calls off; their contexts end them.
func (c *Client) Close() error {
	c.mutex.Lock()
	c.closed = true
	started := c.transport != nil
	c.mutex.Unlock()
	if !started {
		return nil
	}
	c.calls.Wait()
	c.cancel()
	c.transport.CloseIdleConnections()
	c.open.Wait()
	return nil
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	limit := c.DialTimeout
	if limit == 0 {
		limit = defaultDialLimit
	}
	c.open.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.closing, cancel)()
	dialer := net.Dialer{Timeout: limit}
	raw, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		c.open.Done()
		return nil, err
	}
	return &countingConn{Conn: raw, release: c.open.Done}, nil
}
