package front

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/frankban/quicktest"
)

// headFaults are headers that the successful answer of one run does not have.
var headFaults = []string{
	"X-Attempt-Id: other\r\n",
	"X-Attempt-Id: \r\n",
	"X-Response-Signature: t\r\n",
	"Content-Encoding: gzip\r\n",
	"Content-Encoding: identity\r\n",
}

// TestSuccessWithForeignHeadIsNotPassedOn guards against a success that is not the whole answer of
// one run: it has a second attempt id or a second signature, or its body is encoded although
// callers ask for none.
func TestSuccessWithForeignHeadIsNotPassedOn(t *testing.T) {
	for _, fault := range headFaults {
		for _, route := range []string{"/unsafe/x", "/once/x"} {
			t.Run(fmt.Sprintf("%q %s", fault, route), func(t *testing.T) {
				c := quicktest.New(t)
				b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
					body := pieces(1, 2)
					fmt.Fprintf(conn, "%s%sContent-Length: %d\r\n\r\n%s", typedHead(r, "text/event-stream"), fault, len(body), body)
					return true
				})
				answer, body, err := sendRequest(startFront(c, syncedViews(), b), "POST", route, "body")
				c.Assert(err, quicktest.IsNil)
				c.Check(answer.StatusCode, quicktest.Equals, http.StatusBadGateway)
				c.Check(body, quicktest.Equals, "")
			})
		}
	}
}

// TestRefusalThatNamesAnotherRequestIsNotBelieved guards against status 503 for a request that may
// have run: the refusal names a second request, which may be the one that was refused.
func TestRefusalThatNamesAnotherRequestIsNotBelieved(t *testing.T) {
	c := quicktest.New(t)
	b := startRefusing(c, http.StatusServiceUnavailable, "X-Attempt-Id: other\r\nX-Not-Executed: 1\r\n")
	answer, _, err := sendRequest(startFront(c, syncedViews(), b), "POST", "/unsafe/x", "body")
	c.Assert(err, quicktest.IsNil)
	c.Check(answer.StatusCode, quicktest.Equals, http.StatusBadGateway)
	c.Check(b.count(), quicktest.Equals, 1)
}
