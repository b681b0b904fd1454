package peer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/persimmonmux/persimmonmux/protocol/peer"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/transport/rpc"
)

const (
	// defaultIdleTimeout is how long an unused connection stays open.
	defaultIdleTimeout = 30 * time.Second
	// maxIdleConns bounds the unused connections to all peers, and maxIdleConnsPerPeer
	// those to one peer.
	maxIdleConns        = 1024
	maxIdleConnsPerPeer = 16
	// maxControlCallsPerPeer and maxDemandsPerPeer bound the calls in flight to one peer,
	// each of which has its own connection. Calls that request a grant or admission wait for
	// loads, so they are counted apart from the short control calls and cannot delay
	// them.
	maxControlCallsPerPeer = 32
	maxDemandsPerPeer      = 256
)

// A callClass identifies the calls to one peer that share a bound on calls in flight.
type callClass struct {
	address  string
	isDemand bool
}

// maxInFlight returns the largest number of calls of the class that may be in flight.
func (c callClass) maxInFlight() int {
	if c.isDemand {
		return maxDemandsPerPeer
	}
	return maxControlCallsPerPeer
}

// callOptions describe one call to a peer.
type callOptions struct {
	// name is the name of the call in error messages.
	name     string
	address  string
	timeout  time.Duration
	isDemand bool
	// idempotent calls are sent again if a connection from the pool turns out to be
	// closed.
	idempotent bool
}

// invoke makes a call within its timeout. drpc closes the connection of a call whose
// context ended before the reply, so the next call opens a new one.
func invoke[Reply any](ctx context.Context, c *Client, o callOptions, call func(context.Context, peer.DRPCPeerClient) (Reply, error)) (Reply, error) {
	var none Reply
	class := callClass{address: o.address, isDemand: o.isDemand}
	if err := c.beginCall(class); err != nil {
		return none, fmt.Errorf("%s at %s: %w", o.name, o.address, err)
	}
	defer c.endCall(class)
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()
	for attempt := 0; ; attempt++ {
		dialed := false
		connection := c.pool.Get(ctx, o.address, func(ctx context.Context, address string) (*drpcconn.Conn, error) {
			dialed = true
			return c.dial(ctx, address)
		})
		reply, err := call(ctx, peer.NewDRPCPeerClient(rpc.ReplyConn{Conn: connection, Traffic: &c.Traffic}))
		if err == nil {
			return reply, nil
		}
		// After a restart of the peer, the pool still has connections to the old process.
		// Each attempt removes one of them, and a new connection shows whether the peer is
		// gone.
		if o.idempotent && !dialed && ctx.Err() == nil && isConnectionClosed(err) && attempt < maxIdleConnsPerPeer {
			continue
		}
		return none, fmt.Errorf("%s at %s: %w", o.name, o.address, err)
	}
}

// initialize creates the pool at the first call or at Close.
func (c *Client) initialize() {
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.inFlight = make(map[callClass]int)
	c.pool = drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
		Expiration:  cmp.Or(c.idleTimeout, defaultIdleTimeout),
		Capacity:    maxIdleConns,
		KeyCapacity: maxIdleConnsPerPeer,
	})
}

// beginCall counts a call in flight. Its error is ErrClosed or ErrBusy.
func (c *Client) beginCall(class callClass) error {
	c.initOnce.Do(c.initialize)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return ErrClosed
	}
	if c.inFlight[class] >= class.maxInFlight() {
		return ErrBusy
	}
	c.inFlight[class]++
	c.work.Add(1)
	return nil
}

// endCall ends a call that beginCall counted.
func (c *Client) endCall(class callClass) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inFlight[class]--
	if c.inFlight[class] == 0 {
		delete(c.inFlight, class)
	}
	c.work.Done()
}

// dial opens a connection. A goroutine closes the connection when it has failed, when
// the pool has closed it or when the client is closed.
func (c *Client) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, fmt.Errorf("dial %s: %w", address, fleet.ErrConnectionRefused)
	}
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	connection := connectionLimits.NewConn(raw)
	c.work.Go(func() {
		select {
		case <-connection.Closed():
		case <-c.ctx.Done():
		}
		_ = connection.Close()
	})
	return connection, nil
}

// isConnectionClosed reports whether a call failed because its connection had ended.
func isConnectionClosed(err error) bool {
	return errors.Is(err, rpc.ErrConnectionEnded) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || drpc.ClosedError.Has(err)
}
