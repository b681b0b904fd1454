package peer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"github.com/persimmonmux/persimmonmux/coordination/budget"
	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/protocol/peer"
	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/rpc"
)

const (
	// idleLimit is how long an unused connection stays open.
	idleLimit = 30 * time.Second
	// idleConnections bounds the unused connections to all peers, and
	// idlePerPeer those to one peer.
	idleConnections = 1024
	idlePerPeer     = 16
	// controlPerPeer and demandsPerPeer bound the calls in flight to one peer,
	// each of which has a connection of its own. Demands wait for loads and
	// are therefore counted apart from the short calls.
	controlPerPeer = 32
	demandsPerPeer = 256

	// exchangeLimit is a third of the time after which a host counts as
	// silent, so that a silent connection is replaced before that.
	exchangeLimit = time.Second
	// callLimit bounds the short calls.
	callLimit = 2 * time.Second
	// handOverLimit bounds a hand-over, which carries all grants of an engine.
	handOverLimit = 5 * time.Second
	// transferLimit bounds pushes and pulls. A snapshot of 3 MB takes about
	// 1 s on a link of 30 Mbit/s.
	transferLimit = 10 * time.Second
)

// ErrClosed is returned by calls after Close.
var ErrClosed = errors.New("peer client: closed")

// ErrBusy means that too many calls to the peer are in flight. The call was
// not sent.
var ErrBusy = errors.New("too many calls in flight")

// A Client calls other entry hosts. Its fields are set before use; its methods
// may be called by many goroutines. An error that wraps
// fleet.ErrConnectionRefused proves that no process listens at the address.
type Client struct {
	// FailureDomain is the failure domain of this host.
	FailureDomain fleet.FailureDomainName

	// idle replaces idleLimit in tests.
	idle     time.Duration
	start    sync.Once
	pool     *drpcpool.Pool[string, *drpcconn.Conn]
	ctx      context.Context
	cancel   context.CancelFunc
	mutex    sync.Mutex
	closed   bool
	inFlight map[callClass]int
	// work counts calls in flight and connections that are not torn down yet.
	work sync.WaitGroup
}

// A callClass is a kind of call to one peer; each has its own bound.
type callClass struct {
	address string
	demand  bool
}

// bound returns the most calls of the class that may be in flight.
func (c callClass) bound() int {
	if c.demand {
		return demandsPerPeer
	}
	return controlPerPeer
}

// Exchange sends a heartbeat and returns the peer's.
func (c *Client) Exchange(ctx context.Context, address string, heartbeat fleet.Heartbeat) (fleet.Heartbeat, error) {
	request := peer.FromHeartbeat(heartbeat)
	reply, err := invoke(ctx, c, options{name: "exchange", address: address, limit: exchangeLimit, idempotent: true},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.Heartbeat, error) {
			return p.Exchange(ctx, request)
		})
	if err != nil {
		return fleet.Heartbeat{}, err
	}
	return peer.ToHeartbeat(reply)
}

// Demand asks the owner of an engine for a grant. The error is a
// *verdict.Error with verdict NotRun, also when the reply was lost: a grant is
// not a run, and a grant that nobody uses ends by its time.
func (c *Client) Demand(ctx context.Context, address string, demand dispatch.GrantRequest) (fleet.Grant, error) {
	request := peer.FromDemand(demand)
	limit := max(demand.MaxWait, 0) + 2*demandMargin
	reply, err := invoke(ctx, c, options{name: "demand", address: address, limit: limit, demand: true},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.DemandReply, error) {
			return p.Demand(ctx, request)
		})
	if err != nil {
		return fleet.Grant{}, refusalOf(err)
	}
	if refusal := reply.GetRefusal(); refusal != nil {
		return fleet.Grant{}, peer.ToRefusal(refusal)
	}
	grant, err := peer.ToGrant(reply.GetGrant())
	if err != nil {
		return fleet.Grant{}, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeNoGrant, Message: "demand at " + address, Cause: err}
	}
	return grant, nil
}

// refusalOf returns the error of a demand whose reply did not arrive.
func refusalOf(err error) *verdict.Error {
	code := verdict.CodeNoGrant
	switch {
	case errors.Is(err, ErrBusy):
		code = verdict.CodeOverloaded
	case errors.Is(err, context.Canceled):
		code = verdict.CodeCanceled
	}
	return &verdict.Error{Verdict: verdict.NotRun, Code: code, Message: "no grant", Cause: err}
}

// Release ends grants on an engine. It is idempotent.
func (c *Client) Release(ctx context.Context, address string, engine fleet.EngineName, requests []fleet.RequestID) error {
	request := &peer.ReleaseRequest{Engine: string(engine)}
	for _, id := range requests {
		request.Requests = append(request.Requests, string(id))
	}
	_, err := invoke(ctx, c, options{name: "release", address: address, limit: callLimit, idempotent: true},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.ReleaseReply, error) {
			return p.Release(ctx, request)
		})
	return err
}

// Holdings returns the grants that the peer holds on an engine, with their
// remaining durations, and the start number of the peer. epoch and owner tell
// the peer of the engine's new owner.
func (c *Client) Holdings(ctx context.Context, address string, engine fleet.EngineName, epoch fleet.Epoch, owner fleet.HostName) ([]fleet.Grant, fleet.StartNumber, error) {
	request := &peer.HoldingsRequest{Engine: string(engine), Epoch: uint64(epoch), Owner: string(owner)}
	reply, err := invoke(ctx, c, options{name: "holdings", address: address, limit: callLimit, idempotent: true},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.HoldingsReply, error) {
			return p.Holdings(ctx, request)
		})
	if err != nil {
		return nil, 0, err
	}
	grants, err := peer.ToGrants(reply.GetGrants())
	if err != nil {
		return nil, 0, fmt.Errorf("holdings at %s: %w", address, err)
	}
	return grants, fleet.StartNumber(reply.GetStart()), nil
}

// HandOver passes an engine to the peer and reports whether the peer adopted it.
func (c *Client) HandOver(ctx context.Context, address string, handOver fleet.HandOver) (bool, error) {
	request := peer.FromHandOver(handOver)
	reply, err := invoke(ctx, c, options{name: "hand-over", address: address, limit: handOverLimit},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.HandOverReply, error) {
			return p.HandOver(ctx, request)
		})
	if err != nil {
		return false, err
	}
	return reply.GetAccepted(), nil
}

// PushChanges sends changes in rising order and returns the revision in force
// at the peer afterwards.
func (c *Client) PushChanges(ctx context.Context, address string, changes []configuration.Change) (configuration.Revision, error) {
	encoded, err := peer.FromChanges(changes)
	if err != nil {
		return 0, err
	}
	request := &peer.PushChangesRequest{Changes: encoded, FromFailureDomain: string(c.FailureDomain)}
	if len(changes) > 0 {
		request.FirstRevision = uint64(changes[0].Revision)
	}
	reply, err := invoke(ctx, c, options{name: "push changes", address: address, limit: transferLimit, idempotent: true},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.PushChangesReply, error) {
			return p.PushChanges(ctx, request)
		})
	if err != nil {
		return 0, err
	}
	return configuration.Revision(reply.GetRevision()), nil
}

// PullChanges returns the peer's changes after a revision, or a snapshot where
// the peer does not keep them, and the revision in force at the peer.
func (c *Client) PullChanges(ctx context.Context, address string, after configuration.Revision) ([]configuration.Change, *configuration.Configuration, configuration.Revision, error) {
	request := &peer.PullChangesRequest{AfterRevision: uint64(after)}
	reply, err := invoke(ctx, c, options{name: "pull changes", address: address, limit: transferLimit, idempotent: true},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.PullChangesReply, error) {
			return p.PullChanges(ctx, request)
		})
	if err != nil {
		return nil, nil, 0, err
	}
	changes, err := peer.ToChanges(reply.GetChanges())
	if err != nil {
		return nil, nil, 0, fmt.Errorf("pull changes at %s: %w", address, err)
	}
	snapshot, err := peer.ToConfiguration(reply.GetSnapshot())
	if err != nil {
		return nil, nil, 0, fmt.Errorf("pull changes at %s: %w", address, err)
	}
	return changes, snapshot, configuration.Revision(reply.GetRevision()), nil
}

// ClaimStatus asks the host that made a claim what became of it.
func (c *Client) ClaimStatus(ctx context.Context, address string, key booking.Key, token booking.ClaimToken, start fleet.StartNumber) (booking.ClaimStatus, error) {
	request := &peer.ClaimStatusRequest{
		Application: string(key.Application),
		Caller:      key.Caller,
		Request:     string(key.Request),
		Token:       string(token),
		Start:       uint64(start),
	}
	reply, err := invoke(ctx, c, options{name: "claim status", address: address, limit: callLimit, idempotent: true},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.ClaimStatusReply, error) {
			return p.ClaimStatus(ctx, request)
		})
	if err != nil {
		return "", err
	}
	switch status := booking.ClaimStatus(reply.GetStatus()); status {
	case booking.StatusAbandoned, booking.StatusRunning:
		return status, nil
	default:
		return booking.StatusUnknown, nil
	}
}

// Lend asks a host to lend its share of the load rate to the allocator.
func (c *Client) Lend(ctx context.Context, address string, allocator fleet.HostName, epoch fleet.Epoch) (budget.Loan, error) {
	request := &peer.LendRequest{Allocator: string(allocator), Epoch: uint64(epoch)}
	reply, err := invoke(ctx, c, options{name: "lend", address: address, limit: callLimit, idempotent: true},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.LendReply, error) {
			return p.Lend(ctx, request)
		})
	if err != nil {
		return budget.Loan{}, err
	}
	return budget.Loan{Rate: reply.GetLoadsPerSecond(), Duration: time.Duration(reply.GetDurationNanoseconds())}, nil
}

// Permit waits until the allocator permits one load. A permit whose reply is
// lost is not used by anybody.
func (c *Client) Permit(ctx context.Context, address string, want budget.PermitRequest) error {
	request := &peer.PermitRequest{Engine: string(want.Engine), Priority: want.Priority}
	reply, err := invoke(ctx, c, options{name: "permit", address: address, limit: permitLimit},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.PermitReply, error) {
			return p.Permit(ctx, request)
		})
	if err != nil {
		return err
	}
	if refusal := reply.GetRefusal(); refusal != nil {
		return peer.ToRefusal(refusal)
	}
	return nil
}

// Close ends the calls in flight and returns after they and all connections
// have ended.
func (c *Client) Close() error {
	c.start.Do(c.prepare)
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.cancel()
	err := c.pool.Close()
	c.work.Wait()
	return err
}

func (c *Client) prepare() {
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.inFlight = make(map[callClass]int)
	c.pool = drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
		Expiration:  cmp.Or(c.idle, idleLimit),
		Capacity:    idleConnections,
		KeyCapacity: idlePerPeer,
	})
}

// enter counts a call in flight.
func (c *Client) enter(class callClass) error {
	c.start.Do(c.prepare)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return ErrClosed
	}
	if c.inFlight[class] >= class.bound() {
		return ErrBusy
	}
	c.inFlight[class]++
	c.work.Add(1)
	return nil
}

// leave ends a call that entered.
func (c *Client) leave(class callClass) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inFlight[class]--
	if c.inFlight[class] == 0 {
		delete(c.inFlight, class)
	}
	c.work.Done()
}

// dial opens a connection. A goroutine tears it down when it fails, when the
// pool closes it, or when the client is closed.
func (c *Client) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, fmt.Errorf("dial %s: %w", address, fleet.ErrConnectionRefused)
	}
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	connection := drpcconn.NewWithOptions(&rpc.WriteTimeoutConn{Conn: raw, WriteTimeout: writeLimit}, drpcconn.Options{
		Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maximumMessageBytes}},
	})
	c.work.Go(func() {
		select {
		case <-connection.Closed():
		case <-c.ctx.Done():
		}
		_ = connection.Close()
	})
	return connection, nil
}

// options describe a call.
type options struct {
	name    string
	address string
	limit   time.Duration
	demand  bool
	// idempotent calls are sent again when an old connection turned out dead.
	idempotent bool
}

// invoke makes a call within its limit. drpc closes the connection of a call
// whose context ended before the reply, so the next call dials.
func invoke[Reply any](ctx context.Context, c *Client, o options, call func(context.Context, peer.DRPCPeerClient) (Reply, error)) (Reply, error) {
	var none Reply
	class := callClass{address: o.address, demand: o.demand}
	if err := c.enter(class); err != nil {
		return none, fmt.Errorf("%s at %s: %w", o.name, o.address, err)
	}
	defer c.leave(class)
	ctx, cancel := context.WithTimeout(ctx, o.limit)
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()
	for try := 0; ; try++ {
		dialed := false
		connection := c.pool.Get(ctx, o.address, func(ctx context.Context, address string) (*drpcconn.Conn, error) {
			dialed = true
			return c.dial(ctx, address)
		})
		reply, err := call(ctx, peer.NewDRPCPeerClient(rpc.ReplyConn{Conn: connection}))
		if err == nil {
			return reply, nil
		}
		// A restarted peer leaves dead connections in the pool; each try
		// removes one, and a fresh connection proves whether the peer is gone.
		if o.idempotent && !dialed && ctx.Err() == nil && isClosed(err) && try < idlePerPeer {
			continue
		}
		return none, fmt.Errorf("%s at %s: %w", o.name, o.address, err)
	}
}

// isClosed reports whether a call failed because its connection had ended.
func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || drpc.ClosedError.Has(err)
}
