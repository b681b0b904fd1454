package quarantine

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// TestAllHostsLearnInTime guards against a part that crashes engines being refused by the
// hosts only that saw the ends, also while a third of the hosts is silent.
func TestAllHostsLearnInTime(t *testing.T) {
	for _, test := range []struct {
		name          string
		count, silent int
	}{{"9 hosts", 9, 0}, {"9 hosts, 3 of them silent", 9, 3}, {"300 hosts", 300, 0}, {"300 hosts, 100 of them silent", 300, 100}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				s := startSite(c, test.count, test.silent)
				defer s.close()
				time.Sleep(time.Minute)
				for n := range 5 {
					s.end(n, n, "system", "bad")
					time.Sleep(150 * time.Millisecond)
				}
				time.Sleep(touchTime)
				c.Check(s.countBlocking("system", "bad") >= test.count-test.silent, quicktest.IsTrue, quicktest.Commentf("%d hosts", s.countBlocking("system", "bad")))
				c.Check(s.countBlocking("system"), quicktest.Equals, 0)
			})
		})
	}
}

// TestRestartedHostLearnsInTime guards against a host that sends requests which all others
// refuse, because it forgot them with its process, and against a site that forgets them
// because its hosts restart one after the other.
func TestRestartedHostLearnsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		s := startSite(c, 9, 0)
		defer s.close()
		for n := range 3 {
			s.end(0, n, "bad")
			time.Sleep(150 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		for n := range 9 {
			s.start(c, hostName(n))
			time.Sleep(touchTime)
			c.Check(s.countBlocking("bad"), quicktest.Equals, 9, quicktest.Commentf("after the restart of host %d", n))
		}
	})
}

// TestNewHostAsksBeforeItsFirstRequest guards against engines that end after the restart of
// hosts, although the other hosts refuse the requests that crash them.
func TestNewHostAsksBeforeItsFirstRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		s := startSite(c, 9, 3)
		defer s.close()
		for n := range 3 {
			s.end(0, n, "bad")
			time.Sleep(150 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		s.start(c, hostName(1))
		began := time.Now()
		s.host(hostName(1)).AwaitEvidence(context.Background())
		c.Check(s.host(hostName(1)).BlockedFor(testService, []string{"bad"}) > 0, quicktest.IsTrue)
		c.Check(time.Since(began) <= startTimeout, quicktest.IsTrue)
		began = time.Now()
		s.host(hostName(1)).AwaitEvidence(context.Background())
		c.Check(time.Since(began), quicktest.Equals, time.Duration(0))
	})
}

// TestInterruptionAtLiveEngineTeachesNothing guards against blocks because of engines that
// close connections and go on.
func TestInterruptionAtLiveEngineTeachesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		s := startSite(c, 2, 0)
		defer s.close()
		s.listening = true
		for n := range 10 {
			s.end(0, n, "system")
			time.Sleep(time.Second)
		}
		c.Check(s.countBlocking("system"), quicktest.Equals, 0)
	})
}

// TestEvidenceIsInForceAtOnce guards against a host that repeats a request at another
// engine before it has taken the last end into account.
func TestEvidenceIsInForceAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		s := startSite(c, 1, 0)
		defer s.close()
		for n := range minEnds {
			c.Check(s.countBlocking("bad"), quicktest.Equals, 0)
			time.Sleep(sameMomentWindow)
			s.end(0, n, "bad")
		}
		c.Check(s.countBlocking("bad"), quicktest.Equals, 1)
		c.Check(s.host(hostName(0)).BlockCount(), quicktest.Equals, 1)
	})
}

// TestBlockEndsSendsUnderWay guards against requests that wait at an engine when their
// traits become blocked, and end that engine as well.
func TestBlockEndsSendsUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		s := startSite(c, 2, 0)
		defer s.close()
		var blocked, sound, begun atomic.Int32
		watched := s.host(hostName(1))
		defer watched.Watch(testService, []string{"bad", "own"}, func() { blocked.Add(1) })()
		defer watched.Watch(testService, []string{"own"}, func() { sound.Add(1) })()
		watched.Watch(testService, []string{"bad"}, func() { begun.Add(1) })()
		for n := range minEnds {
			s.end(0, n, "bad")
			time.Sleep(150 * time.Millisecond)
		}
		time.Sleep(touchTime)
		c.Check(blocked.Load(), quicktest.Equals, int32(1))
		c.Check(sound.Load(), quicktest.Equals, int32(0))
		c.Check(begun.Load(), quicktest.Equals, int32(0))
		watched.Watch(testService, []string{"bad"}, func() { blocked.Add(1) })()
		c.Check(blocked.Load(), quicktest.Equals, int32(2))
	})
}

// TestQuietSiteSendsNothing guards against messages between hosts that know of no end.
func TestQuietSiteSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		counted := &countingPeers{}
		view := &site.View{Hosts: map[string]*site.Host{"a": {Name: "a"}, "b": {Name: "b"}}}
		q := &Quarantine{Self: "a", Views: &fakeSite{view: view}, Prober: &fakeSite{}, Peers: counted, Log: zerolog.Nop()}
		go q.Run(context.Background())
		time.Sleep(2 * activeDuration)
		c.Check(counted.calls.Load() > 0, quicktest.IsTrue)
		before := counted.calls.Load()
		time.Sleep(time.Hour)
		c.Check(counted.calls.Load(), quicktest.Equals, before)
		c.Assert(q.Close(), quicktest.IsNil)
	})
}
