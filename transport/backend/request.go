package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// A content is the body of a request. It has no type that net/http knows, for which net/http would
// set GetBody.
type content struct {
	io.Reader

	data []byte
}

func newContent(data []byte) *content { return &content{Reader: bytes.NewReader(data), data: data} }

// Close does nothing.
func (*content) Close() error { return nil }

// renew returns a copy of a request of NewRequest whose body has not been read. It may be called
// only if no byte of the request was written.
func renew(r *http.Request) *http.Request {
	next := r.Clone(r.Context())
	if body, ok := r.Body.(*content); ok {
		next.Body = newContent(body.data)
	}
	return next
}

// NewRequest returns a request that net/http cannot resend: its body has no GetBody. A
// request without content has an empty body if net/http would otherwise resend its
// method.
func NewRequest(ctx context.Context, method, url string, data []byte) (*http.Request, error) {
	var body io.Reader
	if len(data) > 0 || isReplayable(method) {
		body = newContent(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(data))
	return r, nil
}

// isReplayable reports whether net/http may resend a request of the method that has no
// body.
func isReplayable(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}
