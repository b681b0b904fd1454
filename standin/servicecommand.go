package main

import (
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/standin/service"
)

// A serviceCommand holds the flags of the command that runs a stand-in plain service.
type serviceCommand struct {
	Listen string         `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	Name   string         `long:"name" default:"service" description:"name in the answers"`
	Seed   uint64         `long:"seed" default:"1" description:"seed of the faults"`
	Faults service.Faults `group:"faults" namespace:"fault"`

	logger zerolog.Logger
}

// Execute runs the service until the process receives SIGINT or SIGTERM.
func (c *serviceCommand) Execute([]string) error {
	s := service.New(c.Name, c.Seed)
	s.SetFaults(c.Faults)
	return serve(c.logger.With().Uint64("seed", c.Seed).Logger(), c.Listen, s)
}
