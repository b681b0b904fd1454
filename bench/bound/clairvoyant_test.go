package bound

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/bench/workload"
)

// TestCapacityFollowsPopularity guards against a simulation that ignores the load
// rate. Capacity must rise with the skew of the popularity, since fewer requests
// need a load, and with the load rate.
func TestCapacityFollowsPopularity(t *testing.T) {
	c := quicktest.New(t)
	capacity := func(exponent, loadRate float64) float64 {
		w := workload.Workload{
			Classes: workload.Kurswerk(), Adapters: 3000, Exponent: exponent,
			Duration: 2 * time.Minute, Seed: 1,
		}
		return Clairvoyant{Slots: 72, LoadRate: loadRate, LoadTime: 250 * time.Millisecond}.Capacity(w, 0.95)
	}
	flat, usual, skewed, double := capacity(0.8, 3), capacity(1.0, 3), capacity(1.2, 3), capacity(1.0, 6)
	t.Logf("capacity in requests/s: exponent 0.8 %.1f, 1.0 %.1f, 1.2 %.1f, twice the loads %.1f", flat, usual, skewed, double)
	c.Assert(flat < usual && usual < skewed, quicktest.IsTrue)
	c.Assert(double > 1.2*usual, quicktest.IsTrue)
}
