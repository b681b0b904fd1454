// Package inbound bounds what connections of callers take of a host: their number, the heads that
// net/http reads from them, and the bodies of their requests.
package inbound

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
)

const (
	// headByteCost and headLineCost are what net/http holds for a byte and for a line of a head:
	// the buffer of the line, its copy and the entries of the map.
	headByteCost = 2
	headLineCost = 128
)

// A Listener accepts connections of callers that count against a quota.
type Listener struct {
	net.Listener
	// Quota bounds the connections and what their requests hold. It is not nil.
	Quota *buffering.Quota
}

// Accept returns the next connection, a *Conn. Connections beyond the quota are closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw}
		c.intake = buffering.Intake{Quota: l.Quota, Holder: c}
		if c.intake.Open() {
			return c, nil
		}
		_ = raw.Close()
	}
}

// A Conn is a connection of a caller. It implements buffering.Holder.
type Conn struct {
	net.Conn

	intake buffering.Intake
	// headCost is what the head of the request takes. Only the goroutine that receives the request
	// uses it.
	headCost int
	// hasHead says that the head of the request has been read.
	hasHead atomic.Bool
	// isInterrupted says that the room of the request is needed for others.
	isInterrupted atomic.Bool
}

// Read reads from the connection. While the head of a request is read, its bytes count against the
// quota; without room the connection looks as if its time were up, which net/http doesn't answer.
func (c *Conn) Read(buffer []byte) (int, error) {
	if c.isInterrupted.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(buffer)
	if n == 0 || c.hasHead.Load() {
		return n, err
	}
	c.intake.Received(n)
	c.headCost += n*headByteCost + bytes.Count(buffer[:n], []byte("\n"))*headLineCost
	if c.intake.Reserve(c.headCost) != nil {
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// Close closes the connection and gives its room back.
func (c *Conn) Close() error {
	c.intake.Close()
	return c.Conn.Close()
}

// Interrupt ends the current read and all later ones.
func (c *Conn) Interrupt() {
	c.isInterrupted.Store(true)
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// Drop closes the connection.
func (c *Conn) Drop() { _ = c.Conn.Close() }

// expectRequest gives the room of the last request back.
func (c *Conn) expectRequest() {
	c.headCost = 0
	c.hasHead.Store(false)
	c.intake.Reset()
}

// ConnStateChanged gives back what a request has taken when its connection becomes idle. It is the
// hook http.Server.ConnState.
func ConnStateChanged(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*Conn); ok && state == http.StateIdle {
		c.expectRequest()
	}
}

// connKey is the key of the connection in the contexts of its requests.
type connKey struct{}

// ConnContext lets ReadBody find the connection of a request. It is the hook
// http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the connection of a request, or nil if a Listener has not accepted it.
func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}
