package backend

import "net"

// A attempt follows one request over its connection. It belongs to the goroutine
// that sends the request.
type attempt struct {
	connection *countingConn
	// before is the number of writes on the connection before the request.
	before uint64
	wrote  bool
}

// use notes the connection of the request. net/http uses a second connection
// only to resend the request, so a second one is sealed before its first write.
func (t *attempt) use(conn net.Conn) {
	used, ok := conn.(*countingConn)
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
func (t *attempt) end() bool {
	if t.connection != nil && t.connection.seal() > t.before {
		t.wrote = true
	}
	return t.wrote
}
