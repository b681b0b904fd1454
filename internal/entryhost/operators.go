package entryhost

import (
	"net"

	"github.com/gravitational/trace"

	"github.com/persimmonmux/persimmonmux/coordination/membership"
	"github.com/persimmonmux/persimmonmux/coordination/operation"
	"github.com/persimmonmux/persimmonmux/coordination/ownership"
	"github.com/persimmonmux/persimmonmux/coordination/revision"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/transport/operator"
)

// newOperatorServer returns the server for operators. It has no listener if neither a
// listener nor an address for operators is set.
func (h *Host) newOperatorServer(self fleet.Host, distributor *revision.Distributor, monitor *membership.Monitor, manager *ownership.Manager) (*operator.Server, error) {
	listener := h.OperatorListener
	if listener == nil && h.Settings.OperatorAddress.IsValid() {
		var err error
		if listener, err = net.Listen("tcp", h.Settings.OperatorAddress.String()); err != nil {
			return nil, trace.Wrap(err, "listen for operators")
		}
	}
	return &operator.Server{
		Listener:  listener,
		TokenHash: h.Settings.OperatorTokenHash,
		Editor:    &operation.Editor{Revisions: distributor},
		Status:    &operation.StatusReporter{Host: self.Name, Revisions: distributor, Members: monitor, Engines: manager},
		Log:       func(err error) { h.Log.Debug().Err(err).Msg("connection of an operator ended") },
	}, nil
}
