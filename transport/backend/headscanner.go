package backend

import "bytes"

// transferEncodingField begins the field that headScanner looks for.
const transferEncodingField = "Transfer-Encoding:"

// A headScanner looks for a Transfer-Encoding field in the headers of the responses to one
// request, up to that of the final response. net/http drops this field without an error from
// responses older than HTTP/1.1. The zero value is ready for use.
type headScanner struct {
	// line has the begin of the current line, and lineBytes is its size.
	line      [len(transferEncodingField)]byte
	lineBytes int
	// inFields says that the status line has been read.
	inFields bool
	// isInformational says that the status is 1xx, so that another header follows.
	isInformational bool
	// ended says that the final header has been read.
	ended bool
	// hasTransferEncoding says that a header has the field.
	hasTransferEncoding bool
}

// scan looks at the next bytes from the server. It ignores those after the final header.
func (s *headScanner) scan(data []byte) {
	for !s.ended && len(data) > 0 {
		part, rest, lineEnded := bytes.Cut(data, []byte("\n"))
		if !s.inFields {
			// net/http accepts any number of spaces before the status.
			part = bytes.ReplaceAll(part, []byte(" "), nil)
		}
		s.lineBytes += copy(s.line[s.lineBytes:], part)
		if lineEnded {
			s.endLine(s.line[:s.lineBytes])
			s.lineBytes = 0
		}
		data = rest
	}
}

// endLine looks at the begin of a line.
func (s *headScanner) endLine(line []byte) {
	switch {
	case !s.inFields:
		s.isInformational = len(line) > len("HTTP/1.1") && line[len("HTTP/1.1")] == '1'
		s.inFields = true
	case len(bytes.TrimSuffix(line, []byte("\r"))) == 0:
		s.inFields, s.ended = false, !s.isInformational
	case bytes.EqualFold(line, []byte(transferEncodingField)):
		s.hasTransferEncoding = true
	}
}
