//go:build processes && linux

package processes_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// begin starts a deployment and load, and waits until the load is answered.
func begin(t *testing.T) (*deployment, *caller) {
	t.Helper()
	d := newDeployment(t)
	c := startCaller(t, d.hosts)
	c.awaitProgress()
	return d, c
}

// Guards against requests that a planned stop cuts off, and against engines that
// are left without an owner by it.
func TestPlannedStopCutsOffNoRequest(t *testing.T) {
	d, c := begin(t)
	for _, e := range d.engines[:2] {
		former, epoch := d.owner(e), d.lease(e).Epoch
		former.stop(t)
		d.awaitOwner(e, former, epoch)
		c.awaitProgress()
	}
	c.finish(d)
	qt.Check(t, c.uncertain(), qt.HasLen, 0)
}

// Guards against an engine that stays without an owner after the owner's death,
// against streams that end with the owner of their engine, and against requests
// that run again because their host died.
func TestKilledOwnerIsReplaced(t *testing.T) {
	d, c := begin(t)
	var killed []*entryHost
	for _, e := range d.engines[:2] {
		former, epoch := d.owner(e), d.lease(e).Epoch
		killed = append(killed, former)
		former.kill()
		d.awaitOwner(e, former, epoch)
		c.awaitProgress()
	}
	c.finish(d)
	qt.Check(t, c.uncertain(killed...), qt.HasLen, 0)
}
