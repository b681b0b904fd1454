//go:build processes && linux

package processes_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/internal/entryhost"
	"github.com/persimmonmux/persimmonmux/internal/settings"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// advertisedAddressVariable is the environment variable that makes the test binary
// run as an entry host. The host advertises the variable's value to its peers as
// its peer address: the address of a relay. The serve command cannot do this,
// because it advertises the address on which it listens.
const advertisedAddressVariable = "PROCESSES_ADVERTISED_ADDRESS"

// A relayedListener is a listener behind a relay. It reports the address of the
// relay as its own.
type relayedListener struct {
	net.Listener
	advertisedAddress net.Addr
}

// Addr returns the address of the relay.
func (l relayedListener) Addr() net.Addr {
	return l.advertisedAddress
}

// serveRelayed runs an entry host until SIGTERM. The arguments are the paths of
// its settings file and of the initial configuration.
func serveRelayed(advertised string, arguments []string) error {
	if len(arguments) != 2 {
		return errors.New("arguments: expected a settings file and an initial configuration")
	}
	var host entryhost.Host
	content, err := os.ReadFile(arguments[0])
	if err != nil {
		return err
	}
	if host.Settings, err = settings.Decode(arguments[0], content); err != nil {
		return err
	}
	if content, err = os.ReadFile(arguments[1]); err != nil {
		return err
	}
	initial, err := settings.DecodeConfiguration(arguments[1], content)
	if err != nil {
		return err
	}
	address, err := net.ResolveTCPAddr("tcp", advertised)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", host.Settings.PeerAddress.String())
	if err != nil {
		return err
	}
	host.PeerListener = relayedListener{listener, address}
	host.Initial = &initial
	host.Start = fleet.StartNumber(time.Now().UnixNano())
	host.Log = zerolog.New(os.Stderr).With().Timestamp().Str("host", string(host.Settings.HostName)).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if err := host.Run(ctx); err != nil {
		return fmt.Errorf("entry host: %w", err)
	}
	return nil
}
