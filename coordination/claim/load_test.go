package claim

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// TestTableWritesPerClaim guards against a group commit that no longer reduces the number
// of table writes under load. It offers claims at an even rate for 10 s of virtual time,
// with a table delay of 2 ms and outcomes recorded after 100 ms, and logs the figures.
func TestTableWritesPerClaim(t *testing.T) {
	for _, test := range []struct {
		hosts, rate int
		most        float64
	}{
		{hosts: 1, rate: 1, most: 2},
		{hosts: 1, rate: 10, most: 2},
		{hosts: 1, rate: 100, most: 2},
		{hosts: 1, rate: 1000, most: 0.5},
		{hosts: 9, rate: 1000, most: 0.5},
	} {
		t.Run(fmt.Sprintf("%d claims per second on %d hosts", test.rate, test.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				fakeTable := platform.NewTable(1)
				fakeTable.SetFaults(platform.TableFaults{Delay: 2 * time.Millisecond})
				h := newHostSet()
				defer h.close()
				var registries []*Registry
				for i := range test.hosts {
					registries = append(registries, h.start(fleet.HostName(fmt.Sprint(i)), 1, fakeTable, Settings{}))
				}
				const duration = 10 * time.Second
				offered := test.rate * int(duration/time.Second)
				var granted atomic.Int64
				var waited atomic.Int64
				var wait sync.WaitGroup
				began := time.Now()
				for i := range offered {
					time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(test.rate))))
					r := newRequest(requestIDAt(began, uint64(i)), 10*time.Second)
					wait.Go(func() {
						sent := time.Now()
						handle, _, err := registries[i%test.hosts].Claim(context.Background(), r)
						if err != nil {
							return
						}
						waited.Add(int64(time.Since(sent)))
						granted.Add(1)
						time.Sleep(100 * time.Millisecond)
						c.Check(registries[i%test.hosts].Resolve(context.Background(), handle, ran), quicktest.IsNil)
					})
				}
				wait.Wait()
				writes, _ := fakeTable.OperationCounts()
				perClaim := float64(writes) / float64(granted.Load())
				t.Logf("%d claims/s offered, %.1f claims/s granted, %.2f table writes per claim, %.0f table writes/s, mean wait %v",
					test.rate, float64(granted.Load())/duration.Seconds(), perClaim, float64(writes)/duration.Seconds(),
					time.Duration(waited.Load()/granted.Load()))
				c.Assert(granted.Load(), quicktest.Equals, int64(offered))
				c.Assert(perClaim <= test.most, quicktest.IsTrue, quicktest.Commentf("%v", perClaim))
				// The table handles several hundred writes per second for all of its
				// users together.
				c.Assert(float64(writes)/duration.Seconds() <= 400, quicktest.IsTrue, quicktest.Commentf("%d", writes))
			})
		})
	}
}
