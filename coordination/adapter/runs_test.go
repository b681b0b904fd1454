package adapter

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// TestSlotIsFreeWhenItsRunsEnd guards against adapters that keep their slots after
// their last request has ended, and against evictions under a running request.
func TestSlotIsFreeWhenItsRunsEnd(t *testing.T) {
	f := newFakeSite(1, 1)
	with(t, f, func(c *quicktest.C, o *Owner) {
		server := f.View().Servers["engine-0"].Incarnation
		request := site.PlaceRequest{Server: server, Host: "other", Adapter: lora(1), Patience: time.Second, Queue: true}
		_, err := o.Place(context.Background(), request)
		c.Assert(err, quicktest.IsNil)
		runs := func(count int) {
			o.InFlight("other", []site.InFlight{{Server: "engine-0", Adapters: map[site.Adapter]int{lora(1): count}}})
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
