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

// toldAddressVariable makes the test binary an entry host that tells the others
// the address in it, behind which a relay stands. The serve command tells the
// address on which it listens.
const toldAddressVariable = "PROCESSES_TOLD_ADDRESS"

// A relayedListener is a listener whose address is that of a relay.
type relayedListener struct {
	net.Listener
	told net.Addr
}

// Addr returns the address of the relay.
func (l relayedListener) Addr() net.Addr {
	return l.told
}

// serveRelayed runs an entry host until SIGTERM. The arguments are the files of
// its settings and of the initial configuration.
func serveRelayed(told string, arguments []string) error {
	if len(arguments) != 2 {
		return errors.New("expected settings and configuration")
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
	address, err := net.ResolveTCPAddr("tcp", told)
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
