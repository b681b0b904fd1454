package cmd

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/internal/fronthost"
)

// A synchronizedLog is a log that can be read while other goroutines write to it.
type synchronizedLog struct {
	mutex sync.Mutex
	lines bytes.Buffer
}

func (l *synchronizedLog) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lines.Write(line)
}

func (l *synchronizedLog) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lines.String()
}

// Guards against a changed settings file that is not reloaded because no signal
// came, and against an unchanged file that is reloaded at every check. The file is
// invalid, so that each reload shows as an error in the log.
func TestChangedSettingsAreReloadedWithoutSignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		file := filepath.Join(t.TempDir(), "front.jsonc")
		qt.Assert(t, os.WriteFile(file, []byte("{}"), 0o600), qt.IsNil)
		var log synchronizedLog
		host := &fronthost.Host{Log: zerolog.New(&log)}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			(&frontCommand{Settings: file}).watchSettings(ctx, host, nil)
		}()
		time.Sleep(3 * settingsPollInterval)
		synctest.Wait()
		qt.Check(t, log.String(), qt.Equals, "")
		qt.Assert(t, os.Chtimes(file, time.Time{}, time.Now().Add(time.Hour)), qt.IsNil)
		time.Sleep(3 * settingsPollInterval)
		cancel()
		<-ended
		qt.Check(t, strings.Count(log.String(), "settings were not reloaded"), qt.Equals, 1)
	})
}
