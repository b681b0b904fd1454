package backend

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// poolDialTimeout bounds a connection attempt of a ConnectionPool. A request to a
	// server that does not accept within this time is sent to another server.
	poolDialTimeout = 400 * time.Millisecond
	// poolIdleTimeout bounds how long an unused connection is kept. A shorter timeout in
	// the Keep-Alive header of the server applies instead, less keepAliveMargin.
	poolIdleTimeout = 4 * time.Second
	// keepAliveMargin is subtracted from the timeout in the Keep-Alive header, so that the
	// pool stops using a connection before the server closes it.
	keepAliveMargin = 500 * time.Millisecond
	// maxCombinedBodyBytes is the size up to which a body is written together with the
	// header before the response is read. A longer body is written while the response is
	// read, because a server may respond before it has read the whole body.
	maxCombinedBodyBytes = 8 << 10
	// maxDiscardBytes and discardTimeout bound how much of an unwanted body is read, and
	// for how long, so that its connection can be used again.
	maxDiscardBytes = 16 << 10
	discardTimeout  = 50 * time.Millisecond
	// maxResponsesPerRequest is the most responses that are read for one request: those
	// with status 1xx and the final one.
	maxResponsesPerRequest = 8
)

// A ConnectionPool sends requests over its own HTTP/1.1 connections, without net/http
// transports. It sends each request once, and uses a connection again only if no unread
// input waits on it. It is safe for concurrent use; its zero value is ready for use.
type ConnectionPool struct {
	mutex sync.Mutex
	// idle has the unused connections by server address; the last one was used most
	// recently.
	idle   map[string][]*pooledConn
	closed bool
	// lastSweep is when expired connections were last removed.
	lastSweep time.Time
}

// A RawRequest is a request whose target and header are written as they are given.
type RawRequest struct {
	// Address is the HOST:PORT that is dialed.
	Address string
	Method  string
	// Target is the path with the query as it is written on the request line.
	Target string
	// Host is the value of the Host header.
	Host string
	// Header must not contain Host or Content-Length, which are written apart.
	Header http.Header
	Body   []byte
	// NewConnection says that no kept connection is used.
	NewConnection bool
}

// Do sends the request and reads the header of the response. With an error, wrote says
// whether a byte of the request may have been written. With a nil error, Finish has to
// be called on the response.
func (p *ConnectionPool) Do(ctx context.Context, out *RawRequest) (in *RawResponse, wrote bool, err error) {
	if ctx.Err() != nil {
		return nil, false, ctx.Err()
	}
	conn, err := p.acquire(ctx, out)
	if err != nil {
		return nil, false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	in = &RawResponse{pool: p, conn: conn, stopContextWatch: stop, endContext: ctx}
	// The response may begin before the request is written.
	conn.startHeader()
	if err := in.writeRequest(out); err != nil && !responseStarted(conn) {
		in.discard()
		return nil, true, fmt.Errorf("server %s: write request: %w", out.Address, contextErrorOr(ctx, err))
	}
	in.Response, err = readHead(conn, out.Method)
	if err != nil {
		in.discard()
		return nil, true, fmt.Errorf("server %s: read response: %w", out.Address, contextErrorOr(ctx, err))
	}
	if in.Body != http.NoBody {
		in.Body = checkedBody{ReadCloser: in.Body, check: in.checkEnd}
	}
	return in, true, nil
}

// contextErrorOr returns the error of the context if it has ended, and err otherwise.
// The end of the context expires the deadline of the connection, so that err then is
// only a timeout.
func contextErrorOr(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// acquire returns an unused connection without unread input, or dials a new one.
func (p *ConnectionPool) acquire(ctx context.Context, out *RawRequest) (*pooledConn, error) {
	for !out.NewConnection {
		conn := p.popIdle(out.Address)
		if conn == nil {
			break
		}
		if time.Now().Before(conn.expiresAt) && conn.hasNoInput() {
			_ = conn.SetDeadline(time.Time{})
			conn.isReused = true
			return conn, nil
		}
		p.closeConn(conn)
	}
	dialer := net.Dialer{Timeout: poolDialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", out.Address)
	if err != nil {
		return nil, err
	}
	return newPooledConn(raw, out.Address), nil
}

// popIdle removes the most recently used idle connection to the address and returns it,
// or nil if there is none.
func (p *ConnectionPool) popIdle(address string) *pooledConn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return conn
}

// putIdle keeps a connection for later requests, or closes it if the pool is closed. It
// also closes expired connections.
func (p *ConnectionPool) putIdle(conn *pooledConn) {
	p.mutex.Lock()
	if p.closed {
		p.mutex.Unlock()
		p.closeConn(conn)
		return
	}
	if p.idle == nil {
		p.idle = make(map[string][]*pooledConn)
	}
	p.idle[conn.address] = append(p.idle[conn.address], conn)
	expired := p.removeExpired(time.Now())
	p.mutex.Unlock()
	for _, conn := range expired {
		p.closeConn(conn)
	}
}

// removeExpired removes the expired connections from the pool and returns them, at most
// once per second. The mutex must be held.
func (p *ConnectionPool) removeExpired(now time.Time) []*pooledConn {
	if now.Sub(p.lastSweep) < time.Second {
		return nil
	}
	p.lastSweep = now
	var expired []*pooledConn
	for address, list := range p.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.Before(conn.expiresAt) {
				kept = append(kept, conn)
			} else {
				expired = append(expired, conn)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	return expired
}

// closeConn closes a connection that is no longer in idle. Its error is ignored, because
// the connection is not used again.
func (p *ConnectionPool) closeConn(conn *pooledConn) {
	_ = conn.Close()
}

// Close closes the unused connections. A connection in use is closed when its response
// is finished.
func (p *ConnectionPool) Close() error {
	p.mutex.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mutex.Unlock()
	for _, list := range idle {
		for _, conn := range list {
			p.closeConn(conn)
		}
	}
	return nil
}
