package backend

import (
	"testing"

	"github.com/frankban/quicktest"
)

// TestHeadScannerFindsSplitFields guards against a framing field that is not seen because its line
// arrives in several reads, and against one that is seen in an informational header or a body.
func TestHeadScannerFindsSplitFields(t *testing.T) {
	for _, test := range []struct {
		data   string
		fields framingFields
	}{
		{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", framingFields{hasTransferEncoding: true}},
		{"HTTP/1.0 200 OK\ncontent-length:5\n\nhello", framingFields{hasContentLength: true}},
		{"HTTP/1.1   100 Continue\r\nContent-Length: 1\r\n\r\nHTTP/1.0 200 OK\r\nTRANSFER-ENCODING:x\r\n\r\n", framingFields{hasTransferEncoding: true}},
		{"HTTP/1.0 200 OK\r\nX: y\r\n\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n", framingFields{}},
		{"HTTP/1.0 200 OK\r\nX: y\r\n Content-Length: 5\r\n\r\n", framingFields{hasFoldedLine: true}},
		{"HTTP/1.0 200 OK\r\nContent-Lengths: 5\r\nX-Transfer-Encoding: chunked\r\n\r\n", framingFields{}},
	} {
		for size := 1; size <= len(test.data); size++ {
			c := quicktest.New(t)
			var s headScanner
			for rest := test.data; rest != ""; {
				n := min(size, len(rest))
				s.scan([]byte(rest[:n]))
				rest = rest[n:]
			}
			c.Check(s.fields, quicktest.Equals, test.fields, quicktest.Commentf("%q in pieces of %d", test.data, size))
			c.Check(s.ended, quicktest.IsTrue)
		}
	}
}
