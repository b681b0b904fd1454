package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/coordination/forward"
	"github.com/persimmonmux/persimmonmux/coordination/retry"
	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
	"github.com/persimmonmux/persimmonmux/internal/coordination/quarantine"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

// A backendServer reads requests from its connections and lets serve write the raw
// bytes of the responses. It records all requests.
type backendServer struct {
	listener net.Listener
	mutex    sync.Mutex
	requests []*http.Request
	// serve is called with the number of the request, from 1. It returns whether the
	// connection stays open.
	serve func(n int, conn net.Conn, r *http.Request) (keep bool)
}

// startBackend starts a backendServer on a loopback port until the end of the test.
func startBackend(c *quicktest.C, serve func(n int, conn net.Conn, r *http.Request) bool) *backendServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	b := &backendServer{listener: listener, serve: serve}
	c.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serveConn(conn)
		}
	}()
	return b
}

func (b *backendServer) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		b.mutex.Lock()
		b.requests = append(b.requests, r)
		n := len(b.requests)
		b.mutex.Unlock()
		if !b.serve(n, conn, r) {
			return
		}
	}
}

func (b *backendServer) count() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.requests)
}

// success writes a response with a signature and a Content-Length.
func success(conn net.Conn, r *http.Request, body string) bool {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\nContent-Length: %d\r\n\r\n%s",
		r.Header.Get("X-Attempt-Id"), len(body), body)
	return true
}

// fixedViews provides one view, which is synced once the channel synced is closed.
type fixedViews struct {
	view   *site.View
	synced chan struct{}
}

func (f *fixedViews) View() *site.View        { return f.view }
func (f *fixedViews) Synced() <-chan struct{} { return f.synced }
func (f *fixedViews) HasSynced() bool {
	select {
	case <-f.synced:
		return true
	default:
		return false
	}
}

// noPlacer places no adapters.
type noPlacer struct{}

func (noPlacer) Place(context.Context, *site.Server, site.PlaceRequest) (site.Placement, error) {
	return site.Placement{}, nil
}
func (noPlacer) Prefetch(*site.Server, site.PlaceRequest) {}

// noRecorder records nothing.
type noRecorder struct{}

func (noRecorder) RecordRequest(*site.Route, site.ServiceName, time.Time, int, time.Duration, *verdict.Error) {
}

// testIdleTimeout is the idle timeout in the desired state of the tests.
const testIdleTimeout = 300 * time.Millisecond

// linkedPeers passes reports between the hosts of one process, by address.
type linkedPeers map[string]*quarantine.Quarantine

func (l linkedPeers) ExchangeQuarantine(_ context.Context, address string, report site.QuarantineReport) (site.QuarantineReport, error) {
	return l[address].Receive(report), nil
}

// startFronts starts hosts of one site, which exchange reports, in front of the same
// backend servers, and returns their addresses.
func startFronts(c *quicktest.C, count int, servers ...*backendServer) []string {
	peers := make(linkedPeers)
	hosts := make(map[string]*site.Host)
	for n := range count {
		name := fmt.Sprintf("host-%d", n)
		hosts[name] = &site.Host{Name: name, Address: name}
		peers[name] = &quarantine.Quarantine{Self: name, Prober: backend.Prober{}, Peers: peers, Log: zerolog.Nop()}
	}
	var addresses []string
	for n := range count {
		views, q := syncedViews(), peers[fmt.Sprintf("host-%d", n)]
		views.view, q.Views = testView(servers...), views
		views.view.Hosts = hosts
		addresses = append(addresses, startFrontWith(c, views, q))
	}
	return addresses
}

// startFront starts a Server that forwards to the given backend servers and returns
// its address.
func startFront(c *quicktest.C, views *fixedViews, servers ...*backendServer) string {
	views.view = testView(servers...)
	return startFrontWith(c, views, &quarantine.Quarantine{Views: views, Prober: backend.Prober{}, Log: zerolog.Nop()})
}

// testView returns a view with the given backend servers. Each prefix of its desired
// state stands for one kind of route.
func testView(servers ...*backendServer) *site.View {
	view := &site.View{
		Desired: &site.DesiredState{
			Version: 1,
			Routes: []site.Route{
				{Name: "r", Host: "h.example", Prefix: "/safe/", Kind: site.Safe, Timeout: 2 * time.Second, MaxAttempts: 2, WeightedServices: []site.WeightedService{{Service: "s", Weight: 1}}},
				{Name: "u", Host: "h.example", Prefix: "/unsafe/", Kind: site.Unsafe, Timeout: 2 * time.Second, MaxAttempts: 1, WeightedServices: []site.WeightedService{{Service: "s", Weight: 1}}},
				{Name: "l", Host: "h.example", Prefix: "/stream/", Kind: site.Streaming, Resumable: true, Timeout: 2 * time.Second, MaxAttempts: 2, WeightedServices: []site.WeightedService{{Service: "s", Weight: 1}}},
				{Name: "o", Host: "h.example", Prefix: "/once/", Kind: site.Streaming, Timeout: 2 * time.Second, MaxAttempts: 1, WeightedServices: []site.WeightedService{{Service: "s", Weight: 1}}},
			},
			Services: map[site.ServiceName]*site.Service{"s": {Name: "s"}},
			Limits:   site.Limits{HeaderBytes: 4 << 10, IdleTimeout: testIdleTimeout},
		},
		Servers: map[site.ServerID]*site.Server{},
	}
	for i, b := range servers {
		id := site.ServerID(fmt.Sprintf("server-%d", i))
		view.Servers[id] = &site.Server{Incarnation: site.Incarnation{ID: id}, Service: "s", Address: b.listener.Addr().String(), State: site.Ready, MaxConcurrency: 8}
	}
	view.BuildIndex()
	return view
}

// testBufferQuota is the buffer quota of a host with 184 MB.
const testBufferQuota = 184 << 20 / 16

// startFrontWith starts a Server with the views and the quarantine, and runs the
// quarantine.
func startFrontWith(c *quicktest.C, views *fixedViews, blocked *quarantine.Quarantine) string {
	return startServer(c, views, blocked).Listener.Addr().String()
}

// startServer does the same and returns the Server.
func startServer(c *quicktest.C, views *fixedViews, blocked *quarantine.Quarantine) *Server {
	go blocked.Run(context.Background())
	s := newServer(c, views, blocked)
	go s.Run(context.Background())
	return s
}

// newServer returns a Server with the views and the quarantine that does not run yet.
func newServer(c *quicktest.C, views *fixedViews, blocked *quarantine.Quarantine) *Server {
	balancer := &balance.Balancer{Views: views, HasOwner: func(string) bool { return true }}
	window := &retry.WindowBudget{Window: 10 * time.Second, RetryRatio: 0.2, MinRetries: 100, HostCount: func() int { return 1 }}
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	checks, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	return &Server{
		Listener: callers, ReadyListener: checks, Views: views, ConnectionPool: &backend.ConnectionPool{}, ShutdownTimeout: stopNoticeDelay + time.Second, Log: zerolog.Nop(),
		BufferQuota: &buffering.Quota{MaxBytes: testBufferQuota},
		Forwarder:   &forward.Forwarder{Views: views, Balancer: balancer, Placer: noPlacer{}, RetryBudget: window, Quarantine: blocked, Recorder: noRecorder{}, Log: zerolog.Nop()},
	}
}

// syncedViews returns views that are synced from the start.
func syncedViews() *fixedViews {
	v := &fixedViews{synced: make(chan struct{})}
	close(v.synced)
	return v
}

// sendRequest sends one request on a new connection and reads the whole response.
func sendRequest(address, method, target, body string, header ...string) (*http.Response, string, error) {
	return sendRequestAs("id-1", address, method, target, body, header...)
}

// sendRequestAs does the same with another attempt id.
func sendRequestAs(id, address, method, target, body string, header ...string) (*http.Response, string, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1500\r\nContent-Length: %d\r\n%s\r\n%s",
		method, target, id, len(body), strings.Join(append(header, ""), "\r\n"), body)
	answer, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	content, err := io.ReadAll(answer.Body)
	return answer, string(content), err
}

// TestRequestIsPassedOnUnchanged guards against paths that are normalized, bodies
// that change, and reserved headers that reach a server although a caller set them.
func TestRequestIsPassedOnUnchanged(t *testing.T) {
	c := quicktest.New(t)
	b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool { return success(conn, r, "answer") })
	front := startFront(c, syncedViews(), b)
	answer, body, err := sendRequest(front, "POST", "/unsafe/a//b/%2f/../c?q=%20x&&y", "the body", "X-Hold: 1", "Kv-From: 1.2.3.4:5/6",
		"X-Expect-Instance: other", "X-Own: kept", "Connection: X-Drop", "X-Drop: 1")
	c.Assert(err, quicktest.IsNil)
	c.Assert(answer.StatusCode, quicktest.Equals, 200)
	c.Assert(body, quicktest.Equals, "answer")
	got := b.requests[0]
	c.Assert(got.RequestURI, quicktest.Equals, "/unsafe/a//b/%2f/../c?q=%20x&&y")
	sent, _ := io.ReadAll(got.Body)
	c.Assert(string(sent), quicktest.Equals, "the body")
	c.Assert(got.Header.Get("X-Hold")+got.Header.Get("Kv-From")+got.Header.Get("X-Drop"), quicktest.Equals, "")
	c.Assert(got.Header.Get("X-Expect-Instance"), quicktest.Equals, "server-0")
	c.Assert(got.Header.Get("X-Own"), quicktest.Equals, "kept")
}

// TestUnsafeRequestIsSentOnce guards against a second run of an unsafe request when
// the server closes a reused connection after reading the request, and against a
// status that states that the request did not run.
func TestUnsafeRequestIsSentOnce(t *testing.T) {
	c := quicktest.New(t)
	b := startBackend(c, func(n int, conn net.Conn, r *http.Request) bool { return n == 1 && success(conn, r, "first") })
	front := startFront(c, syncedViews(), b)
	_, _, err := sendRequest(front, "POST", "/unsafe/x", "body")
	c.Assert(err, quicktest.IsNil)
	answer, _, err := sendRequest(front, "POST", "/unsafe/x", "body")
	c.Assert(err, quicktest.IsNil)
	c.Assert(answer.StatusCode, quicktest.Equals, http.StatusBadGateway)
	c.Assert(b.count(), quicktest.Equals, 2)
}

// TestSafeRequestGoesToAnotherServer guards against a failure that reaches the caller of
// a safe request although another server could have run the request.
func TestSafeRequestGoesToAnotherServer(t *testing.T) {
	c := quicktest.New(t)
	broken := startBackend(c, func(int, net.Conn, *http.Request) bool { return false })
	sound := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool { return success(conn, r, "answer") })
	front := startFront(c, syncedViews(), broken, sound)
	answer, body, err := sendRequest(front, "GET", "/safe/x", "")
	c.Assert(err, quicktest.IsNil)
	c.Assert(answer.StatusCode, quicktest.Equals, 200)
	c.Assert(body, quicktest.Equals, "answer")
	c.Assert(broken.count(), quicktest.Equals, 1)
}

// TestAnswerOfAnotherRequestIsNotPassedOn guards against responses that reach the
// wrong caller: a response with another attempt id, and an extra response that is
// already on a connection before the next request is sent on it.
func TestAnswerOfAnotherRequestIsNotPassedOn(t *testing.T) {
	c := quicktest.New(t)
	crossed := startBackend(c, func(_ int, conn net.Conn, _ *http.Request) bool {
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Signature: s\r\nContent-Length: 5\r\n\r\nwrong")
		return true
	})
	front := startFront(c, syncedViews(), crossed)
	answer, _, err := sendRequest(front, "POST", "/unsafe/x", "body")
	c.Assert(err, quicktest.IsNil)
	c.Assert(answer.StatusCode, quicktest.Equals, http.StatusBadGateway)

	extra := startBackend(c, func(n int, conn net.Conn, r *http.Request) bool {
		success(conn, r, fmt.Sprintf("answer %d", n))
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Signature: s\r\nContent-Length: 5\r\n\r\nwrong")
		return true
	})
	front = startFront(c, syncedViews(), extra)
	for n := 1; n < 4; n++ {
		_, body, err := sendRequest(front, "POST", "/unsafe/x", "body")
		c.Assert(err, quicktest.IsNil)
		c.Assert(body, quicktest.Equals, fmt.Sprintf("answer %d", n))
		time.Sleep(20 * time.Millisecond)
	}
}

// stream writes a stream with the events from first to last. If cut is true, it ends
// within the next event and without the last chunk.
func stream(conn net.Conn, r *http.Request, first, last int, cut bool) bool {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		r.Header.Get("X-Attempt-Id"))
	for i := first; i <= last; i++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	if cut {
		fmt.Fprint(conn, "6\r\nid: 99\r\n")
		return false
	}
	fmt.Fprint(conn, "0\r\n\r\n")
	return true
}

// TestBrokenStreamIsResumed guards against streams that lack an event, repeat an
// event or have part of an event after the engine's connection broke off.
func TestBrokenStreamIsResumed(t *testing.T) {
	c := quicktest.New(t)
	serve := func(_ int, conn net.Conn, r *http.Request) bool {
		if r.Header.Get("Last-Event-Id") == "3" {
			return stream(conn, r, 4, 6, false)
		}
		return stream(conn, r, 1, 3, true)
	}
	front := startFront(c, syncedViews(), startBackend(c, serve), startBackend(c, serve))
	_, body, err := sendRequest(front, "POST", "/stream/x", "body")
	c.Assert(err, quicktest.IsNil)
	var want strings.Builder
	for i := 1; i <= 6; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", i, i)
	}
	c.Assert(body, quicktest.Equals, want.String())
}

// TestStreamThatMayNotBeResumedEndsEarly guards against a stream that broke off
// but looks complete to the caller, and against a second run of its request.
func TestStreamThatMayNotBeResumedEndsEarly(t *testing.T) {
	c := quicktest.New(t)
	serve := func(_ int, conn net.Conn, r *http.Request) bool { return stream(conn, r, 1, 3, true) }
	first, second := startBackend(c, serve), startBackend(c, serve)
	front := startFront(c, syncedViews(), first, second)
	_, _, err := sendRequest(front, "POST", "/once/x", "body")
	c.Assert(errors.Is(err, io.ErrUnexpectedEOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
	c.Assert(first.count()+second.count(), quicktest.Equals, 1)
}

// TestUnavailableMeansNotRun guards against status 503 for a request that may have
// run, and against a response with status 503 that lacks the header Retry-After.
func TestUnavailableMeansNotRun(t *testing.T) {
	c := quicktest.New(t)
	refusing := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Attempt-Id"))
		return true
	})
	front := startFront(c, syncedViews(), refusing)
	answer, _, err := sendRequest(front, "POST", "/unsafe/x", "body")
	c.Assert(err, quicktest.IsNil)
	c.Assert(answer.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	c.Assert(answer.Header.Get("Retry-After"), quicktest.Not(quicktest.Equals), "")
	answer, _, err = sendRequest(front, "POST", "/nowhere/x", "body")
	c.Assert(err, quicktest.IsNil)
	c.Assert(answer.StatusCode, quicktest.Equals, http.StatusNotFound)

	silent := startBackend(c, func(int, net.Conn, *http.Request) bool { time.Sleep(3 * time.Second); return false })
	front = startFront(c, syncedViews(), silent)
	began := time.Now()
	answer, _, err = sendRequest(front, "POST", "/unsafe/x", "body")
	c.Assert(err, quicktest.IsNil)
	c.Assert(answer.StatusCode, quicktest.Equals, http.StatusGatewayTimeout)
	c.Assert(time.Since(began) < 2*time.Second, quicktest.IsTrue)
}

// TestRequestWaitsForFirstView guards against a host that has just started and refuses
// requests, for example with status 404, instead of waiting for its first view.
func TestRequestWaitsForFirstView(t *testing.T) {
	c := quicktest.New(t)
	b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool { return success(conn, r, "answer") })
	views := &fixedViews{synced: make(chan struct{})}
	front := startFront(c, views, b)
	time.AfterFunc(300*time.Millisecond, func() { close(views.synced) })
	answer, _, err := sendRequest(front, "POST", "/unsafe/x", "body")
	c.Assert(err, quicktest.IsNil)
	c.Assert(answer.StatusCode, quicktest.Equals, 200)
}

// TestCallerThatLeavesEndsTheRun guards against servers that keep running a request
// after its caller has closed the connection.
func TestCallerThatLeavesEndsTheRun(t *testing.T) {
	c := quicktest.New(t)
	ended := make(chan time.Time, 1)
	b := startBackend(c, func(_ int, conn net.Conn, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1))
		ended <- time.Now()
		return false
	})
	front := startFront(c, syncedViews(), b)
	conn, err := net.Dial("tcp", front)
	c.Assert(err, quicktest.IsNil)
	fmt.Fprint(conn, "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id-1\r\n\r\n")
	time.Sleep(100 * time.Millisecond)
	left := time.Now()
	conn.Close()
	c.Assert((<-ended).Sub(left) < 500*time.Millisecond, quicktest.IsTrue)
}
