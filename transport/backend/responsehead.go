package backend

import (
	"errors"
	"net/http"
)

// errOldTransferEncoding means that a response older than HTTP/1.1 has a Transfer-Encoding,
// which makes its framing faulty (RFC 9112, 6.1).
var errOldTransferEncoding = errors.New("response older than HTTP/1.1 has a transfer encoding")

// checkHead returns an error for a header that net/http accepts although it does not say
// where the body begins and ends.
func checkHead(response *http.Response, hasTransferEncoding bool) error {
	if hasTransferEncoding && !response.ProtoAtLeast(1, 1) {
		return errOldTransferEncoding
	}
	return nil
}
