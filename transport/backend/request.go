package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// NewRequest returns a request that net/http cannot resend: its body has no
// GetBody, and also a request without content has a body where the method would
// otherwise count as replayable.
func NewRequest(ctx context.Context, method, url string, content []byte) (*http.Request, error) {
	var body io.Reader
	if len(content) > 0 || replayable(method) {
		// The wrapper hides the type for which net/http would set GetBody.
		body = struct{ io.Reader }{bytes.NewReader(content)}
	}
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(content))
	return r, nil
}

// replayable lists the methods that net/http resends without a body.
func replayable(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}
