package answer

import (
	"context"
	"net"
	"sync/atomic"
)

// usedKey is the key of a context's flag that says whether its connection has carried a request.
type usedKey struct{}

// ConnContext returns a context for the requests of a connection, in which MarkUsed tells the
// first from later ones. It is a ConnContext of an http.Server.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, usedKey{}, new(atomic.Bool))
}

// MarkUsed records that the connection of a request's context has carried one, and returns whether
// it had carried one before.
func MarkUsed(ctx context.Context) bool {
	used, ok := ctx.Value(usedKey{}).(*atomic.Bool)
	return ok && used.Swap(true)
}
