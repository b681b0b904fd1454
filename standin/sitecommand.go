package main

import (
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/standin/site"
)

// A siteCommand holds the flags of the command that runs a stand-in backend server of the
// users' platform, which is an engine or a plain service.
type siteCommand struct {
	site.Settings
	Listen string `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	File   string `long:"record" required:"true" description:"file for the record of runs"`

	logger zerolog.Logger
}

// Execute runs the server until the process receives SIGINT or SIGTERM.
func (c *siteCommand) Execute([]string) error {
	recorder, err := site.NewRecorder(c.File)
	if err != nil {
		return err
	}
	return serve(c.logger, c.Listen, &site.Server{Settings: c.Settings, Record: recorder.Add})
}
