package relay

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/frankban/quicktest"
)

// TestResetIsPassedOn guards against an answer that looks whole to a client, because the relay ends
// its connection properly although the server has reset it.
func TestResetIsPassedOn(t *testing.T) {
	for _, isReset := range []bool{false, true} {
		c := quicktest.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, quicktest.IsNil)
		defer listener.Close()
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1))
			if isReset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			conn.Close()
		}()
		r, err := Listen("127.0.0.1:0", listener.Addr().String())
		c.Assert(err, quicktest.IsNil)
		defer r.Close()
		conn, err := net.Dial("tcp", r.Address)
		c.Assert(err, quicktest.IsNil)
		defer conn.Close()
		_, err = conn.Write([]byte("x"))
		c.Assert(err, quicktest.IsNil)
		_, err = io.ReadAll(conn)
		c.Check(errors.Is(err, syscall.ECONNRESET), quicktest.Equals, isReset, quicktest.Commentf("%v", err))
	}
}
