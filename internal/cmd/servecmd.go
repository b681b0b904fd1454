package cmd

import (
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/internal/entryhost"
	"github.com/persimmonmux/persimmonmux/internal/settings"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A serveCommand runs an entry host as this process.
type serveCommand struct {
	stderr io.Writer

	Settings string `long:"settings" required:"true" value-name:"FILE" description:"settings of the entry host, JSON with comments"`
	Initial  string `long:"initial-configuration" value-name:"FILE" description:"configuration to accept if the deployment has none yet"`
}

func (*serveCommand) name() string  { return "serve" }
func (*serveCommand) short() string { return "Run an entry host" }
func (*serveCommand) long() string {
	return "Runs an entry host until SIGTERM or SIGINT. The first signal stops it gracefully: it takes no new requests after the grace time, hands its engines over and finishes its requests. A second signal ends the process at once.\n\nExample: persimmonmux serve --settings examples/kurswerk/entry-host.jsonc"
}

// Execute runs the entry host until SIGTERM or SIGINT.
func (s *serveCommand) Execute([]string) error {
	host, err := s.newHost()
	if err != nil {
		return err
	}
	ctx, stop := untilStopSignal()
	defer stop()
	return host.Run(ctx)
}

// newHost reads and checks all files and returns the host, which is not started yet,
// so that nothing runs if one of the files has a problem.
func (s *serveCommand) newHost() (*entryhost.Host, error) {
	data, err := os.ReadFile(s.Settings)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	decoded, err := settings.Decode(s.Settings, data)
	if err != nil {
		return nil, err
	}
	initial, err := s.readInitialConfiguration()
	if err != nil {
		return nil, err
	}
	level, err := zerolog.ParseLevel(decoded.LogLevel)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	start := time.Now()
	return &entryhost.Host{
		Settings: decoded,
		Start:    fleet.StartNumber(start.UnixNano()),
		Initial:  initial,
		Log: zerolog.New(s.stderr).Level(level).With().Timestamp().
			Str("host", string(decoded.HostName)).
			Str("failure-domain", string(decoded.FailureDomain)).
			Logger(),
	}, nil
}

// readInitialConfiguration returns the configuration in the file that
// --initial-configuration names, or nil without that option.
func (s *serveCommand) readInitialConfiguration() (*configuration.Configuration, error) {
	if s.Initial == "" {
		return nil, nil
	}
	data, err := os.ReadFile(s.Initial)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	initial, err := settings.DecodeConfiguration(s.Initial, data)
	if err != nil {
		return nil, err
	}
	return &initial, nil
}
