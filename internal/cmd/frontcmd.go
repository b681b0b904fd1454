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

const (
	// timeFormat is that of times in log lines.
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
	// settingsCheck is how often the settings file is looked at, because it may
	// change without a signal.
	settingsCheck = 5 * time.Second
)

// Execute serves until a signal.
func (f *frontCommand) Execute([]string) error {
	decoded, err := f.read()
	if err != nil {
		return err
	}
	// Lines of several hosts are put in order by their times.
	zerolog.TimeFieldFormat = timeFormat
	lines := &asynclog.Writer{Target: f.stdout, Host: decoded.HostName}
	go func() { _ = lines.Run(context.Background()) }()
	defer func() { _ = lines.Close() }()
	host := &fronthost.Host{
		Settings: decoded,
		Start:    time.Now().UnixNano(),
		Log:      zerolog.New(lines).With().Timestamp().Str("host", decoded.HostName).Logger(),
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// After the first signal the default action of a second one ends the process.
	context.AfterFunc(ctx, stop)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	go f.follow(ctx, host, reload)
	return host.Run(ctx)
}

// read decodes the settings file.
func (f *frontCommand) read() (settings.Front, error) {
	data, err := os.ReadFile(f.Settings)
	if err != nil {
		return settings.Front{}, trace.Wrap(err)
	}
	return settings.DecodeFront(f.Settings, data)
}

// follow reads the settings again after each SIGHUP and when the file has changed.
// A file with a problem leaves the former settings in force.
func (f *frontCommand) follow(ctx context.Context, host *fronthost.Host, reload <-chan os.Signal) {
	ticker := time.NewTicker(settingsCheck)
	defer ticker.Stop()
	changed := f.changed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			changed = f.changed()
		case <-ticker.C:
			now := f.changed()
			if now.Equal(changed) {
				continue
			}
			changed = now
		}
		read, err := f.read()
		if err != nil {
			host.Log.Error().Err(err).Msg("settings were not reloaded; the former ones stay in force")
			continue
		}
		host.Reload(read)
	}
}

// changed returns when the settings file was written last; a file that is missing
// gives the zero time.
func (f *frontCommand) changed() time.Time {
	info, err := os.Stat(f.Settings)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
