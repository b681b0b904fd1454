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

// TestProberWaitsForEndingServers guards against servers that count as alive, although they have
// ended under a request, because their listener was closed a moment after their connections.
func TestProberWaitsForEndingServers(t *testing.T) {
	c := quicktest.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	time.AfterFunc(settleTime/3, func() { listener.Close() })
	c.Check(Prober{}.HasEnded(ctx, listener.Addr().String()), quicktest.IsTrue)
}

// TestProberStopsWithItsContext guards against a request that waits for a server which accepts
// connections and closes them again and again.
func TestProberStopsWithItsContext(t *testing.T) {
	c := quicktest.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conn.Close()
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	c.Check(Prober{}.HasEnded(ctx, listener.Addr().String()), quicktest.IsFalse)
}
