package front

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// An idleConnectionCloser closes connections of callers that are idle for longer
// than the desired state allows. http.Server.IdleTimeout cannot serve for this,
// because it cannot change while the server runs.
type idleConnectionCloser struct {
	// idleTimeout returns how long a connection that becomes idle now may stay idle.
	idleTimeout func() time.Duration

	mutex sync.Mutex
	// timers holds a timer for each connection that has no request.
	timers map[net.Conn]*time.Timer
}

// connStateChanged starts the timer of a connection that becomes idle and stops it
// when the connection becomes active or closes. It is the hook http.Server.ConnState.
func (i *idleConnectionCloser) connStateChanged(conn net.Conn, state http.ConnState) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if timer := i.timers[conn]; timer != nil {
		timer.Stop()
		delete(i.timers, conn)
	}
	if state != http.StateNew && state != http.StateIdle {
		return
	}
	if i.timers == nil {
		i.timers = make(map[net.Conn]*time.Timer)
	}
	i.timers[conn] = time.AfterFunc(i.idleTimeout(), func() { i.expire(conn) })
}

// expire closes a connection unless a request has begun on it since the timer
// fired.
func (i *idleConnectionCloser) expire(conn net.Conn) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.timers[conn] == nil {
		return
	}
	delete(i.timers, conn)
	_ = conn.Close()
}

// currentIdleTimeout returns the idle timeout of the desired state, or
// defaultIdleTimeout if the desired state is not known or sets none.
func (s *Server) currentIdleTimeout() time.Duration {
	if desired := s.Views.View().Desired; desired != nil && desired.Limits.IdleTimeout > 0 {
		return desired.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

// headerTooLarge reports whether the header of a request is larger than the desired
// state allows. net/http itself refuses headers larger than maxHeaderBytes.
func (s *Server) headerTooLarge(r *http.Request) bool {
	desired := s.Views.View().Desired
	if desired == nil || desired.Limits.HeaderBytes <= 0 {
		return false
	}
	// lineOverheadBytes is the size of the colon, the space and the CRLF of a line.
	const lineOverheadBytes = 4
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + lineOverheadBytes
		}
	}
	return size > desired.Limits.HeaderBytes
}
