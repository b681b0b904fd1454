package backend

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// A RawResponse is the answer to a RawRequest. Its Close is called once.
type RawResponse struct {
	*http.Response

	pool    *ConnectionPool
	channel *channel
	stop    func() bool
	// written receives the end of the body's writing.
	written chan error
}

// answered says whether bytes of an answer have arrived. A server may answer and
// close before it has read the whole request.
func answered(ch *channel) bool {
	_, err := ch.reader.Peek(1)
	return err == nil
}

func readHead(reader *bufio.Reader, method string) (*http.Response, error) {
	for range informational {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.New("too many informational answers")
}

// write writes the head, and the body with it if it is small.
func (in *RawResponse) write(out *RawRequest) error {
	var head strings.Builder
	head.WriteString(out.Method + " " + out.Target + " HTTP/1.1\r\nHost: " + out.Host + "\r\n")
	for name, values := range out.Header {
		for _, value := range values {
			head.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(out.Body) > 0 || out.Method != http.MethodGet && out.Method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(out.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if len(out.Body) <= smallBody {
		_, err := in.channel.Write(append([]byte(head.String()), out.Body...))
		return err
	}
	if _, err := io.WriteString(in.channel, head.String()); err != nil {
		return err
	}
	in.written = make(chan error, 1)
	go func() {
		_, err := in.channel.Write(out.Body)
		in.written <- err
	}()
	return nil
}

// Finish ends the answer. complete says that its body was read to its end; the
// connection is then used again if the server allows it.
func (in *RawResponse) Finish(complete bool) {
	if !complete || !in.reusable() {
		in.discard()
		return
	}
	in.pool.put(in.channel)
}

// reusable says whether the connection is clean: both sides are at the end of
// their message, and the request's context has not closed it.
func (in *RawResponse) reusable() bool {
	if !in.stop() || in.Close || in.channel.reader.Buffered() > 0 {
		return false
	}
	if in.written != nil {
		select {
		case err := <-in.written:
			if err != nil {
				return false
			}
		default:
			return false
		}
	}
	in.channel.until = time.Now().Add(keepAlive(in.Header))
	return time.Now().Before(in.channel.until)
}

// keepAlive returns how long the server keeps the connection, less a margin.
func keepAlive(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.ParseFloat(value, 64); strings.EqualFold(name, "timeout") && err == nil {
			return min(time.Duration(seconds*float64(time.Second))-poolIdleMargin, poolIdleLimit)
		}
	}
	return poolIdleLimit
}

func (in *RawResponse) discard() {
	in.stop()
	in.pool.drop(in.channel)
}
