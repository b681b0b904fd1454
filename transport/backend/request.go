package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// NewRequest returns a request that net/http cannot resend: its body has no GetBody. A
// request without content has an empty body if net/http would otherwise resend its
// method.
func NewRequest(ctx context.Context, method, url string, content []byte) (*http.Request, error) {
	var body io.Reader
	if len(content) > 0 || isReplayable(method) {
		// The wrapper hides the type of the reader; for a *bytes.Reader net/http would set
		// GetBody.
		body = struct{ io.Reader }{bytes.NewReader(content)}
	}
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(content))
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
