package rpc

import (
	"context"

	"storj.io/drpc"
)

// ReplyConn is a drpc connection whose calls succeed once their reply has
// arrived. drpc also fails a call when it cannot tell the server that the call
// is over, which happens after the reply when the server closes the connection.
type ReplyConn struct {
	drpc.Conn
}

// Invoke makes one call.
func (a ReplyConn) Invoke(ctx context.Context, name string, encoding drpc.Encoding, in, out drpc.Message) error {
	noted := &notedEncoding{Encoding: encoding}
	err := a.Conn.Invoke(ctx, name, noted, in, out)
	if noted.replied {
		return nil
	}
	return err
}

// A notedEncoding notes that a reply was decoded. It belongs to one call.
type notedEncoding struct {
	drpc.Encoding

	replied bool
}

// Unmarshal decodes a reply.
func (e *notedEncoding) Unmarshal(data []byte, message drpc.Message) error {
	err := e.Encoding.Unmarshal(data, message)
	e.replied = err == nil
	return err
}
