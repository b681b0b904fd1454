package backend

import (
	"net"
	"net/http"
)

// An attempt tracks whether a request may have been written to its connection. It
// belongs to the goroutine that sends the request.
type attempt struct {
	connection *countingConn
	// contentBytes is the size of the request's content.
	contentBytes int64
	// writesBefore is the number of writes on the connection before the request.
	writesBefore uint64
	// isReused says that the connection has carried an earlier request.
	isReused bool
	// tookRetired says that net/http chose a retired connection.
	tookRetired bool
	// wrote says that a byte of the request may have been written.
	wrote bool
}

// attach records the connection that net/http chose for the request. net/http takes a
// second connection only to resend the request, so attach blocks writes on a second
// connection before the first byte is written to it.
func (a *attempt) attach(conn net.Conn) {
	used, ok := conn.(*countingConn)
	if !ok {
		a.wrote = true
		return
	}
	resent := a.connection != nil
	if resent {
		a.finish()
		used.blockWrites()
	}
	a.tookRetired = a.tookRetired || used.wasRetired()
	used.startRequest(a.contentBytes)
	a.connection, a.writesBefore = used, used.writeCount()
}

// checkHead returns an error if the header of the response does not say where its body begins
// and ends.
func (a *attempt) checkHead(response *http.Response) error {
	var fields framingFields
	if a.connection != nil {
		fields = a.connection.headerFields()
	}
	return checkHead(response, fields)
}

// finish blocks further writes and reports whether a byte of the request may have been
// written.
func (a *attempt) finish() bool {
	if a.connection != nil && a.connection.blockWrites() > a.writesBefore {
		a.wrote = true
	}
	return a.wrote
}
