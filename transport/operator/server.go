// Package operator is the drpc server and client for the calls of operators.
package operator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/operation"
	"github.com/persimmonmux/persimmonmux/protocol/operator"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/rpc"
)

const (
	// maxMessageBytes bounds one message. A list of 32,000 adapters has about 1.5 MB.
	maxMessageBytes = 16 << 20
	// maxCallsInFlight bounds the calls in flight at one host.
	maxCallsInFlight = 64
	// inactivityTimeout ends connections that carry no call.
	inactivityTimeout = 60 * time.Second
	// handlerTimeout bounds one call at the server. A change takes at most 10 s to look
	// up its operation and 10 s to be accepted.
	handlerTimeout = 21 * time.Second
	// writeTimeout bounds one write, so that an operator that has stopped reading does
	// not block a goroutine.
	writeTimeout = 10 * time.Second
	// drainTimeout is how long Close waits for calls in flight before it cancels them.
	drainTimeout = 5 * time.Second
)

// connectionLimits bounds the connections of servers and clients.
var connectionLimits = rpc.Limits{MaxMessageBytes: maxMessageBytes, InactivityTimeout: inactivityTimeout, WriteTimeout: writeTimeout}

// Editor applies edits to the configuration.
type Editor interface {
	// Apply applies an edit to the expected revision. Its error is a *verdict.Error.
	Apply(ctx context.Context, request operation.EditRequest) (operation.EditResult, error)
}

// StatusReporter returns what this host knows of the configuration, the hosts and the
// engines. Lists are sorted by name.
type StatusReporter interface {
	// Freshness returns how current the data of this host are.
	Freshness(ctx context.Context) operation.Freshness
	// Configuration returns the applied configuration; it is never nil.
	Configuration() *configuration.Configuration
	// ListHosts returns the entry hosts.
	ListHosts() []operation.Host
	// ListEngines returns the engines with their owners, instances and load.
	ListEngines() []operation.Engine
	// ListServers returns the backend servers.
	ListServers() []operation.Server
	// ShowRevision returns on which entry hosts a revision is applied.
	ShowRevision(revision configuration.Revision) operation.RevisionStatus
}

// A Server answers the calls of operators. Its fields are set before Run.
type Server struct {
	// Listener accepts the connections of operators; Run closes it. With a nil Listener,
	// Run only waits until its context ends.
	Listener net.Listener
	// TokenHash is the SHA-256 hash of the operator token in hexadecimal. Without it,
	// only calls from loopback are served.
	TokenHash string
	Editor    Editor
	Status    StatusReporter
	// Log is called with errors of single connections; it may be nil.
	Log func(error)

	lifecycle duty.Lifecycle
	stopping  atomic.Bool
	// callSlots is the channel that has an element for each call in flight; nil until
	// initCallSlots has been called.
	callSlots atomic.Pointer[chan struct{}]
}

// Run serves calls until ctx ends or Close is called.
func (s *Server) Run(ctx context.Context) error {
	return s.lifecycle.Run(ctx, func(ctx context.Context) error {
		if s.Listener == nil {
			<-ctx.Done()
			return ctx.Err()
		}
		handler, err := s.handler(ctx)
		if err != nil {
			return fmt.Errorf("operator server: %w", err)
		}
		if err := connectionLimits.Serve(ctx, s.Listener, handler, s.Log); err != nil {
			return fmt.Errorf("operator server: %w", err)
		}
		return nil
	})
}

// handler returns the handler of all calls, with an endpoint for calls that are served
// and one for each reason to refuse them.
func (s *Server) handler(ctx context.Context) (*boundedHandler, error) {
	h := &boundedHandler{server: s, slots: s.initCallSlots(), served: drpcmux.New(), overloaded: drpcmux.New(), stopping: drpcmux.New()}
	return h, errors.Join(
		operator.DRPCRegisterOperator(h.served, &endpoint{server: s, runContext: ctx}),
		operator.DRPCRegisterOperator(h.overloaded, &endpoint{
			server: s, refusal: verdict.NewNotRun(verdict.CodeOverloaded, "entry host already serves %d operator calls", maxCallsInFlight),
		}),
		operator.DRPCRegisterOperator(h.stopping, &endpoint{
			server: s, refusal: verdict.NewNotRun(verdict.CodeStopping, "entry host is stopping"),
		}),
	)
}

// A boundedHandler bounds the calls in flight. It holds a slot for each call until the
// reply is written, so that Close does not cut off a reply.
type boundedHandler struct {
	server                       *Server
	slots                        chan struct{}
	served, overloaded, stopping *drpcmux.Mux
}

// HandleRPC serves a call if a slot is free and the server is not stopping, and refuses
// it otherwise.
func (h *boundedHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	if h.server.stopping.Load() {
		return h.stopping.HandleRPC(stream, rpc)
	}
	select {
	case h.slots <- struct{}{}:
		defer func() { <-h.slots }()
		return h.served.HandleRPC(stream, rpc)
	default:
		return h.overloaded.HandleRPC(stream, rpc)
	}
}

// initCallSlots returns the channel that counts the calls in flight, and creates it at
// the first call. Run and Close may call it at the same time.
func (s *Server) initCallSlots() chan struct{} {
	if slots := s.callSlots.Load(); slots != nil {
		return *slots
	}
	created := make(chan struct{}, maxCallsInFlight)
	if s.callSlots.CompareAndSwap(nil, &created) {
		return created
	}
	return *s.callSlots.Load()
}

// Close refuses new calls, waits at most drainTimeout for the calls in flight, cancels
// those that are left and waits until Run has returned.
func (s *Server) Close() error {
	if !s.stopping.Swap(true) {
		s.drain()
	}
	return s.lifecycle.Close()
}

// drain takes all slots, which proves that no call is in flight. It gives up after
// drainTimeout.
func (s *Server) drain() {
	slots := s.initCallSlots()
	timer := time.NewTimer(drainTimeout)
	defer timer.Stop()
	for range maxCallsInFlight {
		select {
		case slots <- struct{}{}:
		case <-timer.C:
			return
		}
	}
}
