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

// A lockedLog is a log that is read while others write it.
type lockedLog struct {
	mutex sync.Mutex
	lines bytes.Buffer
}

func (l *lockedLog) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lines.Write(line)
}

func (l *lockedLog) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lines.String()
}

// Guards against settings that change without a signal and are never looked at,
// and against a file that did not change and is read again and again.
func TestSettingsAreFollowedWithoutASignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		file := filepath.Join(t.TempDir(), "front.jsonc")
		qt.Assert(t, os.WriteFile(file, []byte("{}"), 0o600), qt.IsNil)
		var log lockedLog
		host := &fronthost.Host{Log: zerolog.New(&log)}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			(&frontCommand{Settings: file}).follow(ctx, host, nil)
		}()
		time.Sleep(3 * settingsCheck)
		synctest.Wait()
		qt.Check(t, log.String(), qt.Equals, "")
		qt.Assert(t, os.Chtimes(file, time.Time{}, time.Now().Add(time.Hour)), qt.IsNil)
		time.Sleep(3 * settingsCheck)
		cancel()
		<-ended
		qt.Check(t, strings.Count(log.String(), "settings were not reloaded"), qt.Equals, 1)
	})
}
