// Package front is a reverse proxy: it forwards callers' HTTP requests to backend
// servers unchanged and returns the responses.
package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/forward"
	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/backend"
	"github.com/persimmonmux/persimmonmux/transport/inbound"
)

// A Forwarder selects servers for requests and forwards the requests to them.
type Forwarder interface {
	// Authorize returns why a request is refused for its key, or nil. It needs no body.
	Authorize(ctx context.Context, request *forward.Request) *verdict.Error
	// Forward runs a request until the caller has the whole response. An error
	// is forward.ErrClientGone or has a verdict.
	Forward(ctx context.Context, request *forward.Request, client forward.Exchange) error
}

// A ViewSource provides the newest view of the site: servers and desired state.
type ViewSource interface {
	// View returns the newest view. It is not nil, but its desired state is nil
	// until one is known.
	View() *site.View
	// HasSynced reports whether the view is complete enough to accept requests.
	HasSynced() bool
}

const (
	// maxHeaderBytes applies until the desired state sets another limit, which can be
	// lower but not higher.
	maxHeaderBytes = 64 << 10
	// headerTimeout is how long a caller may take to send a header. It is longer
	// than the limit that operators set, so that no caller within that limit is
	// disconnected.
	headerTimeout = 10 * time.Second
	// defaultIdleTimeout is how long a connection may stay idle until the desired
	// state sets another limit.
	defaultIdleTimeout = 60 * time.Second
	// stopNoticeDelay is how long a stopping host still accepts connections. The
	// load balancer removes a host after two failed checks, a second apart.
	stopNoticeDelay = 2600 * time.Millisecond
	// finalAnswerTime is how long before the end of a stop the requests in flight get their
	// final answers, so that they are written before the connections are closed.
	finalAnswerTime = 300 * time.Millisecond
	// stopRetryDelay is the time after which a caller should retry at another host.
	stopRetryDelay = 50 * time.Millisecond
)

// A Server is the duty that serves callers. Its exported fields are set before Run
// and not changed afterwards.
type Server struct {
	// Listener accepts connections of callers, ReadyListener those of the load
	// balancer's checks, GET /readyz. Run closes both.
	Listener, ReadyListener net.Listener
	// MetricsListener accepts connections for GET /metrics, which Metrics handles.
	// If MetricsListener is nil, metrics are not served. Run closes it.
	MetricsListener net.Listener
	Metrics         http.Handler
	// Forwarder runs each request.
	Forwarder Forwarder
	// Views provides the limits of the desired state and the readiness.
	Views ViewSource
	// ConnectionPool holds the connections to backend servers.
	ConnectionPool *backend.ConnectionPool
	// BufferQuota bounds the connections of callers, and what the host holds of requests
	// and of responses that it has not passed on.
	BufferQuota *buffering.Quota
	// ShutdownTimeout bounds a stop, stopNoticeDelay included. The connections of
	// requests still in flight after it are closed.
	ShutdownTimeout time.Duration
	// Log receives the start and result of a stop.
	Log zerolog.Logger

	lifecycle duty.Lifecycle
	// stopping means that the server is stopping, and refusing that it takes no more
	// requests.
	stopping atomic.Bool
	refusing atomic.Bool
	inFlight atomic.Int64
}

// Run serves until ctx ends or Close is called, and returns the error of a listener
// that failed.
func (s *Server) Run(ctx context.Context) error {
	return s.lifecycle.Run(ctx, func(ctx context.Context) error {
		requests, endRequests := context.WithCancelCause(context.Background())
		defer endRequests(nil)
		checks := chi.NewRouter()
		checks.Get("/readyz", s.ready)
		idleConnections := &idleConnectionCloser{idleTimeout: s.currentIdleTimeout}
		front := &http.Server{
			Handler:           http.HandlerFunc(s.serve),
			ReadHeaderTimeout: headerTimeout,
			ConnState:         connStateHooks(idleConnections.connStateChanged, inbound.ConnStateChanged),
			ConnContext:       inbound.ConnContext,
			MaxHeaderBytes:    maxHeaderBytes,
			BaseContext:       func(net.Listener) context.Context { return requests },
			ErrorLog:          discardLog,
		}
		ready, metrics := newSideServer(checks), newSideServer(s.metricsHandler())
		failed := make(chan error, 3)
		s.lifecycle.Go(func() { failed <- front.Serve(&inbound.Listener{Listener: s.Listener, Quota: s.BufferQuota}) })
		s.lifecycle.Go(func() { failed <- ready.Serve(sideListener(s.ReadyListener)) })
		if s.MetricsListener != nil {
			s.lifecycle.Go(func() { failed <- metrics.Serve(sideListener(s.MetricsListener)) })
		}
		var err error
		select {
		case <-ctx.Done():
		case err = <-failed:
		}
		s.stop(front, endRequests)
		_ = ready.Close()
		_ = metrics.Close()
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		return err
	})
}

// metricsHandler returns the handler of MetricsListener, which serves GET /metrics.
func (s *Server) metricsHandler() http.Handler {
	router := chi.NewRouter()
	if s.Metrics != nil {
		router.Mount("/metrics", s.Metrics)
	}
	return router
}

// Close stops the server gracefully and waits until Run has returned.
func (s *Server) Close() error {
	return s.lifecycle.Close()
}

// stop fails the readiness check, waits until the load balancer has noticed, closes
// idle connections, refuses further requests and waits for those in flight. It ends the last
// ones by endRequests, early enough for their answers.
func (s *Server) stop(front *http.Server, endRequests context.CancelCauseFunc) {
	s.stopping.Store(true)
	s.Log.Info().Int64("in-flight", s.inFlight.Load()).Msg("front server is stopping: connections are accepted until the load balancer has noticed")
	duty.Sleep(context.Background(), stopNoticeDelay)
	s.refusing.Store(true)
	drainTime := s.ShutdownTimeout - stopNoticeDelay
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	defer time.AfterFunc(drainTime-finalAnswerTime, func() { endRequests(forward.ErrHostStopping) }).Stop()
	if err := front.Shutdown(ctx); err != nil {
		s.Log.Warn().Err(err).Int64("in-flight", s.inFlight.Load()).Msg("front server stopped before all requests had ended: their connections were closed")
		_ = front.Close()
	}
}

// ready handles GET /readyz, the check of the load balancer.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() || !s.Views.HasSynced() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
