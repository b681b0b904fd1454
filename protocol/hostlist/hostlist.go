// Package hostlist defines the HTTP interface of the platform's host list and weight
// store: paths and JSON structs.
package hostlist

import "github.com/persimmonmux/persimmonmux/state/fleet"

// The paths of the host list and of the weight store.
const (
	PathHosts   = "/v1/hosts"
	PathWeights = "/v1/weights/fetch"
)

// A HostsResponse is the response to a PathHosts request.
type HostsResponse struct {
	// Hosts are all entry hosts and backend servers that the platform lists. It is empty,
	// but not absent or null, if there are none.
	Hosts []fleet.ListedHost `json:"hosts"`
}

// A WeightsRequest is the body of a PathWeights request, which fetches the weights of
// an adapter version. The response comes when the transfer has ended.
type WeightsRequest struct {
	// Adapter is NAME@VERSION.
	Adapter string `json:"adapter"`
}
