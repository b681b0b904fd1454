package adapter

import (
	"context"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// An endedRunsReport lists requests of one host that have ended.
type endedRunsReport struct{ runs []site.EndedRuns }

func (n endedRunsReport) handle(_ context.Context, c *Controller) {
	for _, run := range n.runs {
		if e := c.engines[run.Server]; e != nil {
			e.running.recordEnds(run.Adapter, run.Count)
		}
	}
}

// An inFlightReport lists the requests that one host has in flight on engines.
type inFlightReport struct {
	host     string
	requests []site.InFlight
}

func (n inFlightReport) handle(_ context.Context, c *Controller) {
	c.applyInFlightReport(n, time.Now())
}

// applyInFlightReport replaces the running requests of one host on all owned
// engines.
func (c *Controller) applyInFlightReport(n inFlightReport, now time.Time) {
	reported := make(map[site.ServerID]map[site.Adapter]int, len(n.requests))
	for _, sent := range n.requests {
		reported[sent.Server] = sent.Adapters
		if e := c.engines[sent.Server]; e != nil && e.readRate.observe(sent.Begun, now) {
			c.Log.Info().Str("engine", string(sent.Server)).Float64("tokens-per-ms", e.readRate.tokensPerMilli).Msg("rate of admitted prompt tokens changed")
		}
	}
	for id, e := range c.engines {
		e.running.lastHeard[n.host] = now
		if adapters, ok := reported[id]; ok {
			e.running.replaceHost(n.host, adapters)
		} else {
			e.running.dropUnreported(n.host, now)
		}
	}
}
