// Package rpc has what the drpc servers and clients of this system share:
// connections whose writes are bounded, and calls that count as answered once
// their reply has arrived.
package rpc

import (
	"net"
	"time"
)

// A WriteTimeoutConn fails a write that makes no progress within WriteTimeout.
type WriteTimeoutConn struct {
	net.Conn

	// WriteTimeout bounds one write, so that a peer that stopped reading holds no goroutine.
	WriteTimeout time.Duration
}

// Write writes within the limit.
func (c *WriteTimeoutConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.WriteTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// A WriteTimeoutListener accepts BoundedConnections.
type WriteTimeoutListener struct {
	net.Listener

	// WriteTimeout bounds one write on the accepted connections.
	WriteTimeout time.Duration
}

// Accept returns the next connection.
func (l *WriteTimeoutListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &WriteTimeoutConn{Conn: connection, WriteTimeout: l.WriteTimeout}, nil
}
