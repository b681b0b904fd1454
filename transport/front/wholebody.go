package front

import (
	"errors"
	"io"
	"net/http"

	"github.com/persimmonmux/persimmonmux/coordination/forward"
	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
)

const (
	// maxBufferedBytes is the size below which a response is read whole before its
	// status and headers are sent, so that the request can go to another server if the
	// response breaks off.
	maxBufferedBytes = 256 << 10
	// copyBufferBytes is the size of the buffer for the rest of a large body.
	copyBufferBytes = 32 << 10
)

// deliverWhole sends a response that is not a stream.
func (r *response) deliverWhole() error {
	source := r.body()
	held := r.reservation()
	defer held.Release()
	body, isWhole, err := held.Read(source, maxBufferedBytes)
	if err != nil {
		return &forward.IncompleteError{Cause: err}
	}
	if r.exchange.request.Method == http.MethodHead {
		// There is no body, and the length is that of the one that GET would get.
		r.writeHeader(r.incoming.ContentLength)
		return nil
	}
	if isWhole {
		// The whole body has been read, so its length is known even if the server
		// sent no Content-Length.
		r.writeHeader(int64(len(body)))
		return r.write(body)
	}
	r.writeHeader(r.incoming.ContentLength)
	if err := r.write(body); err != nil {
		return err
	}
	held.Release()
	return r.copyRest(source)
}

// copyRest sends the rest of a body as it arrives.
func (r *response) copyRest(source io.Reader) error {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := source.Read(buffer)
		if n > 0 {
			if err := r.write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &forward.IncompleteError{Cause: err}
		}
	}
}

// reservation returns a reservation for the bytes of the response that the host holds.
func (r *response) reservation() buffering.Reservation {
	return buffering.Reservation{Quota: r.exchange.server.BufferQuota}
}
