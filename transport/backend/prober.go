package backend

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// A Prober checks whether backend servers listen. Its zero value is ready for use.
type Prober struct{}

// HasEnded reports whether the machine at the address answers that no process listens
// there. It returns false if a process accepts the connection, which is closed at once,
// and if there is no answer before ctx ends.
func (Prober) HasEnded(ctx context.Context, address string) bool {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
