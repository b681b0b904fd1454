// Package relay passes TCP connections on and spoils them from outside: it delays
// bytes, resets connections, cuts one direction or all, and lets connections go
// silent without closing them, as a network does that drops packets.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// A Direction is a way through a relay.
type Direction int

// The directions.
const (
	Forth Direction = iota
	Back
	directions
)

// A Relay passes the connections to its address on to a target. It is safe for
// concurrent use.
type Relay struct {
	// Address is where the relay listens.
	Address string

	target   string
	listener net.Listener
	group    sync.WaitGroup
	// delay is how much later bytes are passed on, in nanoseconds.
	delay atomic.Int64
	// deaf says for each direction whether its bytes are dropped.
	deaf [directions]atomic.Bool

	mutex sync.Mutex
	// cut says which connections are cut off; nil means none.
	cut   func(near net.Conn) bool
	links map[*link]bool
}

// A link is one connection through a relay.
type link struct {
	relay *Relay
	near  net.Conn
	// silent is closed when the link passes no more bytes.
	silent chan struct{}
	once   sync.Once
}

// Listen returns a relay that listens on an address for a target.
func Listen(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{Address: listener.Addr().String(), target: target, listener: listener, links: make(map[*link]bool)}
	r.group.Go(r.accept)
	return r, nil
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.group.Go(func() { r.pass(near) })
	}
}

// pass connects to the target, so that a target which refuses connections also
// ends the connection to the relay.
func (r *Relay) pass(near net.Conn) {
	l := &link{relay: r, near: near, silent: make(chan struct{})}
	r.mutex.Lock()
	r.links[l] = true
	if r.cut != nil && r.cut(near) {
		l.silence()
	}
	r.mutex.Unlock()
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		l.reset()
		r.forget(l)
		return
	}
	var group sync.WaitGroup
	group.Go(func() { l.copy(far, near, Forth) })
	group.Go(func() { l.copy(near, far, Back) })
	group.Wait()
	_, _ = near.Close(), far.Close()
	r.forget(l)
}

func (r *Relay) forget(l *link) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.links, l)
}

// BlackholeOpen makes the open connections silent for good; new ones work.
func (r *Relay) BlackholeOpen() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for l := range r.links {
		l.silence()
	}
}

// ResetOpen resets the open connections; new ones work.
func (r *Relay) ResetOpen() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for l := range r.links {
		l.reset()
	}
}

// SetDelay makes bytes arrive later. Zero ends that.
func (r *Relay) SetDelay(delay time.Duration) {
	r.delay.Store(int64(delay))
}

// SetDropping makes the bytes of one direction vanish on all connections, or ends that.
func (r *Relay) SetDropping(direction Direction, deaf bool) {
	r.deaf[direction].Store(deaf)
}

// SetPartition makes the connections for which cut holds silent, new ones too. Nil ends
// that for new connections; silent ones stay silent.
func (r *Relay) SetPartition(cut func(near net.Conn) bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cut = cut
	for l := range r.links {
		if cut != nil && cut(l.near) {
			l.silence()
		}
	}
}

// AllConnections cuts off all connections.
func AllConnections(net.Conn) bool { return true }

// Close resets all connections and stops listening.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for l := range r.links {
		l.silence()
		l.reset()
	}
	return err
}

func (l *link) silence() {
	l.once.Do(func() { close(l.silent) })
}

// reset closes the near end in such a way that the sender sees a reset.
func (l *link) reset() {
	if connection, ok := l.near.(*net.TCPConn); ok {
		_ = connection.SetLinger(0)
	}
	_ = l.near.Close()
}

// copy passes bytes until one end closes. Bytes that arrive on a silent link are
// dropped, so that neither end notices.
func (l *link) copy(to, from net.Conn, direction Direction) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if pause := time.Duration(l.relay.delay.Load()); pause > 0 {
			time.Sleep(pause)
		}
		silent := false
		select {
		case <-l.silent:
			silent = true
		default:
		}
		if n > 0 && l.relay.deaf[direction].Load() {
			// What follows lost bytes would make no sense at the other end.
			l.silence()
			silent = true
		}
		if n > 0 && !silent {
			if _, failure := to.Write(buffer[:n]); failure != nil {
				err = failure
			}
		}
		if err != nil {
			if !silent {
				_ = to.Close()
			}
			return
		}
	}
}
