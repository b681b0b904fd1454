package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/coordination/execution"
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
	// answerEarly, if not nil, is called before the body of a request is read, and returns whether
	// it has answered. The connection is closed then.
	answerEarly func(conn net.Conn, r *http.Request) (answered bool)
}

// startBackend starts a backendServer on a loopback port until the end of the test.
func startBackend(c *quicktest.C, serve func(n int, conn net.Conn, r *http.Request) bool) *backendServer {
	return startEarlyBackend(c, serve, nil)
}

// startEarlyBackend does the same with a function that may answer before the body is read.
func startEarlyBackend(c *quicktest.C, serve func(n int, conn net.Conn, r *http.Request) bool, answerEarly func(conn net.Conn, r *http.Request) bool) *backendServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	b := &backendServer{listener: listener, serve: serve, answerEarly: answerEarly}
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
		if b.answerEarly != nil && b.answerEarly(conn, r) {
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

// received describes the requests of the server for messages of tests.
func (b *backendServer) received() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var list []string
	for _, r := range b.requests {
		list = append(list, fmt.Sprintf("%s %s%s with id %q", r.Method, r.Host, r.RequestURI, r.Header.Get("X-Attempt-Id")))
	}
	return strings.Join(list, ", ")
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

func (f *fixedViews) View() *site.View { return f.view }

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

func (noRecorder) RecordRefusal(site.ServiceName, execution.Doubt) {}

func (noRecorder) RecordKeyRefusal(forward.KeyRefusal) {}

// testIdleTimeout is the idle timeout in the desired state of the tests. It is longer than a slow
// machine takes to read a request that was sent.
const testIdleTimeout = 30 * time.Second

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
	c.Cleanup(func() {
		callers.Close()
		checks.Close()
	})
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
	if err == nil {
		// A connection that is reset leaves its port free for the next test.
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	return answer, string(content), err
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
