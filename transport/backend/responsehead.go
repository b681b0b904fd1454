package backend

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

var (
	// errOtherVersion means that the major version is not 1, so that the framing is unknown.
	errOtherVersion = errors.New("response is not one of HTTP/1")
	// errOldTransferEncoding means that a response older than HTTP/1.1 has a
	// Transfer-Encoding, which makes its framing faulty (RFC 9112, 6.1).
	errOldTransferEncoding = errors.New("response older than HTTP/1.1 has a transfer encoding")
	// errFoldedLine means that a line of the header begins with a space or a tab, so that the
	// field that it may have is taken for a part of the one before. RFC 9112, 5.2, allows
	// refusing the response.
	errFoldedLine = errors.New("response header has a folded line")
	// errTwoLengths means that a response has a Transfer-Encoding and a Content-Length, which
	// ought to be handled as an error (RFC 9112, 6.3).
	errTwoLengths = errors.New("response has a transfer encoding and a content length")
	// errSpaceInName means that a field name has a space in it or before its colon. net/http
	// takes `Transfer-Encoding :` for a name of its own (RFC 9112, 5.1).
	errSpaceInName = errors.New("response header or trailer has a field name with a space")
	// errNoFinalStatus means that the status is below 200 and not one that announces another
	// response.
	errNoFinalStatus = errors.New("response has a status after which no response follows")
)

// checkHead returns an error for a header that net/http accepts although it is not that of a final
// response, or does not say where the body begins and ends.
func checkHead(response *http.Response, fields framingFields) error {
	if response.ProtoMajor != 1 {
		return errOtherVersion
	}
	if response.StatusCode < http.StatusOK {
		return fmt.Errorf("%w: %q", errNoFinalStatus, response.Status)
	}
	if fields.hasTransferEncoding && !response.ProtoAtLeast(1, 1) {
		return errOldTransferEncoding
	}
	if fields.hasFoldedLine {
		return errFoldedLine
	}
	if fields.hasTransferEncoding && fields.hasContentLength {
		return errTwoLengths
	}
	return checkNames(response.Header)
}

// checkNames returns an error if a field name has a space. net/http refuses all other bytes that
// names cannot have.
func checkNames(fields http.Header) error {
	for name := range fields {
		if strings.Contains(name, " ") {
			return errSpaceInName
		}
	}
	return nil
}

// isInformational reports whether another response follows one with the status.
func isInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// endsWithConnection reports whether the body ends with its connection.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// announcesMissingBody reports whether the response has status 204 and a length or chunks. Its
// server may send the body nevertheless, after which the next response is not found.
func announcesMissingBody(response *http.Response) bool {
	length := response.Header.Get("Content-Length")
	return response.StatusCode == http.StatusNoContent && (len(response.TransferEncoding) > 0 || length != "" && length != "0")
}
