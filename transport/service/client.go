// Package service is the HTTP client of plain services, whose backend servers do not
// run models.
package service

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

const (
	// defaultResponseTimeout bounds the time without a byte of a response.
	defaultResponseTimeout = 15 * time.Second
	// maxBodyBytes bounds the body of a response, which is shorter.
	maxBodyBytes = 16 << 20
)

// A Client sends requests to the backend servers of plain services. Its fields are set
// before use; a zero timeout means the default. It is safe for concurrent use.
type Client struct {
	// Configuration returns the applied configuration, or nil if the host has none yet.
	Configuration func() *configuration.Configuration
	// Leaving reports whether the host list marks the backend server as leaving; such a
	// server gets no requests. A nil function means that no server is leaving.
	Leaving func(server string) bool
	// FailureDomain is the failure domain of this host. Requests go to backend servers of
	// this failure domain first.
	FailureDomain fleet.FailureDomainName
	// DialTimeout bounds a connection attempt.
	DialTimeout time.Duration
	// ResponseTimeout bounds the time without a byte of a response, from the start of the
	// attempt on.
	ResponseTimeout time.Duration
	// BufferQuota bounds what all responses together hold while they are read. Without it
	// only each response by itself is bounded.
	BufferQuota *buffering.Quota

	once       sync.Once
	httpClient backend.Client
	// callCount counts calls, so that successive calls start at successive servers.
	callCount atomic.Uint64
}

// Close refuses new calls, waits until the calls in flight have ended and closes all
// connections.
func (c *Client) Close() error {
	return c.httpClient.Close()
}

// Call sends the request to one backend server of the service, as
// dispatch.ServiceClient describes. If nothing was written to a server, for example
// because it refused the connection, the next server gets the request. The error is a
// *verdict.Error.
func (c *Client) Call(ctx context.Context, r *request.Request) (request.Response, error) {
	c.once.Do(func() { c.httpClient.DialTimeout = c.DialTimeout })
	endCall, err := c.httpClient.BeginCall()
	if err != nil {
		return request.Response{}, verdict.NewNotRun(verdict.CodeStopping, "service client: closed")
	}
	defer endCall()
	current := c.Configuration()
	if current == nil {
		return request.Response{}, verdict.NewNotRun(verdict.CodeNoConfiguration, "service %s: no configuration", r.Service)
	}
	service, ok := current.Services[r.Service]
	if !ok {
		return request.Response{}, verdict.NewNotRun(verdict.CodeUnknownService, "service %s: unknown", r.Service)
	}
	failure := verdict.NewNotRun(verdict.CodeBackendLost, "service %s: no server available", r.Service)
	for _, server := range c.orderServers(service, current.Draining) {
		a := &attempt{client: c, service: service, server: server, request: r}
		response, result := a.run(ctx)
		if result == nil {
			return response, nil
		}
		failure = result
		if a.wrote || ctx.Err() != nil {
			break
		}
	}
	return request.Response{}, failure
}

// orderServers returns the servers that are neither draining nor leaving, those of the
// own failure domain first. Among the servers of the own failure domain, and among the
// others, successive calls start at successive servers.
func (c *Client) orderServers(service configuration.Service, draining map[string]bool) []configuration.Server {
	var near, far []configuration.Server
	for _, server := range service.Servers {
		switch {
		case draining[server.Name] || c.Leaving != nil && c.Leaving(server.Name):
		case server.FailureDomain == c.FailureDomain:
			near = append(near, server)
		default:
			far = append(far, server)
		}
	}
	call := c.callCount.Add(1)
	return append(rotate(near, call), rotate(far, call)...)
}

// rotate returns the servers in the same cyclic order, starting at index by modulo
// their number.
func rotate(servers []configuration.Server, by uint64) []configuration.Server {
	if len(servers) == 0 {
		return nil
	}
	first := int(by % uint64(len(servers)))
	return append(slices.Clone(servers[first:]), servers[:first]...)
}
