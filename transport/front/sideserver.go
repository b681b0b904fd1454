package front

import (
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
	"github.com/persimmonmux/persimmonmux/transport/inbound"
)

const (
	// maxSideConnections and maxSideBytes bound the connections to the ready port or the metrics
	// port and what their heads take, which few and small requests use.
	maxSideConnections = 32
	maxSideBytes       = 1 << 20
	// sideTimeout bounds a request to these ports and its answer.
	sideTimeout = 10 * time.Second
)

// discardLog drops the errors of single connections.
var discardLog = log.New(io.Discard, "", 0)

// newSideServer returns a server for readiness checks or metrics.
func newSideServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:        handler,
		ReadTimeout:    sideTimeout,
		WriteTimeout:   sideTimeout,
		IdleTimeout:    defaultIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ConnState:      inbound.ConnStateChanged,
		ErrorLog:       discardLog,
	}
}

// sideListener returns the listener with bounds of its own.
func sideListener(listener net.Listener) net.Listener {
	return &inbound.Listener{Listener: listener, Quota: &buffering.Quota{MaxBytes: maxSideBytes, MaxIntakes: maxSideConnections}}
}

// connStateHooks returns a hook http.Server.ConnState that calls all hooks.
func connStateHooks(hooks ...func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(conn net.Conn, state http.ConnState) {
		for _, hook := range hooks {
			hook(conn, state)
		}
	}
}
