package balance

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// TestLeavingServerGetsNothing guards against requests for a server that has said that it
// leaves, whatever the store says of it, and against a new process at its address that gets
// none either.
func TestLeavingServerGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newTestBalancer("east", "east")
		view := b.Views.View()
		first, second := view.Servers["engine-0"], view.Servers["engine-1"]
		c.Check(b.RecordLeaving(first), quicktest.IsTrue)
		c.Check(b.RecordLeaving(first), quicktest.IsFalse)
		for range 20 {
			pick, err := b.Choose(requirements("a"))
			c.Assert(err, quicktest.IsNil)
			c.Check(pick.Server.ID, quicktest.Equals, second.ID)
			b.Done(pick.Server, site.Adapter{}, false)
		}
		c.Check(b.ChooseReplicaTarget(requirements("a")).ID, quicktest.Equals, second.ID)
		// The last server is used until its notice ends.
		b.RecordLeaving(second)
		_, err := b.Choose(requirements("a"))
		c.Check(err, quicktest.IsNil)
		b.RecordResponse(second, nil)
		time.Sleep(leavingUseDuration)
		_, err = b.Choose(requirements("a"))
		c.Check(verdict.FromError(err).Verdict, quicktest.Equals, verdict.NotRun)
		c.Check(b.IsAvailable(first), quicktest.IsFalse)

		other := newTestBalancer("east", "east")
		other.UpdateLeaving(b.LeavingServers())
		c.Check(other.LeavingServers(), quicktest.HasLen, 2)

		reborn := *first
		reborn.StartUnixMilli++
		view.Servers[first.ID] = &reborn
		view.BuildIndex()
		pick, err := b.Choose(requirements("a"))
		c.Assert(err, quicktest.IsNil)
		c.Check(pick.Server.Incarnation, quicktest.Equals, reborn.Incarnation)
		b.UpdateLeaving([]site.Incarnation{first.Incarnation})
		c.Check(b.IsAvailable(&reborn), quicktest.IsTrue)
	})
}

// TestPausedServerGetsNothing guards against requests for a server that wants none for a
// while, and against a burst of them when its pause ends.
func TestPausedServerGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newTestBalancer("east")
		server := b.Views.View().Servers["engine-0"]
		b.RecordPause(server, 4*time.Second)
		b.RecordPause(server, time.Second)
		// The answer to a request that was under way does not end the pause.
		b.RecordResponse(server, nil)
		time.Sleep(3 * time.Second)
		_, err := b.Choose(requirements("a"))
		c.Assert(err, quicktest.IsNotNil)
		c.Check(verdict.FromError(err).RetryAfter, quicktest.Equals, time.Second)
		c.Check(b.IsAvailable(server), quicktest.IsFalse)
		time.Sleep(time.Second)
		_, err = b.Choose(requirements("a"))
		c.Assert(err, quicktest.IsNil)
		_, err = b.Choose(requirements("a"))
		c.Check(err, quicktest.IsNotNil)
		b.RecordResponse(server, nil)
		_, err = b.Choose(requirements("a"))
		c.Check(err, quicktest.IsNil)

		// A request from before the pause that runs on keeps others out for a while only.
		b.RecordPause(server, time.Second)
		time.Sleep(time.Second)
		_, err = b.Choose(requirements("a"))
		c.Check(err, quicktest.IsNotNil)
		time.Sleep(resumeDuration)
		_, err = b.Choose(requirements("a"))
		c.Check(err, quicktest.IsNil)
	})
}
