//go:build processes && linux

package processes_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/standin/relay"
)

// newRelay starts a relay to the target address. It is closed when the test ends.
func newRelay(t *testing.T, target string) *relay.Relay {
	t.Helper()
	r, err := relay.Listen(freeAddress(t), target)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = r.Close() })
	return r
}
