package backend

import "bytes"

// The begins of the fields that headScanner looks for.
var (
	transferEncodingField = []byte("Transfer-Encoding:")
	contentLengthField    = []byte("Content-Length:")
)

// maxScannedBytes is how much of each line headScanner keeps, the size of transferEncodingField.
const maxScannedBytes = 18

// A headScanner looks for framing fields and folded lines in the header of the final response to
// one request. net/http drops a Transfer-Encoding without an error from responses older than
// HTTP/1.1, and a Content-Length from those in chunks; it joins folded lines. The zero value is
// ready for use.
type headScanner struct {
	// line has the begin of the current line, and lineBytes is its size.
	line      [maxScannedBytes]byte
	lineBytes int
	// inFields says that the status line has been read.
	inFields bool
	// isInformational says that the status is 1xx, so that another header follows.
	isInformational bool
	// ended says that the final header has been read.
	ended bool
	// fields is what the current header has.
	fields framingFields
	// bodyBytes is the number of bytes after the final header, and chunks follows them if it has a
	// Transfer-Encoding.
	bodyBytes int64
	chunks    chunkScanner
}

// framingFields says which framing fields a header has, and whether some may be hidden.
type framingFields struct {
	hasTransferEncoding bool
	hasContentLength    bool
	// hasFoldedLine says that a line begins with a space or a tab.
	hasFoldedLine bool
}

// endsWithConnection reports whether the final header has been read and gives no end of its body.
func (s *headScanner) endsWithConnection() bool {
	return s.ended && !s.fields.hasTransferEncoding && !s.fields.hasContentLength
}

// scan looks at the next bytes from the server. Of those after the final
// header it follows only the framing.
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
	s.bodyBytes += int64(len(data))
	if s.fields.hasTransferEncoding {
		s.chunks.scan(data)
	}
}

// endLine looks at the begin of a line.
func (s *headScanner) endLine(line []byte) {
	switch {
	case !s.inFields:
		s.isInformational = len(line) > len("HTTP/1.1") && line[len("HTTP/1.1")] == '1'
		s.inFields, s.fields = true, framingFields{}
	case len(bytes.TrimSuffix(line, []byte("\r"))) == 0:
		s.inFields, s.ended = false, !s.isInformational
	case line[0] == ' ' || line[0] == '\t':
		s.fields.hasFoldedLine = true
	case bytes.EqualFold(line, transferEncodingField):
		s.fields.hasTransferEncoding = true
	case len(line) >= len(contentLengthField) && bytes.EqualFold(line[:len(contentLengthField)], contentLengthField):
		s.fields.hasContentLength = true
	}
}
