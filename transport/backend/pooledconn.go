package backend

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"
)

// readBufferBytes is the size of the read buffer of a connection.
const readBufferBytes = 4 << 10

// errHeaderTooLarge means that the header of a response is larger than
// maxResponseHeaderBytes.
var errHeaderTooLarge = errors.New("response header exceeds the size limit of 16 KiB")

// A pooledConn is a connection to a server. It belongs to one request or, while unused,
// to the pool.
type pooledConn struct {
	net.Conn
	address string
	// reader reads from Read of this connection.
	reader *bufio.Reader
	// headerBytesLeft is how much more may be read for the header of a response.
	// It does not apply unless readsHeader is set.
	headerBytesLeft int
	readsHeader     bool
	// head looks at what is read meanwhile.
	head headScanner
	// isReused says that the connection has carried an earlier request.
	isReused bool
	// expiresAt is when the pool stops using the connection, because the server may close
	// it.
	expiresAt time.Time
}

// newPooledConn returns a pooledConn for an open connection to the address.
func newPooledConn(conn net.Conn, address string) *pooledConn {
	c := &pooledConn{Conn: conn, address: address}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// startHeader limits what is read until endHeader to maxResponseHeaderBytes and has head look at
// it.
func (c *pooledConn) startHeader() {
	c.headerBytesLeft, c.readsHeader, c.head = maxResponseHeaderBytes, true, headScanner{}
}

// endHeader ends what startHeader began.
func (c *pooledConn) endHeader() {
	c.readsHeader = false
}

// Read reads from the server. While the header of a response is read, it returns
// errHeaderTooLarge at the limit, because net/http sets none.
func (c *pooledConn) Read(buffer []byte) (int, error) {
	if !c.readsHeader {
		n, err := c.Conn.Read(buffer)
		return n, checkConnEnd(c.Conn, err)
	}
	if c.headerBytesLeft <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := c.Conn.Read(buffer[:min(len(buffer), c.headerBytesLeft)])
	c.headerBytesLeft -= n
	c.head.scan(buffer[:n])
	return n, checkConnEnd(c.Conn, err)
}

// An input is what waits on a connection to be read.
type input int

const (
	// inputNone means that nothing waits.
	inputNone input = iota
	// inputData means that bytes wait.
	inputData
	// inputEnd means that the connection has ended or failed.
	inputEnd
)

// hasNoInput reports whether nothing has arrived on an unused connection: neither its
// end nor bytes that belong to no request.
func (c *pooledConn) hasNoInput() bool {
	return c.peek() == inputNone
}

// peek returns what waits on the connection without consuming it. It takes nothing to wait on a
// connection that is none of the operating system.
func (c *pooledConn) peek() input {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return inputNone
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return inputEnd
	}
	waiting := inputEnd
	err = control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			waiting = inputNone
		case err == nil && n > 0:
			waiting = inputData
		}
		return true
	})
	if err != nil {
		return inputEnd
	}
	return waiting
}
