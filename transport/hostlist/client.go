// Package hostlist has the HTTP client of the platform's host list.
package hostlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/persimmonmux/persimmonmux/protocol/hostlist"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

const (
	// callLimit bounds one reading of the list.
	callLimit = 2 * time.Second
	// maximumBody bounds the list, in bytes.
	maximumBody = 64 << 20
)

// A Client reads the host list. Its fields are set before use; it may be used by
// many goroutines.
type Client struct {
	// Address is the host and port of the platform.
	Address string

	httpClient backend.Client
}

// Close refuses new calls, waits for the calls in flight and closes all
// connections.
func (c *Client) Close() error {
	return c.httpClient.Close()
}

// Listing returns the host list, which lags behind reality. Entry hosts and
// backend servers that the platform does not list are gone.
func (c *Client) Listing(ctx context.Context) (fleet.HostList, error) {
	var answer hostlist.HostsResponse
	if err := c.read(ctx, &answer); err != nil {
		return fleet.HostList{}, fmt.Errorf("host list: %w", err)
	}
	var listing fleet.HostList
	for _, listed := range answer.Hosts {
		if listed.Role == fleet.RoleBackend {
			listing.Servers = append(listing.Servers, fleet.ListedServer{
				Name:  listed.Name,
				Start: listed.Start,
				State: listed.State,
			})
			continue
		}
		listing.Hosts = append(listing.Hosts, fleet.Host{
			Name:          fleet.HostName(listed.Name),
			Start:         listed.Start,
			FailureDomain: listed.FailureDomain,
			PeerAddress:   listed.Address,
			State:         listed.State,
		})
	}
	return listing, nil
}

func (c *Client) read(ctx context.Context, into *hostlist.HostsResponse) error {
	leave, err := c.httpClient.BeginCall()
	if err != nil {
		return err
	}
	defer leave()
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	r, err := backend.NewRequest(ctx, http.MethodGet, "http://"+c.Address+hostlist.PathHosts, nil)
	if err != nil {
		return err
	}
	answer, _, err := c.httpClient.Send(r)
	if err != nil {
		if ctx.Err() != nil {
			c.httpClient.CloseIdleConnections()
		}
		return err
	}
	defer answer.Body.Close() //nolint:errcheck // The body is read or given up.
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("the platform answered %d", answer.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(answer.Body, maximumBody)).Decode(into)
}
