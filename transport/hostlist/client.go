// Package hostlist provides the HTTP client for the platform's list of hosts.
package hostlist

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/persimmonmux/persimmonmux/protocol/hostlist"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

const (
	// callTimeout bounds one call, from the connection to the end of the list.
	callTimeout = 2 * time.Second
	// maxBodyBytes bounds the JSON text of the list.
	maxBodyBytes = 64 << 20
)

// errNoList means that the response has no list, not even an empty one.
var errNoList = errors.New("body has no list of hosts")

// A Client reads the list of entry hosts and backend servers from the platform. Its
// exported fields are set before use; many goroutines may use it.
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

// Listing reads the host list. The list lags behind the actual state of the hosts.
// Entry hosts and backend servers that are not in the list no longer exist. An
// error means that the list could not be read completely.
func (c *Client) Listing(ctx context.Context) (fleet.HostList, error) {
	var response hostlist.HostsResponse
	if err := c.fetch(ctx, &response); err != nil {
		return fleet.HostList{}, fmt.Errorf("host list: %w", err)
	}
	var listing fleet.HostList
	for _, listed := range response.Hosts {
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

// fetch reads the host list from the platform and decodes it into the given response.
func (c *Client) fetch(ctx context.Context, into *hostlist.HostsResponse) error {
	endCall, err := c.httpClient.BeginCall()
	if err != nil {
		return err
	}
	defer endCall()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := backend.NewRequest(ctx, http.MethodGet, "http://"+c.Address+hostlist.PathHosts, nil)
	if err != nil {
		return err
	}
	response, _, err := c.httpClient.Send(r)
	if err != nil {
		if ctx.Err() != nil {
			c.httpClient.CloseIdleConnections()
		}
		return err
	}
	defer response.Body.Close() //nolint:errcheck // The body is read to its end or no longer needed.
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("platform returned status %d, expected 200", response.StatusCode)
	}
	body, err := backend.ReadBody(response.Body, nil, maxBodyBytes, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return err
	}
	if into.Hosts == nil {
		return errNoList
	}
	return nil
}
