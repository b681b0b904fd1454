// Package rpc holds what the drpc servers and clients share: bounded connections, and
// calls that succeed once their reply was decoded.
package rpc

import (
	"net"
	"time"
)

// A WriteTimeoutConn is a connection on which each Write fails after WriteTimeout.
type WriteTimeoutConn struct {
	net.Conn

	// WriteTimeout bounds one Write, so that a peer that has stopped reading does not
	// block the writing goroutine. It is more than 0.
	WriteTimeout time.Duration
}

// Write writes data, or returns a timeout error after WriteTimeout.
func (c *WriteTimeoutConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.WriteTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// A WriteTimeoutListener returns accepted connections as *WriteTimeoutConn.
type WriteTimeoutListener struct {
	net.Listener

	// WriteTimeout bounds one Write on each accepted connection. It is more than 0.
	WriteTimeout time.Duration
}

// Accept waits for the next connection and returns it as a *WriteTimeoutConn.
func (l *WriteTimeoutListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &WriteTimeoutConn{Conn: connection, WriteTimeout: l.WriteTimeout}, nil
}
