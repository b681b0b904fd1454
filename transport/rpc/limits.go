package rpc

import (
	"context"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// Limits bounds the drpc connections of a server and of its clients.
type Limits struct {
	// MaxMessageBytes bounds one received message.
	MaxMessageBytes int
	// InactivityTimeout ends connections to a server that carry no call.
	InactivityTimeout time.Duration
	// WriteTimeout bounds one Write on a connection. It is more than 0.
	WriteTimeout time.Duration
}

// Serve serves calls on the connections that listener accepts until ctx ends. It then
// closes listener and returns nil. log is called with errors of single connections; it
// may be nil.
func (l Limits) Serve(ctx context.Context, listener net.Listener, handler drpc.Handler, log func(error)) error {
	server := drpcserver.NewWithOptions(handler, drpcserver.Options{
		Log: log,
		Manager: drpcmanager.Options{
			Reader:            l.readerOptions(),
			InactivityTimeout: l.InactivityTimeout,
		},
	})
	err := server.Serve(ctx, &WriteTimeoutListener{Listener: listener, WriteTimeout: l.WriteTimeout})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// NewConn returns a connection of a client over raw.
func (l Limits) NewConn(raw net.Conn) *drpcconn.Conn {
	return drpcconn.NewWithOptions(&WriteTimeoutConn{Conn: raw, WriteTimeout: l.WriteTimeout}, drpcconn.Options{
		Manager: drpcmanager.Options{Reader: l.readerOptions()},
	})
}

func (l Limits) readerOptions() drpcwire.ReaderOptions {
	return drpcwire.ReaderOptions{MaximumBufferSize: l.MaxMessageBytes}
}
