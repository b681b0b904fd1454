package backend

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// settleTime is how long a connection has to stay open to show that a process listens.
	settleTime = 30 * time.Millisecond
	// reconnectPause is the time between a connection that was closed at once and the next one.
	reconnectPause = 5 * time.Millisecond
)

// A Prober checks whether backend servers listen. Its zero value is ready for use.
type Prober struct{}

// HasEnded reports whether the machine at the address answers that no process listens
// there. It returns false if a process keeps the connection open for settleTime, and if
// there is no answer before ctx ends. The connection is closed then.
//
// A process that ends may close its connections before its listener. A connection that is
// made in between is closed with the listener, and another one is tried.
func (Prober) HasEnded(ctx context.Context, address string) bool {
	var dialer net.Dialer
	for {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		isOpen := staysOpen(ctx, conn)
		_ = conn.Close()
		if isOpen {
			return false
		}
		select {
		case <-time.After(reconnectPause):
		case <-ctx.Done():
			return false
		}
	}
}

// staysOpen reports whether the server keeps the new connection open until settleTime has
// passed or ctx ends.
func staysOpen(ctx context.Context, conn net.Conn) bool {
	deadline := time.Now().Add(settleTime)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	_ = conn.SetReadDeadline(deadline)
	_, err := conn.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}
