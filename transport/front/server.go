// Package front passes callers' HTTP requests on to servers unchanged and their
// answers back.
package front

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/forward"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

// Forwarder runs requests.
type Forwarder interface {
	// Forward runs a request until the client has the whole answer.
	Forward(ctx context.Context, request *forward.Request, client forward.Exchange) error
}

// ViewSource has the newest view of the site.
type ViewSource interface {
	View() *site.View
	HasSynced() bool
}

const (
	// headerLimit and bodyLimit hold until the desired state says otherwise; it
	// cannot raise headerLimit.
	headerLimit = 64 << 10
	bodyLimit   = 4 << 20
	// headerTimeout is how long a client may take to send a header. It is longer
	// than what operators ask for, so that no proper client is cut off.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a connection may stay unused until the desired state
	// says otherwise.
	idleTimeout = 60 * time.Second
	// noticeTime is how long a stopping host still takes connections, so that
	// the balancer notices two failed checks, a second apart.
	noticeTime = 2600 * time.Millisecond
)

// A Server is the duty that serves callers. Its exported fields are set before Run.
type Server struct {
	// Listener takes callers, and ReadyListener the balancer's checks. Run closes both.
	Listener, ReadyListener net.Listener
	// MetricsListener serves Metrics under /metrics; it may be nil. Run closes it.
	MetricsListener net.Listener
	Metrics         http.Handler
	Forwarder       Forwarder
	Views           ViewSource
	ConnectionPool  *backend.ConnectionPool
	// ShutdownTimeout bounds the time that requests in flight have at a stop.
	ShutdownTimeout time.Duration
	Log             zerolog.Logger

	lifecycle duty.Lifecycle
	stopping  atomic.Bool
	inFlight  atomic.Int64
}

// Run serves until ctx ends or Close is called.
func (s *Server) Run(ctx context.Context) error {
	return s.lifecycle.Run(ctx, func(ctx context.Context) error {
		checks := chi.NewRouter()
		checks.Get("/readyz", s.ready)
		unused := &idleLimit{limit: s.unusedLimit}
		front := &http.Server{
			Handler:           http.HandlerFunc(s.serve),
			ReadHeaderTimeout: headerTimeout,
			ConnState:         unused.changed,
			MaxHeaderBytes:    headerLimit,
			ErrorLog:          log.New(io.Discard, "", 0),
		}
		ready := &http.Server{Handler: checks, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: front.ErrorLog}
		figures := &http.Server{Handler: s.figures(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: front.ErrorLog}
		failed := make(chan error, 3)
		s.lifecycle.Go(func() { failed <- front.Serve(s.Listener) })
		s.lifecycle.Go(func() { failed <- ready.Serve(s.ReadyListener) })
		if s.MetricsListener != nil {
			s.lifecycle.Go(func() { failed <- figures.Serve(s.MetricsListener) })
		}
		var err error
		select {
		case <-ctx.Done():
		case err = <-failed:
		}
		s.stop(front)
		_ = ready.Close()
		_ = figures.Close()
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		return err
	})
}

// figures returns the handler of the metrics address.
func (s *Server) figures() http.Handler {
	router := chi.NewRouter()
	if s.Metrics != nil {
		router.Mount("/metrics", s.Metrics)
	}
	return router
}

// Close stops taking requests, lets those in flight end, and waits.
func (s *Server) Close() error {
	return s.lifecycle.Close()
}

// stop lets the balancer notice, then ends the idle connections and waits for
// the requests in flight.
func (s *Server) stop(front *http.Server) {
	s.stopping.Store(true)
	s.Log.Info().Int64("in-flight", s.inFlight.Load()).Msg("front stops taking connections soon")
	duty.Sleep(context.Background(), noticeTime)
	ctx, cancel := context.WithTimeout(context.Background(), s.ShutdownTimeout-noticeTime)
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		s.Log.Warn().Err(err).Int64("in-flight", s.inFlight.Load()).Msg("requests were cut off at the stop")
		_ = front.Close()
	}
}

// ready answers the balancer's check.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() || !s.Views.HasSynced() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
