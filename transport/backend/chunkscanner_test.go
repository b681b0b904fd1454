package backend

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"
)

// TestBytesAfterChunks guards against bytes after a body in chunks that are taken for a part of it,
// and the other way round, however the network divides them.
func TestBytesAfterChunks(t *testing.T) {
	for _, test := range []struct {
		body  string
		after int64
	}{
		{"0\r\n\r\n", 0},
		{"4\r\nbusy\r\n0\r\n\r\n", 0},
		{"4;name=0\r\nbu\nn\r\n0\r\n\r\n", 0},
		{"1A\r\n0\r\n\r\n0\r\n\r\n0\r\n\r\n0\r\n\r\n0\r\n\r\nx\r\n00\r\n\r\n", 0},
		{"4\r\nbusy\r\n0\r\nX-Field: a\r\nX-Other: b\r\n\r\n", 0},
		{"4\r\nbusy\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", 19},
		{"0\r\nX-Field: a\r\n\r\n\r\n", 2},
		{"4\r\nbu", 0},
	} {
		c := quicktest.New(t)
		for size := 1; size <= len(test.body); size++ {
			var s chunkScanner
			for rest := test.body; rest != ""; {
				n := min(size, len(rest))
				s.scan([]byte(rest[:n]))
				rest = rest[n:]
			}
			c.Check(s.bytesAfter, quicktest.Equals, test.after, quicktest.Commentf("%s", fmt.Sprintf("%q in parts of %d", test.body, size)))
		}
	}
}
