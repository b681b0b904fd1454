package backend

import "bytes"

// A chunkScanner follows the chunks of a body to find what comes after them. net/http checks their
// form, so that it only looks at their sizes. The zero value is ready for use.
type chunkScanner struct {
	// dataLeft is how much of the current chunk follows, with the line end after it.
	dataLeft int64
	// size is the size of the next chunk, as far as its line has been read, and sizeEnded says that
	// an extension or the end of the line follows.
	size      int64
	sizeEnded bool
	// inTrailer says that the last chunk has been read, and trailerLine is the size of the current
	// line after it.
	inTrailer   bool
	trailerLine int
	// ended says that the body has ended, and bytesAfter is how much has come since.
	ended      bool
	bytesAfter int64
}

// scan looks at the next bytes of the body.
func (s *chunkScanner) scan(data []byte) {
	for len(data) > 0 {
		switch {
		case s.ended:
			s.bytesAfter += int64(len(data))
			return
		case s.dataLeft > 0:
			n := min(s.dataLeft, int64(len(data)))
			s.dataLeft -= n
			data = data[n:]
		case s.inTrailer:
			data = s.scanTrailer(data)
		default:
			s.scanSize(data[0])
			data = data[1:]
		}
	}
}

// scanSize looks at a byte of the line with the size of a chunk.
func (s *chunkScanner) scanSize(b byte) {
	digit, isDigit := hexDigit(b)
	switch {
	case b == '\n' && s.size == 0:
		s.inTrailer = true
	case b == '\n':
		s.dataLeft, s.size, s.sizeEnded = s.size+int64(len("\r\n")), 0, false
	case isDigit && !s.sizeEnded:
		s.size = s.size<<4 | digit
	default:
		s.sizeEnded = true
	}
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(b byte) (int64, bool) {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}

// scanTrailer looks at a line after the last chunk, or a part of it, and returns the rest of data.
// The body ends with an empty line.
func (s *chunkScanner) scanTrailer(data []byte) []byte {
	line, rest, isWhole := bytes.Cut(data, []byte("\n"))
	s.trailerLine += len(bytes.TrimSuffix(line, []byte("\r")))
	if isWhole {
		s.ended = s.trailerLine == 0
		s.trailerLine = 0
	}
	return rest
}
