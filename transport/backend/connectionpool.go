package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// poolDialLimit bounds a connection attempt of a ConnectionPool; servers that do not
	// accept within this time are tried elsewhere.
	poolDialLimit = 400 * time.Millisecond
	// poolIdleLimit is how long a connection is kept unused where the server
	// does not tell. poolIdleMargin is subtracted from what it tells.
	poolIdleLimit  = 4 * time.Second
	poolIdleMargin = 500 * time.Millisecond
	// smallBody is the size up to which a body is written before the answer is
	// read. A longer one is written meanwhile, because a server may answer
	// before it has read the whole body.
	smallBody = 8 << 10
	// readBuffer is the size of a connection's read buffer.
	readBuffer = 4 << 10
	// informational bounds the 1xx answers before the final one.
	informational = 8
)

// A ConnectionPool has raw HTTP/1.1 connections to servers. It sends every request once,
// and a connection is used again only if nothing waits on it. It may be used by
// many goroutines; its zero value is ready.
type ConnectionPool struct {
	mutex  sync.Mutex
	idle   map[string][]*channel
	closed bool
	swept  time.Time
}

// A channel is one connection to a server.
type channel struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// until is when the server may close it while it is unused.
	until time.Time
}

// A RawRequest is a request as it is written.
type RawRequest struct {
	Address string
	Method  string
	// Target is the raw path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Do sends the request and reads the head of the answer. With an error, wrote
// says whether a byte of the request may have been written.
func (p *ConnectionPool) Do(ctx context.Context, out *RawRequest) (in *RawResponse, wrote bool, err error) {
	if ctx.Err() != nil {
		return nil, false, ctx.Err()
	}
	ch, err := p.take(ctx, out)
	if err != nil {
		return nil, false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = ch.SetDeadline(time.Unix(1, 0)) })
	in = &RawResponse{pool: p, channel: ch, stop: stop}
	if err := in.write(out); err != nil && in.written == nil && !answered(ch) {
		in.discard()
		return nil, true, fmt.Errorf("write to %s: %w", out.Address, cause(ctx, err))
	}
	in.Response, err = readHead(ch.reader, out.Method)
	if err != nil {
		in.discard()
		return nil, true, fmt.Errorf("answer of %s: %w", out.Address, cause(ctx, err))
	}
	return in, true, nil
}

// cause names the end of the context in place of the deadline that it set.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// take returns an unused clean connection, or a new one.
func (p *ConnectionPool) take(ctx context.Context, out *RawRequest) (*channel, error) {
	for {
		ch := p.pop(out.Address)
		if ch == nil {
			break
		}
		if time.Now().Before(ch.until) && quiet(ch.Conn) {
			_ = ch.SetDeadline(time.Time{})
			return ch, nil
		}
		p.drop(ch)
	}
	dialer := net.Dialer{Timeout: poolDialLimit}
	raw, err := dialer.DialContext(ctx, "tcp", out.Address)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: raw, address: out.Address, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

func (p *ConnectionPool) pop(address string) *channel {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	ch := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return ch
}

func (p *ConnectionPool) put(ch *channel) {
	p.mutex.Lock()
	if p.closed {
		p.mutex.Unlock()
		p.drop(ch)
		return
	}
	if p.idle == nil {
		p.idle = make(map[string][]*channel)
	}
	p.idle[ch.address] = append(p.idle[ch.address], ch)
	stale := p.sweep(time.Now())
	p.mutex.Unlock()
	for _, ch := range stale {
		p.drop(ch)
	}
}

// sweep takes the connections out that were unused for too long. The mutex is held.
func (p *ConnectionPool) sweep(now time.Time) []*channel {
	if now.Sub(p.swept) < time.Second {
		return nil
	}
	p.swept = now
	var stale []*channel
	for address, list := range p.idle {
		kept := list[:0]
		for _, ch := range list {
			if now.Before(ch.until) {
				kept = append(kept, ch)
			} else {
				stale = append(stale, ch)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	return stale
}

func (p *ConnectionPool) drop(ch *channel) {
	_ = ch.Close()
}

// Close closes the unused connections. Those in use end with their answers.
func (p *ConnectionPool) Close() error {
	p.mutex.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mutex.Unlock()
	for _, list := range idle {
		for _, ch := range list {
			p.drop(ch)
		}
	}
	return nil
}

// quiet says whether nothing has arrived on an unused connection: neither its
// end nor bytes that belong to no request.
func quiet(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		clean = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && clean
}
