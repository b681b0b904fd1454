package settings

import (
	"errors"
	"strconv"
	"strings"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// DecodeConfiguration reads the configuration of a deployment from the content
// of a file. Names may be left out where they are the key. The revision is 1
// when it is left out. Its error is of type Problems.
func DecodeConfiguration(file string, data []byte) (configuration.Configuration, error) {
	var c configuration.Configuration
	d := decodeFile(file, data, &c)
	if len(d.problems) > 0 {
		return c, d.result()
	}
	if c.Revision == 0 {
		c.Revision = 1
	}
	fillNames(c.Adapters, func(a *configuration.Adapter) *fleet.AdapterName { return &a.Name })
	fillNames(c.Kinds, func(k *configuration.Kind) *configuration.KindName { return &k.Name })
	fillNames(c.Applications, func(a *configuration.Application) *configuration.ApplicationName { return &a.Name })
	fillNames(c.Engines, func(e *fleet.Engine) *fleet.EngineName { return &e.Name })
	fillNames(c.Services, func(s *configuration.Service) *configuration.ServiceName { return &s.Name })
	// The rules are those for a change of an operator, so that a file that
	// passes here is also accepted by the host.
	var wrong *configuration.FieldError
	if errors.As((&configuration.Configuration{}).Validate(c.InitialChange()), &wrong) {
		d.fail(place(wrong.Path), "%s", wrong.Problem)
	}
	return c, d.result()
}

// fillNames sets the names that were left out to their keys.
func fillNames[K ~string, V any](elements map[K]V, name func(*V) *K) {
	for key, element := range elements {
		if given := name(&element); *given == "" {
			*given = key
			elements[key] = element
		}
	}
}

// place turns the path of a field into the form of the decoder, which writes
// the positions of lists in brackets.
func place(path string) string {
	var joined string
	for _, part := range strings.Split(path, ".") {
		if position, err := strconv.Atoi(part); err == nil {
			joined += "[" + strconv.Itoa(position) + "]"
			continue
		}
		joined = join(joined, part)
	}
	return joined
}
