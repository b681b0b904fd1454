package cmd

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/internal/fronthost"
	"github.com/persimmonmux/persimmonmux/internal/settings"
)

// A frontCommand runs a host on the platform.
type frontCommand struct {
	stdout io.Writer

	Settings string `long:"settings" required:"true" value-name:"FILE" description:"settings of the front host, JSON with comments"`
}

func (*frontCommand) name() string  { return "front" }
func (*frontCommand) short() string { return "Run a host on the users' platform" }
func (*frontCommand) long() string {
	return "Passes requests on to the servers that the platform's store names, until SIGTERM or SIGINT. The first signal stops it gracefully; a second one ends the process at once.\n\nExample: persimmonmux front --settings /etc/persimmonmux/boot.yaml"
}

// Execute serves until a signal.
func (f *frontCommand) Execute([]string) error {
	data, err := os.ReadFile(f.Settings)
	if err != nil {
		return trace.Wrap(err)
	}
	decoded, err := settings.DecodeFront(f.Settings, data)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(decoded.LogLevel)
	if err != nil {
		return trace.Wrap(err)
	}
	host := &fronthost.Host{
		Settings: decoded,
		Start:    time.Now().UnixNano(),
		Log:      zerolog.New(f.stdout).Level(level).With().Timestamp().Str("host", decoded.HostName).Logger(),
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// After the first signal the default action of a second one ends the process.
	context.AfterFunc(ctx, stop)
	return host.Run(ctx)
}
