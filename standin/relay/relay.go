// Package relay is a TCP proxy that injects network faults. It delays bytes, resets
// connections, drops the bytes of one direction, and blackholes connections: it drops
// their bytes without closing them, as a network that drops packets does.
package relay

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// A Direction is the direction in which bytes cross a relay.
type Direction int

const (
	// ToTarget is the direction from the client to the target.
	ToTarget Direction = iota
	// ToClient is the direction from the target to the client.
	ToClient
	directionCount
)

// A Relay forwards the connections that it accepts to a target address, with the
// faults that its methods set. It is safe for concurrent use.
type Relay struct {
	// Address is the host and port on which the relay listens. Listen sets it.
	Address string

	target     string
	listener   net.Listener
	goroutines sync.WaitGroup
	// delay is the delay of each forwarded read, in nanoseconds.
	delay atomic.Int64
	// dropping holds, for each direction, whether its bytes are dropped.
	dropping [directionCount]atomic.Bool

	mutex sync.Mutex
	// isPartitioned selects the client connections to blackhole; nil selects none.
	isPartitioned func(client net.Conn) bool
	// links holds the open connections.
	links map[*link]bool
}

// A link is one client connection through a relay, from its accept until both of its
// directions have ended.
type link struct {
	relay  *Relay
	client net.Conn
	// blackholed is closed when the link drops all further bytes.
	blackholed chan struct{}
	once       sync.Once
}

// Listen starts a relay that accepts connections on address and forwards them to
// target. Close stops it.
func Listen(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{Address: listener.Addr().String(), target: target, listener: listener, links: make(map[*link]bool)}
	r.goroutines.Go(r.accept)
	return r, nil
}

// accept forwards each new connection in a goroutine of its own until Close.
func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.goroutines.Go(func() { r.forward(client) })
	}
}

// forward connects to the target and copies bytes both ways until both directions have
// ended. If the target refuses the connection, the client's connection is reset.
func (r *Relay) forward(client net.Conn) {
	l := &link{relay: r, client: client, blackholed: make(chan struct{})}
	r.mutex.Lock()
	r.links[l] = true
	if r.isPartitioned != nil && r.isPartitioned(client) {
		l.blackhole()
	}
	r.mutex.Unlock()
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		l.reset()
		r.removeLink(l)
		return
	}
	var group sync.WaitGroup
	group.Go(func() { l.copy(target, client, ToTarget) })
	group.Go(func() { l.copy(client, target, ToClient) })
	group.Wait()
	_, _ = client.Close(), target.Close()
	r.removeLink(l)
}

func (r *Relay) removeLink(l *link) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.links, l)
}

// BlackholeOpenConnections blackholes the open connections permanently. New ones work.
func (r *Relay) BlackholeOpenConnections() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for l := range r.links {
		l.blackhole()
	}
}

// ResetOpenConnections resets the open client connections. New ones work.
func (r *Relay) ResetOpenConnections() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for l := range r.links {
		l.reset()
	}
}

// SetDelay sets the delay of each forwarded read, in both directions and on all
// connections. Zero removes it.
func (r *Relay) SetDelay(delay time.Duration) {
	r.delay.Store(int64(delay))
}

// SetDropping sets whether the bytes of one direction are dropped on all connections.
// A connection that has lost bytes stays blackholed.
func (r *Relay) SetDropping(direction Direction, dropping bool) {
	r.dropping[direction].Store(dropping)
}

// SetPartition blackholes the open and all new client connections for which
// isPartitioned returns true. Nil ends the partition for new connections; blackholed
// ones stay so.
func (r *Relay) SetPartition(isPartitioned func(client net.Conn) bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.isPartitioned = isPartitioned
	for l := range r.links {
		if isPartitioned != nil && isPartitioned(l.client) {
			l.blackhole()
		}
	}
}

// AllConnections is an argument of SetPartition that selects every connection.
func AllConnections(net.Conn) bool { return true }

// Close stops listening and resets all client connections. It does not wait until they
// have ended.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for l := range r.links {
		l.blackhole()
		l.reset()
	}
	return err
}

func (l *link) blackhole() {
	l.once.Do(func() { close(l.blackholed) })
}

// reset closes the client connection with a TCP reset.
func (l *link) reset() {
	if connection, ok := l.client.(*net.TCPConn); ok {
		_ = connection.SetLinger(0)
	}
	_ = l.client.Close()
}

// copy copies bytes from one connection to the other until either fails or closes. It
// reads and drops the bytes on a blackholed link, so that neither end notices.
func (l *link) copy(to, from net.Conn, direction Direction) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if pause := time.Duration(l.relay.delay.Load()); pause > 0 {
			time.Sleep(pause)
		}
		drop := false
		select {
		case <-l.blackholed:
			drop = true
		default:
		}
		if n > 0 && l.relay.dropping[direction].Load() {
			// Bytes after a gap would be garbage to the receiver, so none follow.
			l.blackhole()
			drop = true
		}
		if n > 0 && !drop {
			if _, failure := to.Write(buffer[:n]); failure != nil {
				err = failure
			}
		}
		if err != nil {
			if !drop {
				closeLike(to, err)
			}
			return
		}
	}
}

// closeLike closes a connection as the other one has ended: with a TCP reset if that was reset. An
// answer without a length that was reset would look whole otherwise.
func closeLike(conn net.Conn, err error) {
	if tcp, ok := conn.(*net.TCPConn); ok && errors.Is(err, syscall.ECONNRESET) {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
