// Package entry serves callers over HTTP: chat completions, models, plain
// services, health and metrics.
package entry

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/inbound"
)

// The limits that apply where a field of Server is zero.
const (
	DefaultBodyLimit     = 1 << 20 // bytes
	DefaultHeaderTimeout = 10 * time.Second
	DefaultBodyTimeout   = 30 * time.Second
	DefaultIdleTimeout   = 2 * time.Minute
	DefaultWriteTimeout  = 30 * time.Second
)

const (
	// maxHeaderBytes bounds the memory that a connection uses before its request is
	// authenticated.
	maxHeaderBytes = 16 << 10
	// shutdownMargin is how long, in addition to the write timeout, the last bytes
	// of finished responses may take before their connections are closed.
	shutdownMargin = 5 * time.Second
)

// A Dispatcher runs requests to their end.
type Dispatcher interface {
	// Dispatch returns the whole response, or passes its chunks to sink. The
	// data of a chunk is the data of one server-sent event. An error without a
	// verdict is treated as verdict.MayHaveRun.
	Dispatch(ctx context.Context, r *request.Request, sink dispatch.Sink) (request.Response, error)
}

// A ConfigurationSource provides the applied configuration.
type ConfigurationSource interface {
	// Current returns nil if there is no configuration yet. Equal pointers mean
	// equal configurations.
	Current() *configuration.Configuration
}

// A Server serves callers. Its exported fields are set before Run and not
// changed afterwards. When the context of Run ends or Close is called, it stops
// gracefully: GET /readyz returns 503 at once, new requests are refused after
// GraceTime, requests in flight finish, and then the listener closes. Requests end
// by their deadline, which bounds the time that a stop takes.
type Server struct {
	// Address is the IP address and port to listen on, unless Listener is set.
	Address string
	// Listener, when set, is used in place of Address. Run closes it.
	Listener net.Listener
	// Dispatcher runs each request that was accepted and returns its response.
	Dispatcher Dispatcher
	// Configuration provides the applications, kinds, adapters and services that
	// requests are checked against.
	Configuration ConfigurationSource
	// Metrics handles GET /metrics; if it is nil, the path does not exist.
	Metrics http.Handler
	// Log receives the start and stop of the server and errors of connections.
	Log zerolog.Logger

	// GraceTime is how long new requests are still accepted after a stop has begun,
	// so that load balancers notice that GET /readyz returns 503. Zero means that
	// new requests are refused at once.
	GraceTime time.Duration
	// BodyLimit is the largest request body in bytes; zero means DefaultBodyLimit.
	BodyLimit int64
	// HeaderTimeout and BodyTimeout bound how long the headers and the body of a
	// request take to arrive.
	HeaderTimeout, BodyTimeout time.Duration
	// IdleTimeout is how long a connection stays open without a request.
	IdleTimeout time.Duration
	// BufferQuota bounds the connections, and what the host holds of requests. If it is nil,
	// there is no bound.
	BufferQuota *buffering.Quota
	// WriteTimeout bounds the writing of one chunk or of one whole response. The
	// connection of a caller that reads more slowly is closed.
	WriteTimeout time.Duration

	lifecycle duty.Lifecycle
	// index belongs to the configuration that was last used; nil before the first.
	index    atomic.Pointer[configurationIndex]
	stopping atomic.Bool
	inFlight inFlightCounter
}

// Run listens and serves until ctx ends or Close is called, and returns when
// all requests have ended. It returns the error of listening or accepting.
func (s *Server) Run(ctx context.Context) error {
	return s.lifecycle.Run(ctx, s.serve)
}

// Close stops the server gracefully and waits until Run has returned.
func (s *Server) Close() error {
	return s.lifecycle.Close()
}

// serve listens and serves until ctx ends, and then stops the server.
func (s *Server) serve(ctx context.Context) error {
	listener := s.Listener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", s.Address); err != nil {
			return err
		}
	}
	server := &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: orDefault(s.HeaderTimeout, DefaultHeaderTimeout),
		IdleTimeout:       orDefault(s.IdleTimeout, DefaultIdleTimeout),
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         inbound.ConnStateChanged,
		ConnContext:       inbound.ConnContext,
		ErrorLog:          log.New(s.Log, "", 0),
	}
	if s.BufferQuota != nil {
		listener = &inbound.Listener{Listener: listener, Quota: s.BufferQuota}
	}
	s.Log.Info().Stringer("address", listener.Addr()).Msg("entry server is listening")
	served := make(chan error, 1)
	s.lifecycle.Go(func() { served <- server.Serve(listener) })
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	return s.stop(server)
}

// stop shuts the server down after the requests in flight have finished.
func (s *Server) stop(server *http.Server) error {
	s.stopping.Store(true)
	s.Log.Info().Dur("grace-time", s.GraceTime).Msg("entry server is stopping")
	if s.GraceTime > 0 {
		time.Sleep(s.GraceTime)
	}
	<-s.inFlight.beginStop()
	// All handlers have returned, but the last bytes of their responses may not be
	// written yet.
	ctx, cancel := context.WithTimeout(context.Background(), s.writeTimeout()+shutdownMargin)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	s.Log.Info().Msg("entry server stopped")
	return err
}

// routes returns the handler of all paths. Only requests for models, completions
// and plain services count as in flight.
func (s *Server) routes() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/chat/completions", s.countInFlight(s.completions))
	router.Get("/v1/models", s.countInFlight(s.models))
	router.Get("/v1/models/{model}", s.countInFlight(s.model))
	router.HandleFunc("/services/{service}", s.countInFlight(s.service))
	router.HandleFunc("/services/{service}/*", s.countInFlight(s.service))
	router.Get("/healthz", s.healthz)
	router.Get("/readyz", s.readyz)
	if s.Metrics != nil {
		router.Get("/metrics", s.metrics)
	}
	router.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		s.refuseWithStatus(w, http.StatusNotFound, "", verdict.NewNotRun(verdict.CodeMalformed, "path: unknown"))
	})
	router.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		s.refuseWithStatus(w, http.StatusMethodNotAllowed, "", verdict.NewNotRun(verdict.CodeMalformed, "method: not available for this path"))
	})
	return router
}

// countInFlight wraps a handler so that its requests count as in flight and are
// refused once the server has stopped accepting them.
func (s *Server) countInFlight(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		if !s.inFlight.tryBegin() {
			s.refuse(w, "", &verdict.Error{
				Verdict: verdict.NotRun, Code: verdict.CodeStopping,
				Message: "host is stopping", RetryAfter: time.Second,
			})
			return
		}
		defer s.inFlight.end()
		handler(w, r)
	}
}

// healthz handles GET /healthz: 200 as long as the process serves HTTP.
func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	s.respond(w, http.StatusOK, "text/plain; charset=utf-8", []byte("ok\n"))
}

// readyz handles GET /readyz: 200 if load balancers should send requests to this
// host, and 503 without a configuration or during a stop.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	status, text := http.StatusOK, "ready\n"
	switch {
	case s.stopping.Load():
		status, text = http.StatusServiceUnavailable, "stopping\n"
	case s.Configuration.Current() == nil:
		status, text = http.StatusServiceUnavailable, "no configuration\n"
	}
	s.respond(w, status, "text/plain; charset=utf-8", []byte(text))
}

// metrics handles GET /metrics.
func (s *Server) metrics(w http.ResponseWriter, r *http.Request) {
	s.setWriteDeadline(w)
	s.Metrics.ServeHTTP(w, r)
}

// writeTimeout returns WriteTimeout or its default.
func (s *Server) writeTimeout() time.Duration {
	return orDefault(s.WriteTimeout, DefaultWriteTimeout)
}

// orDefault returns value, or fallback when value is zero.
func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
