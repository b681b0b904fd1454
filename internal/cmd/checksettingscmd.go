package cmd

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/persimmonmux/persimmonmux/internal/settings"
)

// A checkSettingsCommand checks settings and configuration files without starting
// a host.
type checkSettingsCommand struct {
	stdout io.Writer

	Fronts         []string `long:"front" value-name:"FILE" description:"settings of a front host; may be given more than once"`
	Configurations []string `long:"configuration" value-name:"FILE" description:"configuration of a deployment; may be given more than once"`
	Arguments      struct {
		Files []string `positional-arg-name:"FILE" description:"settings of an entry host"`
	} `positional-args:"yes"`
}

// errNoFile is the error of a command line that names no file.
var errNoFile = errors.New("check-settings: no file given")

func (*checkSettingsCommand) name() string  { return "check-settings" }
func (*checkSettingsCommand) short() string { return "Check settings files" }
func (*checkSettingsCommand) long() string {
	return "Checks settings of entry hosts and front hosts and configurations of deployments, and prints each problem with file, line and column."
}

// Execute checks all files, prints "ok" for each valid one, and returns the problems
// of all others in one error.
func (c *checkSettingsCommand) Execute([]string) error {
	if len(c.Arguments.Files)+len(c.Configurations)+len(c.Fronts) == 0 {
		return errNoFile
	}
	var failures []error
	check := func(file string, decode func(string, []byte) error) {
		data, err := os.ReadFile(file)
		if err == nil {
			err = decode(file, data)
		}
		if err != nil {
			failures = append(failures, err)
			return
		}
		fmt.Fprintf(c.stdout, "%s: ok\n", file)
	}
	for _, file := range c.Arguments.Files {
		check(file, func(file string, data []byte) error {
			_, err := settings.Decode(file, data)
			return err
		})
	}
	for _, file := range c.Fronts {
		check(file, func(file string, data []byte) error {
			_, err := settings.DecodeFront(file, data)
			return err
		})
	}
	for _, file := range c.Configurations {
		check(file, func(file string, data []byte) error {
			_, err := settings.DecodeConfiguration(file, data)
			return err
		})
	}
	return errors.Join(failures...)
}
