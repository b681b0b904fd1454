package front

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// An idleLimit closes the connections of callers that stay unused for longer than
// the desired state allows. net/http takes its own limit only once.
type idleLimit struct {
	// limit returns how long a connection may stay unused now.
	limit func() time.Duration

	mutex sync.Mutex
	// unused has a timer for each connection without a request.
	unused map[net.Conn]*time.Timer
}

// changed follows the states of a connection; it is a hook of http.Server.
func (l *idleLimit) changed(conn net.Conn, state http.ConnState) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if timer := l.unused[conn]; timer != nil {
		timer.Stop()
		delete(l.unused, conn)
	}
	if state != http.StateNew && state != http.StateIdle {
		return
	}
	if l.unused == nil {
		l.unused = make(map[net.Conn]*time.Timer)
	}
	l.unused[conn] = time.AfterFunc(l.limit(), func() { l.expire(conn) })
}

// expire closes a connection unless a request has begun on it meanwhile.
func (l *idleLimit) expire(conn net.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.unused[conn] == nil {
		return
	}
	delete(l.unused, conn)
	_ = conn.Close()
}

// unusedLimit returns the limit of the desired state, or idleTimeout before one is
// known.
func (s *Server) unusedLimit() time.Duration {
	if desired := s.Views.View().Desired; desired != nil && desired.Limits.IdleTimeout > 0 {
		return desired.Limits.IdleTimeout
	}
	return idleTimeout
}

// headerTooLarge says whether a header is larger than the desired state allows.
// net/http has refused what is beyond headerLimit.
func (s *Server) headerTooLarge(r *http.Request) bool {
	desired := s.Views.View().Desired
	if desired == nil || desired.Limits.HeaderBytes <= 0 {
		return false
	}
	// Each line has a colon, a space and an end of two bytes.
	const separators = 4
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size > desired.Limits.HeaderBytes
}
