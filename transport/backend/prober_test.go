package backend

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestProberTellsEndedServers guards against live servers that count as ended.
func TestProberTellsEndedServers(t *testing.T) {
	c := quicktest.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	address := listener.Addr().String()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c.Check(Prober{}.HasEnded(ctx, address), quicktest.IsFalse)
	c.Assert(listener.Close(), quicktest.IsNil)
	c.Check(Prober{}.HasEnded(ctx, address), quicktest.IsTrue)
	cancel()
	c.Check(Prober{}.HasEnded(ctx, address), quicktest.IsFalse)
}
