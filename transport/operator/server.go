// Package operator has the server and the client of the calls of operators.
package operator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/operation"
	"github.com/persimmonmux/persimmonmux/protocol/operator"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/rpc"
)

const (
	// maximumMessageBytes bounds one message. A list of 32,000 adapters has
	// about 1.5 MB.
	maximumMessageBytes = 16 << 20
	// callsAtOnce bounds the calls in flight at one host.
	callsAtOnce = 64
	// inactivityLimit ends connections that carry no call.
	inactivityLimit = 60 * time.Second
	// handlerLimit bounds one call at the server. A change takes at most 10 s
	// to look up its operation and 10 s to be accepted.
	handlerLimit = 21 * time.Second
	// writeLimit bounds one write, so that an operator that stopped reading
	// does not hold a goroutine.
	writeLimit = 10 * time.Second
	// stopLimit is how long Close lets calls in flight end by themselves.
	stopLimit = 5 * time.Second
)

// Editor makes edits of the configuration.
type Editor interface {
	// Apply makes an edit to the expected revision. Its error is a
	// *verdict.Error.
	Apply(ctx context.Context, request operation.EditRequest) (operation.EditResult, error)
}

// StatusReporter tells what this host knows. Lists are sorted by name.
type StatusReporter interface {
	// Freshness says how current the answers are.
	Freshness(ctx context.Context) operation.Freshness
	// Configuration returns the configuration in force; it is never nil.
	Configuration() *configuration.Configuration
	// ListHosts returns the entry hosts.
	ListHosts() []operation.Host
	// ListEngines returns the engines with owner, instances and load.
	ListEngines() []operation.Engine
	// ListServers returns the backend servers.
	ListServers() []operation.Server
	// ShowRevision says where a revision is in force.
	ShowRevision(revision configuration.Revision) operation.RevisionStatus
}

// A Server answers the calls of operators. Its fields are set before Run.
type Server struct {
	// Listener accepts the connections of operators; Run closes it. With a nil
	// Listener, Run serves nobody.
	Listener net.Listener
	// TokenHash is the SHA-256 of the operators' token in hexadecimal. Without
	// it only calls from loopback are served.
	TokenHash string
	Editor    Editor
	Status    StatusReporter
	// Log is called with errors of single connections; it may be nil.
	Log func(error)

	lifecycle duty.Lifecycle
	stopping  atomic.Bool
	// calls has an element for each call in flight.
	calls atomic.Pointer[chan struct{}]
}

// Run serves until ctx ends or Close.
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
		server := drpcserver.NewWithOptions(handler, drpcserver.Options{
			Log: s.Log,
			Manager: drpcmanager.Options{
				Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maximumMessageBytes},
				InactivityTimeout: inactivityLimit,
			},
		})
		if err := server.Serve(ctx, &rpc.WriteTimeoutListener{Listener: s.Listener, WriteTimeout: writeLimit}); err != nil && ctx.Err() == nil {
			return fmt.Errorf("operator server: %w", err)
		}
		return nil
	})
}

// handler returns the handler of all calls.
func (s *Server) handler(ctx context.Context) (*boundedHandler, error) {
	h := &boundedHandler{server: s, slots: s.slots(), served: drpcmux.New(), overloaded: drpcmux.New(), stopping: drpcmux.New()}
	return h, errors.Join(
		operator.DRPCRegisterOperator(h.served, &endpoint{server: s, running: ctx}),
		operator.DRPCRegisterOperator(h.overloaded, &endpoint{
			server: s, refusal: verdict.NewNotRun(verdict.CodeOverloaded, "%d calls of operators are in flight", callsAtOnce),
		}),
		operator.DRPCRegisterOperator(h.stopping, &endpoint{
			server: s, refusal: verdict.NewNotRun(verdict.CodeStopping, "entry host is stopping"),
		}),
	)
}

// A boundedHandler holds a slot for each call until its answer is written, so
// that Close cuts off no answer.
type boundedHandler struct {
	server                       *Server
	slots                        chan struct{}
	served, overloaded, stopping *drpcmux.Mux
}

// HandleRPC serves or refuses a call.
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

// slots returns the channel that counts the calls in flight.
func (s *Server) slots() chan struct{} {
	if slots := s.calls.Load(); slots != nil {
		return *slots
	}
	created := make(chan struct{}, callsAtOnce)
	if s.calls.CompareAndSwap(nil, &created) {
		return created
	}
	return *s.calls.Load()
}

// Close refuses new calls, lets calls in flight end within a limit, and waits
// until Run has returned.
func (s *Server) Close() error {
	if !s.stopping.Swap(true) {
		s.drain()
	}
	return s.lifecycle.Close()
}

// drain takes all slots, which proves that no call is in flight.
func (s *Server) drain() {
	slots := s.slots()
	timer := time.NewTimer(stopLimit)
	defer timer.Stop()
	for range callsAtOnce {
		select {
		case slots <- struct{}{}:
		case <-timer.C:
			return
		}
	}
}
