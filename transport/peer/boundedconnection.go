package peer

import (
	"net"
	"time"
)

// A boundedConnection fails a write that makes no progress within writeLimit.
type boundedConnection struct {
	net.Conn
}

// Write writes within writeLimit.
func (c *boundedConnection) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// A boundedListener accepts boundedConnections.
type boundedListener struct {
	net.Listener
}

// Accept returns the next connection.
func (l *boundedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &boundedConnection{Conn: connection}, nil
}
