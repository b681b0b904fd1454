package adapter

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// TestSlotIsFreedWhenRequestsEnd guards against an adapter that keeps its slot
// after its last request has ended, and against the unload of an adapter while a
// request still uses it.
func TestSlotIsFreedWhenRequestsEnd(t *testing.T) {
	f := newFakeSite(1, 1)
	runWithController(t, f, func(c *quicktest.C, o *Controller) {
		server := f.View().Servers["engine-0"].Incarnation
		request := site.PlaceRequest{Server: server, Host: "other", Adapter: lora(1), MaxWait: time.Second, MayQueue: true}
		_, err := o.Place(context.Background(), request)
		c.Assert(err, quicktest.IsNil)
		reportRunning := func(count int) {
			o.UpdateInFlight("other", []site.InFlight{{Server: "engine-0", Adapters: map[site.Adapter]int{lora(1): count}}})
		}
		for range 10 {
			reportRunning(1)
			time.Sleep(300 * time.Millisecond)
		}
		request.Adapter = lora(2)
		_, err = o.Place(context.Background(), request)
		c.Assert(err, quicktest.IsNotNil)
		_, held := f.engines["engine-0"].loaded[lora(1)]
		c.Assert(held, quicktest.IsTrue)
		reportRunning(0)
		began := time.Now()
		_, err = o.Place(context.Background(), request)
		c.Assert(err, quicktest.IsNil)
		c.Assert(time.Since(began) < 2*coldLoadDuration, quicktest.IsTrue, quicktest.Commentf("%s", time.Since(began)))
	})
}

// TestSlotIsFreedAtOnceWhenEndsAreKnown guards against an adapter that keeps its slot after its
// last request has ended until the next report of a host, and against one that loses it while
// another request runs.
func TestSlotIsFreedAtOnceWhenEndsAreKnown(t *testing.T) {
	f := newFakeSite(1, 1)
	runWithController(t, f, func(c *quicktest.C, o *Controller) {
		server := f.View().Servers["engine-0"].Incarnation
		request := site.PlaceRequest{Server: server, Host: "other", Adapter: lora(1), MaxWait: time.Second}
		for range 2 {
			_, err := o.Place(context.Background(), request)
			c.Assert(err, quicktest.IsNil)
		}
		// The report already includes the first end.
		o.UpdateInFlight("other", []site.InFlight{{Server: "engine-0", Adapters: map[site.Adapter]int{lora(1): 1}}})
		ended := []site.EndedRuns{{Server: "engine-0", Adapter: lora(1), Count: 1}}
		o.UpdateEndedRuns(ended)
		other := request
		other.Adapter = lora(2)
		_, err := o.Place(context.Background(), other)
		c.Check(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeOverloaded)
		o.UpdateEndedRuns(ended)
		_, err = o.Place(context.Background(), other)
		c.Check(err, quicktest.IsNil)
		// A late second copy of the end frees nothing.
		o.UpdateEndedRuns([]site.EndedRuns{{Server: "engine-0", Adapter: lora(1), Count: 5}})
		_, err = o.Place(context.Background(), request)
		c.Check(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeOverloaded)
	})
}

// TestLackOfSlotsRefusesImmediately guards against a request that waits for an
// adapter slot on one engine although it could be tried on another engine with a
// free slot.
func TestLackOfSlotsRefusesImmediately(t *testing.T) {
	f := newFakeSite(1, 1)
	runWithController(t, f, func(c *quicktest.C, o *Controller) {
		server := f.View().Servers["engine-0"].Incarnation
		request := site.PlaceRequest{Server: server, Host: "other", Adapter: lora(1), MaxWait: time.Second}
		_, err := o.Place(context.Background(), request)
		c.Assert(err, quicktest.IsNil)
		request.Adapter = lora(2)
		began := time.Now()
		_, err = o.Place(context.Background(), request)
		c.Assert(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeOverloaded)
		c.Assert(time.Since(began) < loopInterval, quicktest.IsTrue, quicktest.Commentf("%s", time.Since(began)))
		// The first adapter is idle once its only request has ended.
		time.Sleep(2 * unreportedTimeout)
		o.UpdateInFlight("other", []site.InFlight{{Server: "engine-0"}})
		_, err = o.Place(context.Background(), request)
		c.Assert(err, quicktest.IsNil)
	})
}

// TestLoadedAdapterIsServedWhileReportsFail guards against an engine that admits
// no requests for its loaded adapters because its state has to be read from a
// report first and the report fails.
func TestLoadedAdapterIsServedWhileReportsFail(t *testing.T) {
	f := newFakeSite(1, 4)
	runWithController(t, f, func(c *quicktest.C, o *Controller) {
		c.Assert(place(o, f, "engine-0", lora(1), time.Second), quicktest.IsNil)
		f.mutex.Lock()
		f.reportsFail = true
		f.mutex.Unlock()
		// The report has to be older than typicalReportAge, so that an engine
		// that denies the adapter causes a new one to be read.
		time.Sleep(2 * typicalReportAge)
		server := f.View().Servers["engine-0"].Incarnation
		request := site.PlaceRequest{Server: server, Host: "other", Adapter: lora(1), MaxWait: time.Second, MayQueue: true}
		missing := request
		missing.AdapterMissing = true
		_, err := o.Place(context.Background(), missing)
		c.Assert(err, quicktest.IsNil)
		time.Sleep(loopInterval)
		_, err = o.Place(context.Background(), request)
		c.Assert(err, quicktest.IsNil)
	})
}

// TestAdmissionWithLostReplyExpires guards against admissions that count as
// running forever, until the engine seems full, because the reply never reached
// the requesting host.
func TestAdmissionWithLostReplyExpires(t *testing.T) {
	f := newFakeSite(1, 4)
	runWithController(t, f, func(c *quicktest.C, o *Controller) {
		server := f.View().Servers["engine-0"]
		request := site.PlaceRequest{Server: server.Incarnation, Host: "other", Adapter: lora(1), PromptTokens: 1, MaxWait: time.Second}
		for range int(maxRequestsPerSlot * float64(server.MaxConcurrency)) {
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

// TestUnreachableEngineRefusesRequests guards against requests that wait at an
// engine that does not answer its owner, although another engine could load their
// adapter.
func TestUnreachableEngineRefusesRequests(t *testing.T) {
	f := newFakeSite(1, 4)
	runWithController(t, f, func(c *quicktest.C, o *Controller) {
		c.Assert(place(o, f, "engine-0", lora(1), time.Second), quicktest.IsNil)
		setUnreachable := func(unreachable bool) {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			f.reportsFail = unreachable
			f.engines["engine-0"].ordersToIgnore = 0
			if unreachable {
				f.engines["engine-0"].ordersToIgnore = 1000
			}
		}
		setUnreachable(true)
		began := time.Now()
		err := place(o, f, "engine-0", lora(2), 2*time.Second)
		c.Assert(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeBackendRefused)
		c.Assert(time.Since(began) < time.Second/2, quicktest.IsTrue, quicktest.Commentf("%s", time.Since(began)))
		began = time.Now()
		err = place(o, f, "engine-0", lora(1), 2*time.Second)
		c.Assert(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeBackendRefused)
		c.Assert(time.Since(began) < loopInterval, quicktest.IsTrue)
		setUnreachable(false)
		time.Sleep(4 * orderRetryDelay)
		c.Assert(place(o, f, "engine-0", lora(2), time.Second), quicktest.IsNil)
	})
}

// TestRequestInTimeGoesBeforeLateOnes guards against a queue in which every
// request misses its latency target because it waits behind requests that have
// already missed theirs.
func TestRequestInTimeGoesBeforeLateOnes(t *testing.T) {
	f := newFakeSite(1, 1)
	runWithController(t, f, func(c *quicktest.C, o *Controller) {
		server := f.View().Servers["engine-0"].Incarnation
		admitted := make(chan string, 4)
		request := func(name string, adapter int, priority int, slack time.Duration) {
			request := site.PlaceRequest{Server: server, Host: "other", Adapter: lora(adapter), Priority: priority, SlackTime: slack, MaxWait: 20 * time.Second, MayQueue: true}
			go func() {
				_, err := o.Place(context.Background(), request)
				c.Check(err, quicktest.IsNil)
				admitted <- name
			}()
			time.Sleep(time.Millisecond)
		}
		request("first", 1, 1, time.Second)
		c.Assert(<-admitted, quicktest.Equals, "first")
		request("late", 2, 1, -time.Second)
		request("in time", 3, 1, 10*time.Second)
		request("urgent and late", 4, 0, -time.Second)
		for _, want := range []string{"urgent and late", "in time", "late"} {
			c.Check(<-admitted, quicktest.Equals, want)
		}
	})
}
