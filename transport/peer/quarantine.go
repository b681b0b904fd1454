package peer

import (
	"context"

	"github.com/persimmonmux/persimmonmux/protocol/peer"
	"github.com/persimmonmux/persimmonmux/state/site"
)

// QuarantineHandler receives what other hosts know of requests that crash engines.
type QuarantineHandler interface {
	// Receive records the report of another host and returns the report of this host.
	Receive(report site.QuarantineReport) site.QuarantineReport
}

// ExchangeQuarantine sends the report to the host at the address and returns the report of
// that host.
func (c *Client) ExchangeQuarantine(ctx context.Context, address string, report site.QuarantineReport) (site.QuarantineReport, error) {
	message := peer.FromQuarantineReport(report)
	reply, err := invoke(ctx, c, callOptions{name: "exchange quarantine", address: address, timeout: exchangeTimeout, idempotent: true},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.QuarantineReport, error) {
			return p.ExchangeQuarantine(ctx, message)
		})
	if err != nil {
		return site.QuarantineReport{}, err
	}
	return peer.ToQuarantineReport(reply), nil
}

// ExchangeQuarantine answers with the report that the QuarantineHandler returns.
func (e *endpoint) ExchangeQuarantine(_ context.Context, message *peer.QuarantineReport) (*peer.QuarantineReport, error) {
	if e.server.QuarantineHandler == nil {
		return nil, errNotServed
	}
	return peer.FromQuarantineReport(e.server.QuarantineHandler.Receive(peer.ToQuarantineReport(message))), nil
}
