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
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// The limits that hold where a field of Server is zero.
const (
	DefaultBodyLimit     = 1 << 20 // bytes
	DefaultHeaderTimeout = 10 * time.Second
	DefaultBodyTimeout   = 30 * time.Second
	DefaultIdleTimeout   = 2 * time.Minute
	DefaultWriteTimeout  = 30 * time.Second
)

const (
	// maxHeaderBytes bounds the memory of a connection before its request is known.
	maxHeaderBytes = 16 << 10 // bytes
	// closeMargin is the time beyond the write timeout that the last bytes of
	// finished answers get before their connections are closed.
	closeMargin = 5 * time.Second
)

// A Dispatcher runs requests to their end.
type Dispatcher interface {
	// Dispatch returns the whole answer, or passes its chunks to sink. The
	// data of a chunk is the data of one server-sent event. An error without a
	// verdict counts as verdict MayHaveRun.
	Dispatch(ctx context.Context, r *request.Request, sink dispatch.Sink) (request.Response, error)
}

// A ConfigurationSource has the configuration in force.
type ConfigurationSource interface {
	// Current returns nil when there is no configuration. Equal pointers mean
	// equal configurations.
	Current() *configuration.Configuration
}

// A Server serves callers. Its fields are set before Run. When the context of
// Run ends, or with Close, it stops gracefully: GET /readyz answers 503 at once,
// new requests are refused after GraceTime, requests in flight finish, and then
// the listener closes. A request ends by its deadline, so a stop does too.
type Server struct {
	// Address is the IP address and port to listen on, unless Listener is set.
	Address string
	// Listener, when set, is used in place of Address. Run closes it.
	Listener net.Listener
	// Dispatcher runs the requests.
	Dispatcher Dispatcher
	// Configuration has applications, kinds, adapters and services.
	Configuration ConfigurationSource
	// Metrics answers GET /metrics; nil means that there is no such path.
	Metrics http.Handler
	// Log receives start, stop and faults of connections.
	Log zerolog.Logger

	// GraceTime is how long requests are accepted after the stop began, so that
	// load balancers can notice. Zero means that they are refused at once.
	GraceTime time.Duration
	// BodyLimit is the most bytes of a request's body; zero means DefaultBodyLimit.
	BodyLimit int64
	// HeaderTimeout and BodyTimeout bound the arrival of a request.
	HeaderTimeout, BodyTimeout time.Duration
	// IdleTimeout ends a connection without requests.
	IdleTimeout time.Duration
	// WriteTimeout bounds the writing of one chunk or of one whole answer. A
	// caller that reads more slowly is cut off.
	WriteTimeout time.Duration

	lifecycle duty.Lifecycle
	index     atomic.Pointer[configurationIndex]
	leaving   atomic.Bool
	active    inFlightCounter
}

// Run listens and serves until ctx ends or Close is called, and returns when
// all requests have ended.
func (s *Server) Run(ctx context.Context) error {
	return s.lifecycle.Run(ctx, s.serve)
}

// Close stops the server gracefully and waits until Run has returned.
func (s *Server) Close() error {
	return s.lifecycle.Close()
}

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
		ErrorLog:          log.New(s.Log, "", 0),
	}
	s.Log.Info().Stringer("address", listener.Addr()).Msg("entry server listens")
	served := make(chan error, 1)
	s.lifecycle.Go(func() { served <- server.Serve(listener) })
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	return s.stop(server)
}

// stop ends the server without cutting off a request.
func (s *Server) stop(server *http.Server) error {
	s.leaving.Store(true)
	s.Log.Info().Dur("grace-time", s.GraceTime).Msg("entry server stops")
	if s.GraceTime > 0 {
		time.Sleep(s.GraceTime)
	}
	<-s.active.beginStop()
	// The handlers have returned; what is left is the end of their answers.
	ctx, cancel := context.WithTimeout(context.Background(), s.writeTimeout()+closeMargin)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	s.Log.Info().Msg("entry server stopped")
	return err
}

func (s *Server) routes() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/chat/completions", s.counted(s.completions))
	router.Get("/v1/models", s.counted(s.models))
	router.Get("/v1/models/{model}", s.counted(s.model))
	router.HandleFunc("/services/{service}", s.counted(s.service))
	router.HandleFunc("/services/{service}/*", s.counted(s.service))
	router.Get("/healthz", s.healthz)
	router.Get("/readyz", s.readyz)
	if s.Metrics != nil {
		router.Get("/metrics", s.metrics)
	}
	router.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		s.refuseAs(w, http.StatusNotFound, "", verdict.NewNotRun(verdict.CodeMalformed, "path: unknown"))
	})
	router.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		s.refuseAs(w, http.StatusMethodNotAllowed, "", verdict.NewNotRun(verdict.CodeMalformed, "method: not available for this path"))
	})
	return router
}

// counted counts the requests of a handler as active and refuses them while stopping.
func (s *Server) counted(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		if !s.active.enter() {
			s.refuse(w, "", &verdict.Error{
				Verdict: verdict.NotRun, Code: verdict.CodeStopping,
				Message: "host is stopping", RetryAfter: time.Second,
			})
			return
		}
		defer s.active.leave()
		handler(w, r)
	}
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	s.write(w, http.StatusOK, "text/plain; charset=utf-8", []byte("ok\n"))
}

// readyz says whether load balancers should send requests.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	status, text := http.StatusOK, "ready\n"
	switch {
	case s.leaving.Load():
		status, text = http.StatusServiceUnavailable, "stopping\n"
	case s.Configuration.Current() == nil:
		status, text = http.StatusServiceUnavailable, "no configuration\n"
	}
	s.write(w, status, "text/plain; charset=utf-8", []byte(text))
}

func (s *Server) metrics(w http.ResponseWriter, r *http.Request) {
	s.limitWrite(w)
	s.Metrics.ServeHTTP(w, r)
}

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
