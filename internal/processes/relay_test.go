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
	// cut says that new connections pass no bytes either.
	cut   bool
	links map[*link]bool
}

// A link is one connection through a relay.
type link struct {
	ends [2]net.Conn
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
	l := &link{silent: make(chan struct{})}
	l.ends[0] = near
	r.mutex.Lock()
	r.links[l] = true
	if r.cut {
		l.silence()
	}
	r.mutex.Unlock()
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		l.reset()
		r.forget(l)
		return
	}
	l.ends[1] = far
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

// setCut makes all connections silent, new ones too, or ends that for new ones.
func (r *relay) setCut(cut bool) {
	r.mutex.Lock()
	r.cut = cut
	r.mutex.Unlock()
	if cut {
		r.silenceOpen()
	}
}

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
	if connection, ok := l.ends[0].(*net.TCPConn); ok {
		_ = connection.SetLinger(0)
	}
	_ = l.ends[0].Close()
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
