// Package rpc has what the drpc servers and clients of this system share:
// connections whose writes are bounded, and calls that count as answered once
// their reply has arrived.
package rpc

import (
	"net"
	"time"
)

// A BoundedConnection fails a write that makes no progress within Limit.
type BoundedConnection struct {
	net.Conn

	// Limit bounds one write, so that a peer that stopped reading holds no goroutine.
	Limit time.Duration
}

// Write writes within the limit.
func (c *BoundedConnection) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.Limit)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// A BoundedListener accepts BoundedConnections.
type BoundedListener struct {
	net.Listener

	// Limit bounds one write on the accepted connections.
	Limit time.Duration
}

// Accept returns the next connection.
func (l *BoundedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &BoundedConnection{Conn: connection, Limit: l.Limit}, nil
}
