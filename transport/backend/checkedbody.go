package backend

import (
	"errors"
	"io"
	"net/http"
)

// A checkedBody is the body of a response that ends with the error of check in place of io.EOF.
type checkedBody struct {
	io.ReadCloser

	check func() error
}

// Read reads from the body.
func (b checkedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		if checkErr := b.check(); checkErr != nil {
			return n, checkErr
		}
	}
	return n, err
}

// checkTrailer returns an error for a trailer that net/http accepts although it has a malformed
// field name.
func checkTrailer(response *http.Response) error { return checkNames(response.Trailer) }
