package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/entry"
)

// Guards against a request that keeps running after its caller has disconnected,
// and against a body timeout that is taken for a disconnect.
func TestCallerThatLeavesCancelsItsRequest(t *testing.T) {
	arrived, canceled := make(chan struct{}), make(chan struct{})
	base := startServer(t, &entry.Server{BodyTimeout: 50 * time.Millisecond, Dispatcher: dispatcherFunc(func(ctx context.Context, _ *request.Request, _ dispatch.Sink) (request.Response, error) {
		// The handler runs longer than BodyTimeout, which must not cancel the request.
		time.Sleep(100 * time.Millisecond)
		qt.Check(t, ctx.Err(), qt.IsNil)
		close(arrived)
		<-ctx.Done()
		close(canceled)
		return request.Response{}, verdict.NewMayHaveRun(verdict.CodeCanceled, ctx.Err(), "caller left")
	})})
	conn := dial(t, base)
	fmt.Fprint(conn, rawPost(completionRequest))
	<-arrived
	conn.Close()
	select {
	case <-canceled:
	case <-time.After(5 * time.Second):
		t.Fatal("the request was not canceled within 5 s after its caller disconnected")
	}
}

// Guards against a caller that stops reading its stream and so occupies an engine
// and memory without a time limit.
func TestSlowReaderIsCutOff(t *testing.T) {
	ended := make(chan error, 1)
	base := startServer(t, &entry.Server{WriteTimeout: 100 * time.Millisecond, Dispatcher: dispatcherFunc(func(_ context.Context, _ *request.Request, sink dispatch.Sink) (request.Response, error) {
		data := []byte(strings.Repeat("x", 64<<10))
		for i := 0; ; i++ {
			if err := sink.WriteChunk(request.Chunk{Position: i, Data: data}); err != nil {
				ended <- err
				return request.Response{}, err
			}
		}
	})})
	conn := dial(t, base)
	defer conn.Close()
	fmt.Fprint(conn, rawPost(strings.Replace(completionRequest, "{", `{"stream":true,`, 1)))
	select {
	case err := <-ended:
		qt.Assert(t, err, qt.ErrorMatches, ".*timeout.*")
	case <-time.After(10 * time.Second):
		t.Fatal("the write to a caller that does not read did not time out within 10 s")
	}
}

// Guards against callers that send part of a request and so hold a connection
// without a time limit.
func TestPartialRequestTimesOut(t *testing.T) {
	base := startServer(t, &entry.Server{HeaderTimeout: 100 * time.Millisecond, BodyTimeout: 100 * time.Millisecond})
	for _, test := range []struct{ name, sent, want string }{
		{"half of the headers", "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n", "408"},
		{"half of the body", strings.TrimSuffix(rawPost(completionRequest), "}"), "400"},
	} {
		t.Run(test.name, func(t *testing.T) {
			conn := dial(t, base)
			defer conn.Close()
			fmt.Fprint(conn, test.sent)
			qt.Assert(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
			got, err := io.ReadAll(conn)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, len(got) == 0 || strings.Contains(string(got), test.want), qt.IsTrue, qt.Commentf("%s", got))
		})
	}
}

// Guards against a graceful stop that cuts off a stream, accepts requests after the
// grace time, or closes the listener while requests are in flight.
func TestStopFinishesStreamsAndRefusesNewRequests(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	started := make(chan struct{})
	server := &entry.Server{GraceTime: 200 * time.Millisecond}
	server.Dispatcher = dispatcherFunc(func(_ context.Context, r *request.Request, sink dispatch.Sink) (request.Response, error) {
		if !r.Stream {
			return request.Response{Body: []byte(completionResponse)}, nil
		}
		if err := streamWords(sink, "a"); err != nil {
			return request.Response{}, err
		}
		close(started)
		<-release
		return request.Response{}, streamWords(sink, "ve")
	})
	base := startServer(t, server)
	stream := make(chan string, 1)
	go func() {
		_, got := sendRequest(t, "POST", base+"/v1/chat/completions", strings.Replace(completionRequest, "{", `{"stream":true,`, 1), nil)
		stream <- got
	}()
	<-started
	closed := make(chan struct{})
	go func() {
		qt.Check(t, server.Close(), qt.IsNil)
		close(closed)
	}()
	waitUntil(t, func() bool {
		resp, _ := sendRequest(t, "GET", base+"/readyz", "", nil)
		return resp.StatusCode == 503
	})
	resp, _ := sendRequest(t, "POST", base+"/v1/chat/completions", completionRequest, nil)
	c.Check(resp.StatusCode, qt.Equals, 200, qt.Commentf("within the grace time"))
	c.Check(resp.Close, qt.IsTrue)
	waitUntil(t, func() bool {
		resp, got := sendRequest(t, "POST", base+"/v1/chat/completions", completionRequest, nil)
		return resp.StatusCode == 503 && strings.Contains(got, `"code":"stopping","verdict":"not-run"`)
	})
	select {
	case <-closed:
		t.Fatal("the server closed with a stream in flight")
	default:
	}
	close(release)
	c.Check(strings.HasSuffix(<-stream, "data: [DONE]\n\n"), qt.IsTrue)
	<-closed
	_, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	c.Check(err, qt.IsNotNil)
}

// Guards against idle connections that use more than 48 KiB of memory each, both
// ends included, or that outlive the server.
func TestIdleConnectionsAreBoundedAndEnd(t *testing.T) {
	c := qt.New(t)
	before := runtime.NumGoroutine()
	server := &entry.Server{}
	base := startServer(t, server)
	var first, second runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&first)
	count := connectionCount()
	conns := make([]net.Conn, 0, count)
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	for range count {
		conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
		if err != nil {
			t.Logf("dial after %d connections: %v", len(conns), err)
			break
		}
		conns = append(conns, conn)
		fmt.Fprint(conn, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
		line, err := bufio.NewReaderSize(conn, 512).ReadString('\n')
		c.Assert(err, qt.IsNil)
		c.Assert(line, qt.Equals, "HTTP/1.1 200 OK\r\n")
	}
	runtime.GC()
	runtime.ReadMemStats(&second)
	used := int64(second.HeapInuse+second.StackInuse) - int64(first.HeapInuse+first.StackInuse)
	each := used / int64(len(conns))
	t.Logf("%d idle connections, %d bytes each with both ends", len(conns), each)
	c.Check(each < 48<<10, qt.IsTrue, qt.Commentf("%d bytes", each))
	c.Assert(server.Close(), qt.IsNil)
	http.DefaultClient.CloseIdleConnections()
	waitUntil(t, func() bool { return runtime.NumGoroutine() <= before+2 })
}

// waitUntil waits until a condition holds and fails the test after 10 s.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("the condition did not hold within 10 s")
}

// dial opens a connection to the server with the given base URL.
func dial(t *testing.T, base string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	qt.Assert(t, err, qt.IsNil)
	return conn
}

// rawPost returns the bytes of a chat completion request with the given body.
func rawPost(content string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", token, len(content), content)
}
