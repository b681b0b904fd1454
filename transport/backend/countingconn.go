package backend

import (
	"errors"
	"net"
	"sync"
)

// errSealed is returned for a write that would follow the end of its try.
var errSealed = errors.New("connection is sealed")

// A countingConn counts its writes, so that a failed try can prove that it wrote
// nothing.
type countingConn struct {
	net.Conn
	release func()
	once    sync.Once

	mutex  sync.Mutex
	sealed bool
	// begun counts writes from before they reach the network, without those that
	// failed with no byte taken by the kernel.
	begun uint64
}

// Write counts the write and passes it on.
func (c *countingConn) Write(data []byte) (int, error) {
	c.mutex.Lock()
	if c.sealed {
		c.mutex.Unlock()
		return 0, errSealed
	}
	c.begun++
	c.mutex.Unlock()
	n, err := c.Conn.Write(data)
	if n == 0 && err != nil {
		c.mutex.Lock()
		c.begun--
		c.mutex.Unlock()
	}
	return n, err
}

// Close closes the connection and ends its count in the pool.
func (c *countingConn) Close() error {
	defer c.once.Do(c.release)
	return c.Conn.Close()
}

func (c *countingConn) writesBegun() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.begun
}

// seal forbids further writes, closes the connection and returns the number of
// writes begun. The mutex is not held during a write, which may block.
func (c *countingConn) seal() uint64 {
	c.mutex.Lock()
	c.sealed = true
	begun := c.begun
	c.mutex.Unlock()
	_ = c.Close()
	return begun
}
