package rpc

import (
	"context"
	"errors"

	"storj.io/drpc"
)

// ErrConnectionEnded means that the connection ended during a call.
var ErrConnectionEnded = errors.New("the connection ended")

// A ReplyConn is a drpc connection whose calls succeed if their reply was decoded.
// drpc itself also fails a call if it cannot send the end of the call to the
// server, which happens when the server closes the connection after the reply.
type ReplyConn struct {
	drpc.Conn

	// Traffic counts the calls; it may be nil.
	Traffic *Traffic
}

// Invoke makes one call. It returns nil if a reply was decoded, and otherwise the
// error of the underlying connection. drpc returns context.Canceled if the connection
// ends during the call; Invoke then returns ErrConnectionEnded unless ctx has ended.
func (c ReplyConn) Invoke(ctx context.Context, name string, encoding drpc.Encoding, in, out drpc.Message) error {
	counted := &countingEncoding{Encoding: encoding}
	defer c.Traffic.add(name, counted)
	recorder := &replyRecorder{Encoding: counted}
	err := c.Conn.Invoke(ctx, name, recorder, in, out)
	switch {
	case recorder.replyDecoded:
		return nil
	case errors.Is(err, context.Canceled) && ctx.Err() == nil:
		return ErrConnectionEnded
	default:
		return err
	}
}

// A replyRecorder is an encoding that records whether a reply was decoded. A new one
// is used for each call.
type replyRecorder struct {
	drpc.Encoding

	// replyDecoded reports whether the last Unmarshal succeeded.
	replyDecoded bool
}

// Unmarshal decodes a reply and records whether this succeeded.
func (r *replyRecorder) Unmarshal(data []byte, message drpc.Message) error {
	err := r.Encoding.Unmarshal(data, message)
	r.replyDecoded = err == nil
	return err
}
