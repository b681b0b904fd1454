//go:build processes && linux

package processes_test

import (
	"net"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A relay passes TCP connections on. It can stop passing bytes without closing
// a connection, as a network does that drops packets.
type relay struct {
	address  string
	target   string
	listener net.Listener

	mutex sync.Mutex
	// cut says which connections are cut off; nil means none.
	cut   func(near net.Conn) bool
	links map[*link]bool
}

// A link is one connection through a relay.
type link struct {
	near net.Conn
	// silent is closed when the link passes no more bytes.
	silent chan struct{}
	once   sync.Once
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", freeAddress(t))
	qt.Assert(t, err, qt.IsNil)
	r := &relay{address: listener.Addr().String(), target: target, listener: listener, links: make(map[*link]bool)}
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(near)
	}
}

// pass connects to the target, so that a target which refuses connections also
// ends the connection to the relay.
func (r *relay) pass(near net.Conn) {
	l := &link{near: near, silent: make(chan struct{})}
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
	group.Go(func() { l.copy(far, near) })
	group.Go(func() { l.copy(near, far) })
	group.Wait()
	_, _ = near.Close(), far.Close()
	r.forget(l)
}

func (r *relay) forget(l *link) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.links, l)
}

// silenceOpen makes the open connections silent for good; new ones work.
func (r *relay) silenceOpen() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for l := range r.links {
		l.silence()
	}
}

// setCut makes the connections for which cut holds silent, new ones too. Nil ends that for new connections; silent ones stay silent.
func (r *relay) setCut(cut func(near net.Conn) bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cut = cut
	for l := range r.links {
		if cut != nil && cut(l.near) {
			l.silence()
		}
	}
}

// everything cuts off all connections.
func everything(net.Conn) bool { return true }

func (r *relay) close() {
	_ = r.listener.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for l := range r.links {
		l.silence()
		l.reset()
	}
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
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		silent := false
		select {
		case <-l.silent:
			silent = true
		default:
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
