package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// errReset means that a connection was reset although reading from it reported an orderly end.
var errReset = errors.New("connection was reset")

// minReceiptPause and maxReceiptPause bound the pauses in which awaitReceipt asks for the state of a
// connection: the kernel reports no event when data is acknowledged.
const (
	minReceiptPause = time.Millisecond
	maxReceiptPause = 20 * time.Millisecond
)

// A connState is what the kernel knows of a connection. A platform that does not tell leaves the
// zero value, which proves nothing.
type connState struct {
	// isReset says that the connection was reset.
	isReset bool
	// unacknowledgedBytes is how much of what was written the other side has not acknowledged.
	unacknowledgedBytes int
}

// readConnState returns the state of a connection. The error is that of a closed connection.
func readConnState(conn net.Conn) (state connState, err error) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return connState{}, nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return connState{}, err
	}
	err = control.Control(func(descriptor uintptr) { state = readSocketState(descriptor) })
	return state, err
}

// checkConnEnd returns the error of a read from the connection, but errReset in place of io.EOF if
// the connection was reset.
func checkConnEnd(conn net.Conn, err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if state, stateErr := readConnState(conn); stateErr == nil && state.isReset {
		return errReset
	}
	return err
}

// awaitReceipt waits until the other side has acknowledged all that was written to the connection.
// The error is errReset, that of the context or that of a closed connection.
func awaitReceipt(ctx context.Context, conn net.Conn) error {
	for pause := minReceiptPause; ; pause = min(2*pause, maxReceiptPause) {
		state, err := readConnState(conn)
		switch {
		case err != nil:
			return err
		case state.isReset:
			return errReset
		case state.unacknowledgedBytes <= 0:
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
}
