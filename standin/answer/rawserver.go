package answer

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
)

// A RawServer reads requests from its connections and lets Answer write the raw bytes of the answers.
// Its fields are set before Start.
type RawServer struct {
	// Answer is called for each request, whose body is in memory. onReused says that the connection
	// has carried an earlier request. It returns whether the connection stays open.
	Answer func(conn net.Conn, r *http.Request, onReused bool) (keep bool)
	// AnswerEarly, if not nil, is called before the body of a request is read. It returns whether it
	// has answered; the connection is closed then.
	AnswerEarly func(conn net.Conn, r *http.Request, onReused bool) (answered bool)

	listener   net.Listener
	goroutines sync.WaitGroup

	mutex sync.Mutex
	conns map[net.Conn]bool
}

// Start listens on a loopback port. The error is that of net.Listen.
func (s *RawServer) Start() (err error) {
	s.conns = make(map[net.Conn]bool)
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	s.goroutines.Go(s.accept)
	return nil
}

// Address returns the HOST:PORT that the server listens on.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// Close closes the listener and all connections and waits until all answers have ended.
func (s *RawServer) Close() error {
	err := s.listener.Close()
	s.mutex.Lock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.conns = nil
	s.mutex.Unlock()
	s.goroutines.Wait()
	return err
}

// accept serves connections until the listener is closed.
func (s *RawServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		isClosed := s.conns == nil
		if !isClosed {
			s.conns[conn] = true
		}
		s.mutex.Unlock()
		if isClosed {
			_ = conn.Close()
			continue
		}
		s.goroutines.Go(func() { s.serve(conn) })
	}
}

// serve answers the requests of a connection.
func (s *RawServer) serve(conn net.Conn) {
	defer conn.Close() //nolint:errcheck // The connection is not used again.
	reader := bufio.NewReader(conn)
	for onReused := false; ; onReused = true {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if s.AnswerEarly != nil && s.AnswerEarly(conn, r, onReused) {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !s.Answer(conn, r, onReused) {
			return
		}
	}
}
