// Package hostlist has the JSON structs of the HTTP interface of the platform's
// host list and weight store.
package hostlist

import "github.com/persimmonmux/persimmonmux/state/fleet"

// The paths of the host list and of the weight store.
const (
	PathHosts   = "/v1/hosts"
	PathWeights = "/v1/weights/fetch"
)

// A HostsResponse is the host list.
type HostsResponse struct {
	Hosts []fleet.ListedHost `json:"hosts"`
}

// A WeightsRequest asks for the weights of an adapter version. The answer comes
// when the transfer has ended.
type WeightsRequest struct {
	Adapter string `json:"adapter"`
}
