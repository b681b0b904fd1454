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

	"github.com/persimmonmux/persimmonmux/internal/asynclog"
	"github.com/persimmonmux/persimmonmux/internal/fronthost"
	"github.com/persimmonmux/persimmonmux/internal/settings"
)

// A frontCommand runs a front host.
type frontCommand struct {
	stdout io.Writer

	Settings string `long:"settings" required:"true" value-name:"FILE" description:"settings of the front host, JSON with comments"`
}

func (*frontCommand) name() string  { return "front" }
func (*frontCommand) short() string { return "Run a host on the users' platform" }
func (*frontCommand) long() string {
	return "Passes requests on to the servers that the platform's store names, until SIGTERM or SIGINT. The first signal stops it gracefully; a second one ends the process at once.\n\nExample: persimmonmux front --settings /etc/persimmonmux/boot.yaml"
}

const (
	// logTimeFormat has milliseconds, so that the lines of several hosts can be
	// ordered by time.
	logTimeFormat = "2006-01-02T15:04:05.000Z07:00"
	// settingsPollInterval is the time between two checks of the settings file's
	// modification time, because the file may change without a signal.
	settingsPollInterval = 5 * time.Second
)

// Execute runs the front host until SIGTERM or SIGINT.
func (f *frontCommand) Execute([]string) error {
	decoded, err := f.readSettings()
	if err != nil {
		return err
	}
	zerolog.TimeFieldFormat = logTimeFormat
	lines := &asynclog.Writer{Target: f.stdout, Host: decoded.HostName}
	go func() { _ = lines.Run(context.Background()) }()
	defer func() { _ = lines.Close() }()
	host := &fronthost.Host{
		Settings: decoded,
		Start:    time.Now().UnixNano(),
		Log:      zerolog.New(lines).With().Timestamp().Str("host", decoded.HostName).Logger(),
	}
	ctx, stop := untilStopSignal()
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	go f.watchSettings(ctx, host, reload)
	return host.Run(ctx)
}

// readSettings reads, decodes and checks the settings file.
func (f *frontCommand) readSettings() (settings.Front, error) {
	data, err := os.ReadFile(f.Settings)
	if err != nil {
		return settings.Front{}, trace.Wrap(err)
	}
	return settings.DecodeFront(f.Settings, data)
}

// watchSettings reloads the settings after each SIGHUP and when the modification
// time of the file has changed, until ctx is done. If the file has a problem, the
// host keeps its present settings.
func (f *frontCommand) watchSettings(ctx context.Context, host *fronthost.Host, reload <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := f.modificationTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			lastModified = f.modificationTime()
		case <-ticker.C:
			modified := f.modificationTime()
			if modified.Equal(lastModified) {
				continue
			}
			lastModified = modified
		}
		read, err := f.readSettings()
		if err != nil {
			host.Log.Error().Err(err).Msg("settings were not reloaded; the former ones stay in force")
			continue
		}
		host.Reload(read)
	}
}

// modificationTime returns the modification time of the settings file, or the zero
// time if the file cannot be read.
func (f *frontCommand) modificationTime() time.Time {
	info, err := os.Stat(f.Settings)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
