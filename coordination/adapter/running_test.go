package adapter

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// TestSlotIsFreeWhenItsRunsEnd guards against adapters that keep their slots after
// their last request has ended, and against evictions under a running request.
func TestSlotIsFreeWhenItsRunsEnd(t *testing.T) {
	f := newFakeSite(1, 1)
	with(t, f, func(c *quicktest.C, o *Controller) {
		server := f.View().Servers["engine-0"].Incarnation
		request := site.PlaceRequest{Server: server, Host: "other", Adapter: lora(1), MaxWait: time.Second, MayQueue: true}
		_, err := o.Place(context.Background(), request)
		c.Assert(err, quicktest.IsNil)
		runs := func(count int) {
			o.UpdateInFlight("other", []site.InFlight{{Server: "engine-0", Adapters: map[site.Adapter]int{lora(1): count}}})
		}
		for range 10 {
			runs(1)
			time.Sleep(300 * time.Millisecond)
		}
		request.Adapter = lora(2)
		_, err = o.Place(context.Background(), request)
		c.Assert(err, quicktest.IsNotNil)
		_, held := f.engines["engine-0"].held[lora(1)]
		c.Assert(held, quicktest.IsTrue)
		runs(0)
		began := time.Now()
		_, err = o.Place(context.Background(), request)
		c.Assert(err, quicktest.IsNil)
		c.Assert(time.Since(began) < 2*coldLoad, quicktest.IsTrue, quicktest.Commentf("%s", time.Since(began)))
	})
}

// TestNoSlotRefusesAtOnce guards against requests that wait for an adapter slot on
// one engine while another engine has one.
func TestNoSlotRefusesAtOnce(t *testing.T) {
	f := newFakeSite(1, 1)
	with(t, f, func(c *quicktest.C, o *Controller) {
		server := f.View().Servers["engine-0"].Incarnation
		request := site.PlaceRequest{Server: server, Host: "other", Adapter: lora(1), MaxWait: time.Second}
		_, err := o.Place(context.Background(), request)
		c.Assert(err, quicktest.IsNil)
		request.Adapter = lora(2)
		began := time.Now()
		_, err = o.Place(context.Background(), request)
		c.Assert(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeOverloaded)
		c.Assert(time.Since(began) < tick, quicktest.IsTrue, quicktest.Commentf("%s", time.Since(began)))
		// The first adapter is idle after its only request.
		time.Sleep(2 * unreportedLimit)
		o.UpdateInFlight("other", []site.InFlight{{Server: "engine-0"}})
		_, err = o.Place(context.Background(), request)
		c.Assert(err, quicktest.IsNil)
	})
}

// TestLoadedAdapterIsServedWhileAReportIsDue guards against an engine whose loaded
// adapters get no turns because an unload has to be confirmed first.
func TestLoadedAdapterIsServedWhileAReportIsDue(t *testing.T) {
	f := newFakeSite(1, 4)
	with(t, f, func(c *quicktest.C, o *Controller) {
		c.Assert(place(o, f, "engine-0", lora(1), time.Second), quicktest.IsNil)
		f.mutex.Lock()
		f.silent = true
		f.mutex.Unlock()
		// The engine denies an adapter, so that its state has to be read again.
		time.Sleep(2 * reportLag)
		server := f.View().Servers["engine-0"].Incarnation
		request := site.PlaceRequest{Server: server, Host: "other", Adapter: lora(1), MaxWait: time.Second, MayQueue: true}
		missing := request
		missing.AdapterMissing = true
		_, err := o.Place(context.Background(), missing)
		c.Assert(err, quicktest.IsNil)
		time.Sleep(tick)
		_, err = o.Place(context.Background(), request)
		c.Assert(err, quicktest.IsNil)
	})
}

// TestTurnWhoseReplyIsLostEnds guards against turns that their hosts never learned
// of and that count as running for good, until the engine seems full.
func TestTurnWhoseReplyIsLostEnds(t *testing.T) {
	f := newFakeSite(1, 4)
	with(t, f, func(c *quicktest.C, o *Controller) {
		server := f.View().Servers["engine-0"]
		request := site.PlaceRequest{Server: server.Incarnation, Host: "other", Adapter: lora(1), PromptTokens: 1, MaxWait: time.Second}
		for range int(fullLoad * float64(server.MaxConcurrency)) {
			_, err := o.Place(context.Background(), request)
			c.Assert(err, quicktest.IsNil)
		}
		for range 6 {
			time.Sleep(300 * time.Millisecond)
			o.UpdateInFlight("other", nil)
		}
		_, err := o.Place(context.Background(), request)
		c.Assert(err, quicktest.IsNil)
	})
}

// TestDeadEngineGetsNoDemands guards against requests that wait at an engine that
// does not answer its owner, while another engine could load their adapter.
func TestDeadEngineGetsNoDemands(t *testing.T) {
	f := newFakeSite(1, 4)
	with(t, f, func(c *quicktest.C, o *Controller) {
		c.Assert(place(o, f, "engine-0", lora(1), time.Second), quicktest.IsNil)
		dead := func(is bool) {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			f.silent = is
			f.engines["engine-0"].mute = 0
			if is {
				f.engines["engine-0"].mute = 1000
			}
		}
		dead(true)
		began := time.Now()
		err := place(o, f, "engine-0", lora(2), 2*time.Second)
		c.Assert(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeBackendRefused)
		c.Assert(time.Since(began) < time.Second/2, quicktest.IsTrue, quicktest.Commentf("%s", time.Since(began)))
		began = time.Now()
		err = place(o, f, "engine-0", lora(1), 2*time.Second)
		c.Assert(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeBackendRefused)
		c.Assert(time.Since(began) < tick, quicktest.IsTrue)
		dead(false)
		time.Sleep(4 * refusedPause)
		c.Assert(place(o, f, "engine-0", lora(2), time.Second), quicktest.IsNil)
	})
}

// TestRequestInTimeGoesBeforeLateOnes guards against a queue in which every request
// is late because it waits behind others that are late already.
func TestRequestInTimeGoesBeforeLateOnes(t *testing.T) {
	f := newFakeSite(1, 1)
	with(t, f, func(c *quicktest.C, o *Controller) {
		server := f.View().Servers["engine-0"].Incarnation
		ends := make(chan string, 4)
		ask := func(name string, adapter int, priority int, due time.Duration) {
			request := site.PlaceRequest{Server: server, Host: "other", Adapter: lora(adapter), Priority: priority, SlackTime: due, MaxWait: 20 * time.Second, MayQueue: true}
			go func() {
				_, err := o.Place(context.Background(), request)
				c.Check(err, quicktest.IsNil)
				ends <- name
			}()
			time.Sleep(time.Millisecond)
		}
		ask("first", 1, 1, time.Second)
		c.Assert(<-ends, quicktest.Equals, "first")
		ask("late", 2, 1, -time.Second)
		ask("in time", 3, 1, 10*time.Second)
		ask("urgent and late", 4, 0, -time.Second)
		for _, want := range []string{"urgent and late", "in time", "late"} {
			c.Check(<-ends, quicktest.Equals, want)
		}
	})
}
