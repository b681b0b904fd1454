package front

import (
	"errors"
	"io"
)

// maxUndeclaredBodyBytes bounds a stream, and a body whose length the server did not declare, so
// that bytes that come without end are cut off before the time of the request is up. A declared
// length does not make a stream any longer.
const maxUndeclaredBodyBytes = 32 << 20

// errBodyTooLarge means that a stream, or a body without a declared length, exceeds
// maxUndeclaredBodyBytes.
var errBodyTooLarge = errors.New("stream or response body without a declared length exceeds the size limit of 32 MiB")

// A boundedBody is a body that fails with errBodyTooLarge after maxUndeclaredBodyBytes.
type boundedBody struct {
	source io.Reader
	// bytesLeft is how much more may be read.
	bytesLeft int
}

// Read reads from the source.
func (b *boundedBody) Read(buffer []byte) (int, error) {
	if b.bytesLeft <= 0 {
		return 0, errBodyTooLarge
	}
	n, err := b.source.Read(buffer[:min(len(buffer), b.bytesLeft)])
	b.bytesLeft -= n
	return n, err
}

// body returns the body of the response, with a bound if its length is not declared.
func (r *response) body() io.Reader {
	if r.incoming.ContentLength >= 0 {
		return r.incoming.Body
	}
	return r.boundedBody()
}

// boundedBody returns the body of the response with a bound.
func (r *response) boundedBody() io.Reader {
	return &boundedBody{source: r.incoming.Body, bytesLeft: maxUndeclaredBodyBytes}
}
