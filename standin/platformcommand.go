package main

import (
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/persimmonmux/persimmonmux/standin/platform"
)

// A platformCommand holds the flags of the command that runs the stand-in platform: the
// table, the object store, the host list and the weight store.
type platformCommand struct {
	Listen         string                `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	LoadsPerSecond float64               `long:"loads-per-second" default:"3" description:"loads that the weight store begins each second; 0 means no limit"`
	HostLag        time.Duration         `long:"host-lag" default:"2s" description:"age of the host list"`
	Writes         int                   `long:"writes-per-second" default:"500" description:"transactions and objects written each second; 0 means no limit"`
	Reads          int                   `long:"reads-per-second" default:"2000" description:"records and objects read each second; 0 means no limit"`
	Seed           uint64                `long:"seed" default:"1" description:"seed of the faults"`
	Faults         platform.ServerFaults `group:"faults" namespace:"fault"`

	logger zerolog.Logger
}

// Execute runs the platform until the process receives SIGINT or SIGTERM.
func (c *platformCommand) Execute([]string) error {
	server := &platform.Server{
		Table:   platform.NewTable(c.Seed),
		Objects: platform.NewObjectStore(c.Seed),
		Hosts:   platform.NewHostList(c.HostLag),
		Weights: platform.NewWeightStore(c.LoadsPerSecond, c.Seed),
		Reads:   newLimiter(c.Reads),
		Writes:  newLimiter(c.Writes),
	}
	server.SetFaults(c.Faults)
	return serve(c.logger.With().Uint64("seed", c.Seed).Logger(), c.Listen, server)
}

// newLimiter returns a limiter with a rate per second and a burst of a tenth of it. It
// returns nil, which means no limit, if the rate is not positive.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(perSecond/10, 1))
}
