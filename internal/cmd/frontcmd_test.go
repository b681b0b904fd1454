package cmd

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/internal/fronthost"
)

// Guards against settings that change without a signal and are never looked at,
// and against a file that did not change and is read again and again.
func TestSettingsAreFollowedWithoutASignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		file := filepath.Join(t.TempDir(), "front.jsonc")
		qt.Assert(t, os.WriteFile(file, []byte("{}"), 0o600), qt.IsNil)
		var log bytes.Buffer
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
		qt.Check(t, bytes.Count(log.Bytes(), []byte("settings were not reloaded")), qt.Equals, 1)
	})
}
