package peer

import (
	"context"
	"errors"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

var (
	instance  = fleet.Instance{Adapter: fleet.AdapterReference{Name: "quotes", Version: 3}, Epoch: 7}
	testGrant = fleet.Grant{
		Engine: "engine-1", EngineStart: 4, Address: "10.0.0.1:80", Instance: instance, Epoch: 7,
		RunID: "request-1", Holder: "host-2", Duration: time.Second, LoadStall: time.Millisecond,
	}
	testHeartbeat = fleet.Heartbeat{
		Host:     fleet.Host{Name: "host-1", Start: 9, FailureDomain: "a", Region: "r", PeerAddress: "127.0.0.1:1", State: fleet.HostLive},
		Revision: 12, Sequence: 5, Acknowledged: 6, AcknowledgedStart: 8, AssumedStart: 10,
		Engines: []fleet.EngineSummary{{
			Engine: "engine-1", Owner: "host-1", Epoch: 7, Version: 2, Start: 4, LoadVersion: 3,
			Instances: []fleet.Instance{instance}, Running: 1, Waiting: 2,
		}},
		Leaving:    []fleet.LeavingMember{{Name: "host-3", Start: 1}},
		KnownHosts: []fleet.KnownHost{{Host: fleet.Host{Name: "host-2", Start: 2, State: fleet.HostUnreachable}, Revision: 11}},
	}
	testHandOver = fleet.HandOver{
		Engine: "engine-1", Epoch: 8, Start: 4, Instances: []fleet.Instance{instance},
		Grants: []fleet.Grant{testGrant}, From: "host-1",
	}
	testChanges = []configuration.Change{
		{Revision: 3, Operation: "o3", Draining: map[string]bool{"engine-1": true}},
		{Revision: 4, Operation: "o4", RetireKinds: []configuration.KindName{"chat"}},
	}
)

// fakeHandlers implements the handlers that the tests serve. It records or checks what a call
// passes and replies with fixed values, so that a test sees fields that were lost.
type fakeHandlers struct {
	heartbeat chan fleet.Heartbeat
	demand    chan dispatch.GrantRequest
	handOver  chan fleet.HandOver
	changes   chan []configuration.Change
	// refusal is returned as the error of every call but a heartbeat; nil means success.
	refusal error
	// demandBlock, if not nil, delays Demand until it is closed or the call is canceled.
	demandBlock chan struct{}
	// canceled counts the delayed demands that were canceled.
	canceled atomic.Int32
}

func newFakeHandlers() *fakeHandlers {
	return &fakeHandlers{
		heartbeat: make(chan fleet.Heartbeat, 100),
		demand:    make(chan dispatch.GrantRequest, 100),
		handOver:  make(chan fleet.HandOver, 100),
		changes:   make(chan []configuration.Change, 100),
	}
}

func (h *fakeHandlers) ReceiveHeartbeat(heartbeat fleet.Heartbeat) fleet.Heartbeat {
	h.heartbeat <- heartbeat
	return heartbeat
}

func (h *fakeHandlers) Demand(ctx context.Context, demand dispatch.GrantRequest) (fleet.Grant, error) {
	h.demand <- demand
	if h.demandBlock != nil {
		select {
		case <-h.demandBlock:
		case <-ctx.Done():
			h.canceled.Add(1)
			return fleet.Grant{}, ctx.Err()
		}
	}
	return testGrant, h.refusal
}

func (h *fakeHandlers) Release(_ context.Context, engine fleet.EngineName, requests []fleet.RequestID) error {
	if engine != "engine-1" || len(requests) != 2 {
		return errors.New("release has wrong arguments")
	}
	return h.refusal
}

func (h *fakeHandlers) HandOver(_ context.Context, handOver fleet.HandOver) (bool, error) {
	h.handOver <- handOver
	return true, h.refusal
}

func (h *fakeHandlers) Holdings(_ context.Context, engine fleet.EngineName, epoch fleet.Epoch, owner fleet.HostName) ([]fleet.Grant, fleet.StartNumber, error) {
	if engine != "engine-1" || epoch != 8 || owner != "host-1" {
		return nil, 0, errors.New("holdings has wrong arguments")
	}
	return []fleet.Grant{testGrant}, 9, h.refusal
}

func (h *fakeHandlers) PushChanges(_ context.Context, from fleet.FailureDomainName, changes []configuration.Change) (configuration.Revision, error) {
	if from != "a" {
		return 0, errors.New("push has the wrong failure domain")
	}
	h.changes <- changes
	return 4, h.refusal
}

func (h *fakeHandlers) PullChanges(_ context.Context, after configuration.Revision) ([]configuration.Change, *configuration.Configuration, configuration.Revision, error) {
	if after == 0 {
		return nil, &configuration.Configuration{Revision: 4, Draining: map[string]bool{"x": true}}, 4, h.refusal
	}
	return testChanges, nil, 4, h.refusal
}

func (h *fakeHandlers) ClaimStatus(_ context.Context, key booking.Key, token booking.ClaimToken, start fleet.StartNumber) (booking.ClaimStatus, error) {
	if key != (booking.Key{Application: "a/b", Caller: "c", Request: "r"}) || token != "t" || start != 9 {
		return "", errors.New("claim status has wrong arguments")
	}
	return booking.StatusAbandoned, h.refusal
}

// startServer starts a server on a loopback address; the end of the test closes it.
func startServer(c *quicktest.C, h *fakeHandlers, address string) (*Server, string) {
	return startServerWith(c, &Server{HeartbeatHandler: h, OwnershipHandler: h, HoldingsHandler: h, ConfigurationHandler: h, ClaimHandler: h}, address)
}

// startServerWith does the same for a server whose handlers are set.
func startServerWith(c *quicktest.C, server *Server, address string) (*Server, string) {
	listener, err := net.Listen("tcp", address)
	c.Assert(err, quicktest.IsNil)
	server.Listener = listener
	go func() { _ = server.Run(context.Background()) }()
	c.Cleanup(func() { _ = server.Close() })
	return server, listener.Addr().String()
}

// newClient returns a client that the end of the test closes.
func newClient(c *quicktest.C) *Client {
	client := &Client{FailureDomain: "a"}
	c.Cleanup(func() { _ = client.Close() })
	return client
}

// TestCallsKeepEveryField guards against fields that are lost in the conversion between
// structs and messages.
func TestCallsKeepEveryField(t *testing.T) {
	c := quicktest.New(t)
	h := newFakeHandlers()
	_, address := startServer(c, h, "127.0.0.1:0")
	client := newClient(c)
	ctx := context.Background()

	heartbeat, err := client.Exchange(ctx, address, testHeartbeat)
	c.Assert(err, quicktest.IsNil)
	c.Assert(heartbeat, quicktest.DeepEquals, testHeartbeat)
	c.Assert(<-h.heartbeat, quicktest.DeepEquals, testHeartbeat)

	demand := dispatch.GrantRequest{
		Engine: "engine-1", Adapter: instance.Adapter, RunID: "request-1", Holder: "host-2",
		MaxWait: time.Second, Duration: 2 * time.Second, Urgency: "prompt",
	}
	grant, err := client.Demand(ctx, address, demand)
	c.Assert(err, quicktest.IsNil)
	c.Assert(grant, quicktest.DeepEquals, testGrant)
	c.Assert(<-h.demand, quicktest.DeepEquals, demand)

	c.Assert(client.Release(ctx, address, "engine-1", []fleet.RequestID{"1", "2"}), quicktest.IsNil)
	grants, start, err := client.Holdings(ctx, address, "engine-1", 8, "host-1")
	c.Assert(err, quicktest.IsNil)
	c.Assert(start, quicktest.Equals, fleet.StartNumber(9))
	c.Assert(grants, quicktest.DeepEquals, []fleet.Grant{testGrant})

	accepted, err := client.HandOver(ctx, address, testHandOver)
	c.Assert(err, quicktest.IsNil)
	c.Assert(accepted, quicktest.IsTrue)
	c.Assert(<-h.handOver, quicktest.DeepEquals, testHandOver)

	revision, err := client.PushChanges(ctx, address, testChanges)
	c.Assert(err, quicktest.IsNil)
	c.Assert(revision, quicktest.Equals, configuration.Revision(4))
	c.Assert(<-h.changes, quicktest.DeepEquals, testChanges)
	changes, snapshot, revision, err := client.PullChanges(ctx, address, 2)
	c.Assert(err, quicktest.IsNil)
	c.Assert(changes, quicktest.DeepEquals, testChanges)
	c.Assert(snapshot, quicktest.IsNil)
	c.Assert(revision, quicktest.Equals, configuration.Revision(4))
	_, snapshot, _, err = client.PullChanges(ctx, address, 0)
	c.Assert(err, quicktest.IsNil)
	c.Assert(snapshot.Draining, quicktest.DeepEquals, map[string]bool{"x": true})

	status, err := client.ClaimStatus(ctx, address, booking.Key{Application: "a/b", Caller: "c", Request: "r"}, "t", 9)
	c.Assert(err, quicktest.IsNil)
	c.Assert(status, quicktest.Equals, booking.StatusAbandoned)
}

// TestDemandErrorsAreNotRun guards against a verdict other than NotRun for a grant
// request that got no grant, and against a refusal whose code is lost.
func TestDemandErrorsAreNotRun(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.New(t).Assert(err, quicktest.IsNil)
	defer silent.Close()
	tests := []struct {
		name    string
		refusal error
		address string
		code    verdict.Code
	}{
		{name: "refused by the owner", refusal: &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeNotOwner, RetryAfter: time.Second}, code: verdict.CodeNotOwner},
		{name: "error with verdict may-have-run at the owner", refusal: verdict.NewMayHaveRun(verdict.CodeLoadFailed, nil, "load"), code: verdict.CodeLoadFailed},
		{name: "plain error at the owner", refusal: errors.New("broken"), code: verdict.CodeInternal},
		{name: "reply lost", address: silent.Addr().String(), code: verdict.CodeNoGrant},
		{name: "connection refused", address: "127.0.0.1:1", code: verdict.CodeNoGrant},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			h := newFakeHandlers()
			h.refusal = test.refusal
			_, address := startServer(c, h, "127.0.0.1:0")
			if test.address != "" {
				address = test.address
			}
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			_, err := newClient(c).Demand(ctx, address, dispatch.GrantRequest{Engine: "e", Adapter: instance.Adapter, MaxWait: time.Second})
			var failure *verdict.Error
			c.Assert(errors.As(err, &failure), quicktest.IsTrue, quicktest.Commentf("%v", err))
			c.Assert(failure.Verdict, quicktest.Equals, verdict.NotRun)
			c.Assert(failure.Code, quicktest.Equals, test.code)
			c.Assert(errors.Is(err, fleet.ErrConnectionRefused), quicktest.Equals, test.name == "connection refused")
		})
	}
}

// TestTimedOutCallEndsItsConnection guards against a silent connection that is used
// again or delays other calls, and against a handler that keeps running after its call
// timed out.
func TestTimedOutCallEndsItsConnection(t *testing.T) {
	c := quicktest.New(t)
	h := newFakeHandlers()
	h.demandBlock = make(chan struct{})
	_, address := startServer(c, h, "127.0.0.1:0")
	client := newClient(c)
	demand := dispatch.GrantRequest{Engine: "e", Adapter: instance.Adapter, MaxWait: 10 * time.Second}
	short, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	demandResult := make(chan error, 1)
	go func() {
		_, err := client.Demand(short, address, demand)
		demandResult <- err
	}()
	<-h.demand
	_, err := client.Exchange(context.Background(), address, testHeartbeat)
	c.Assert(err, quicktest.IsNil)
	c.Assert(<-demandResult, quicktest.ErrorIs, context.DeadlineExceeded)
	for deadline := time.Now().Add(5 * time.Second); h.canceled.Load() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	c.Assert(h.canceled.Load(), quicktest.Equals, int32(1))
	close(h.demandBlock)
	_, err = client.Demand(context.Background(), address, demand)
	c.Assert(err, quicktest.IsNil)
}

// TestRestartedPeerIsReached guards against calls that fail after a restart of the peer
// because the pool has closed connections, and against a stopped peer that is reported
// as slow, not as refusing connections.
func TestRestartedPeerIsReached(t *testing.T) {
	c := quicktest.New(t)
	server, address := startServer(c, newFakeHandlers(), "127.0.0.1:0")
	client := newClient(c)
	ctx := context.Background()
	_, err := client.Exchange(ctx, address, testHeartbeat)
	c.Assert(err, quicktest.IsNil)
	c.Assert(server.Close(), quicktest.IsNil)
	_, err = client.Exchange(ctx, address, testHeartbeat)
	c.Assert(err, quicktest.ErrorIs, fleet.ErrConnectionRefused)
	startServer(c, newFakeHandlers(), address)
	_, err = client.Exchange(ctx, address, testHeartbeat)
	c.Assert(err, quicktest.IsNil)
}

// TestCallsInFlightAreBounded guards against an unbounded number of connections when an
// owner stops answering, and against demands that delay heartbeats.
func TestCallsInFlightAreBounded(t *testing.T) {
	c := quicktest.New(t)
	h := newFakeHandlers()
	h.demandBlock = make(chan struct{})
	h.demand = make(chan dispatch.GrantRequest, 2*maxDemandsPerPeer)
	_, address := startServer(c, h, "127.0.0.1:0")
	client := newClient(c)
	demand := dispatch.GrantRequest{Engine: "e", Adapter: instance.Adapter, MaxWait: 10 * time.Second}
	results := make(chan error, maxDemandsPerPeer)
	for range maxDemandsPerPeer {
		go func() {
			_, err := client.Demand(context.Background(), address, demand)
			results <- err
		}()
	}
	for range maxDemandsPerPeer {
		<-h.demand
	}
	_, err := client.Demand(context.Background(), address, demand)
	c.Assert(err, quicktest.ErrorIs, ErrBusy)
	_, err = client.Exchange(context.Background(), address, testHeartbeat)
	c.Assert(err, quicktest.IsNil)
	close(h.demandBlock)
	for range maxDemandsPerPeer {
		c.Assert(<-results, quicktest.IsNil)
	}
}

// TestLargeSnapshot guards against the default message limit of drpc, 4 MiB, which the
// configuration is expected to exceed in two years.
func TestLargeSnapshot(t *testing.T) {
	c := quicktest.New(t)
	h := newFakeHandlers()
	_, address := startServer(c, h, "127.0.0.1:0")
	big := []configuration.Change{{Revision: 1, Draining: map[string]bool{strings.Repeat("x", 6<<20): true}}}
	_, err := newClient(c).PushChanges(context.Background(), address, big)
	c.Assert(err, quicktest.IsNil)
}

// TestIdleConnectionIsClosed guards against unused connections that stay open.
func TestIdleConnectionIsClosed(t *testing.T) {
	c := quicktest.New(t)
	_, address := startServer(c, newFakeHandlers(), "127.0.0.1:0")
	client := newClient(c)
	client.idleTimeout = 50 * time.Millisecond
	_, err := client.Exchange(context.Background(), address, testHeartbeat)
	c.Assert(err, quicktest.IsNil)
	ended := make(chan struct{})
	go func() {
		client.work.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		c.Fatal("the idle connection is still open")
	}
}

// TestCloseLeavesNoGoroutine guards against goroutines of the client or the server that
// outlive Close while calls are in flight and connections are idle.
func TestCloseLeavesNoGoroutine(t *testing.T) {
	c := quicktest.New(t)
	before := runtime.NumGoroutine()
	h := newFakeHandlers()
	h.demandBlock = make(chan struct{})
	server, address := startServer(c, h, "127.0.0.1:0")
	client := newClient(c)
	for range 3 {
		go func() {
			_, _ = client.Demand(context.Background(), address, dispatch.GrantRequest{Engine: "e", Adapter: instance.Adapter, MaxWait: time.Minute})
		}()
	}
	for range 3 {
		<-h.demand
	}
	_, err := client.Exchange(context.Background(), address, testHeartbeat)
	c.Assert(err, quicktest.IsNil)
	c.Assert(client.Close(), quicktest.IsNil)
	_, err = client.Exchange(context.Background(), address, testHeartbeat)
	c.Assert(err, quicktest.ErrorIs, ErrClosed)
	c.Assert(server.Close(), quicktest.IsNil)
	// Goroutines that have signaled their end may still be counted for a moment.
	for deadline := time.Now().Add(5 * time.Second); runtime.NumGoroutine() > before && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	c.Assert(runtime.NumGoroutine() <= before, quicktest.IsTrue, quicktest.Commentf("before %d, after %d", before, runtime.NumGoroutine()))
}
