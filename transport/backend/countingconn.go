package backend

import (
	"errors"
	"net"
	"sync"
)

// errWritesBlocked is returned for a write after the attempt on the connection has
// failed.
var errWritesBlocked = errors.New("connection accepts no more writes")

// A countingConn counts its writes, so that a failed attempt can prove that it wrote
// nothing.
type countingConn struct {
	net.Conn
	// onClose is called once, by the first Close.
	onClose   func()
	closeOnce sync.Once

	// mutex guards the fields below.
	mutex         sync.Mutex
	writesBlocked bool
	// isRetired says that the connection must not carry another request.
	isRetired bool
	// writesStarted counts a write from before it reaches the network. A write that fails
	// without the kernel having taken a byte is not counted.
	writesStarted uint64
	// head looks at what is read since startHeader.
	head headScanner
}

// Write counts the write and passes it on. After blockWrites it returns
// errWritesBlocked.
func (c *countingConn) Write(data []byte) (int, error) {
	c.mutex.Lock()
	if c.writesBlocked {
		c.mutex.Unlock()
		return 0, errWritesBlocked
	}
	c.writesStarted++
	c.mutex.Unlock()
	n, err := c.Conn.Write(data)
	if n == 0 && err != nil {
		c.mutex.Lock()
		c.writesStarted--
		c.mutex.Unlock()
	}
	return n, err
}

// Read reads from the server and has head look at it.
func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.head.scan(buffer[:n])
	return n, err
}

// startHeader prepares for the header of the next response.
func (c *countingConn) startHeader() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.head = headScanner{}
}

// headerFields returns which framing fields the header of the response has.
func (c *countingConn) headerFields() framingFields {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.head.fields
}

// bytesAfter returns how many bytes were read after a body of the given length, or after a body in
// chunks if the length is less than 0.
func (c *countingConn) bytesAfter(length int64) int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if length < 0 {
		return c.head.chunks.bytesAfter
	}
	return c.head.bodyBytes - length
}

// retire makes further writes fail with errWritesBlocked.
func (c *countingConn) retire() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isRetired, c.writesBlocked = true, true
}

// wasRetired reports whether retire was called.
func (c *countingConn) wasRetired() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.isRetired
}

// Close closes the connection and calls onClose the first time.
func (c *countingConn) Close() error {
	defer c.closeOnce.Do(c.onClose)
	return c.Conn.Close()
}

// writeCount returns writesStarted.
func (c *countingConn) writeCount() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.writesStarted
}

// blockWrites refuses further writes, closes the connection and returns the number of
// writes started. The mutex is not held during a write, because a write may block.
func (c *countingConn) blockWrites() uint64 {
	c.mutex.Lock()
	c.writesBlocked = true
	started := c.writesStarted
	c.mutex.Unlock()
	_ = c.Close()
	return started
}
