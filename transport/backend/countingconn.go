package backend

import (
	"context"
	"errors"
	"io"
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
	// head looks at what is read since startRequest.
	head headScanner
	// request looks at what is written since startRequest, and written is the writing of it; nil
	// before the first request.
	request requestScanner
	written *requestWrite
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
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if n == 0 && err != nil {
		c.writesStarted--
	}
	if isWhole := c.request.scan(data[:n]); c.written != nil && (isWhole || err != nil) {
		c.written.end(err)
	}
	return n, err
}

// Read reads from the server and has head look at it. The end of a response that ends with its
// connection is returned only once the server has received the whole request: net/http closes the
// connection at that end, which cuts off the rest of the request.
func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	err = checkConnEnd(c.Conn, err)
	c.mutex.Lock()
	c.head.scan(buffer[:n])
	written, endsWithConnection := c.written, c.head.endsWithConnection()
	c.mutex.Unlock()
	if errors.Is(err, io.EOF) && written != nil && endsWithConnection {
		// Close ends this wait.
		if err := written.awaitReceipt(context.Background(), c.Conn); err != nil {
			return n, err
		}
	}
	return n, err
}

// startRequest prepares for the next request, which has the given size of content, and the header
// of its response.
func (c *countingConn) startRequest(contentBytes int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writesBlocked = c.writesBlocked || c.isRetired
	c.head, c.request, c.written = headScanner{}, requestScanner{contentLeft: contentBytes}, newRequestWrite()
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

// retire makes the writes of further requests fail with errWritesBlocked. The rest of the current
// one is still written, because a write that fails ends the response too.
func (c *countingConn) retire() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isRetired = true
}

// wasRetired reports whether retire was called.
func (c *countingConn) wasRetired() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.isRetired
}

// Close closes the connection, ends the writing of the request and calls onClose the first time.
func (c *countingConn) Close() error {
	defer c.closeOnce.Do(c.onClose)
	c.mutex.Lock()
	written := c.written
	c.mutex.Unlock()
	if written != nil {
		written.end(net.ErrClosed)
	}
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
