package adapter

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// BenchmarkMessage measures one message to the owner of a zone in front of more and more engines,
// of which none has a pending request. Each message looks at all engines of the zone.
func BenchmarkMessage(b *testing.B) {
	for _, engines := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("%d engines", engines), func(b *testing.B) {
			f := newFakeSite(engines, 4)
			o := &Controller{Host: "self", Engines: f, Leases: f, Views: f, Balancer: f, Log: zerolog.Nop()}
			o.prepare()
			o.refreshEngines()
			for _, e := range o.engines {
				e.applyReport(site.EngineReport{LoadedModels: []site.LoadedModel{{Name: testModel, Version: 1}}}, time.Now())
			}
			b.ResetTimer()
			for range b.N {
				endedRunsReport{}.handle(context.Background(), o)
				for _, e := range o.engines {
					o.advance(context.Background(), e)
				}
			}
		})
	}
}
