package backend

import "net"

// A try follows one request over its connection. It belongs to the goroutine
// that sends the request.
type try struct {
	connection *connection
	// before is the number of writes on the connection before the request.
	before uint64
	wrote  bool
}

// use notes the connection of the request. net/http uses a second connection
// only to resend the request, so a second one is sealed before its first write.
func (t *try) use(conn net.Conn) {
	used, ok := conn.(*connection)
	if !ok {
		t.wrote = true
		return
	}
	resent := t.connection != nil
	if resent {
		t.end()
		used.seal()
	}
	t.connection, t.before = used, used.writesBegun()
}

// end stops further writes and reports whether a byte may have been written.
func (t *try) end() bool {
	if t.connection != nil && t.connection.seal() > t.before {
		t.wrote = true
	}
	return t.wrote
}
