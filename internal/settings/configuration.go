package settings

import (
	"errors"
	"strconv"
	"strings"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// DecodeConfiguration decodes and validates the configuration of a deployment.
// File is used in error messages only; data is the content of that file. An
// element without a name gets its key as the name, and a file without a revision
// gets revision 1. A non-nil error is of type Problems.
func DecodeConfiguration(file string, data []byte) (configuration.Configuration, error) {
	var c configuration.Configuration
	d := decodeFile(file, data, &c)
	if len(d.problems) > 0 {
		return c, d.sortedProblems()
	}
	if c.Revision == 0 {
		c.Revision = 1
	}
	fillNames(c.Adapters, func(a *configuration.Adapter) *fleet.AdapterName { return &a.Name })
	fillNames(c.Kinds, func(k *configuration.Kind) *configuration.KindName { return &k.Name })
	fillNames(c.Applications, func(a *configuration.Application) *configuration.ApplicationName { return &a.Name })
	fillNames(c.Engines, func(e *fleet.Engine) *fleet.EngineName { return &e.Name })
	fillNames(c.Services, func(s *configuration.Service) *configuration.ServiceName { return &s.Name })
	// Validate is also what an entry host applies to a change, so that the host
	// accepts every file that passes here.
	var fieldErr *configuration.FieldError
	if errors.As((&configuration.Configuration{}).Validate(c.InitialChange()), &fieldErr) {
		d.addProblem(decoderPath(fieldErr.Path), "%s", fieldErr.Problem)
	}
	return c, d.sortedProblems()
}

// fillNames sets each empty name in elements to the key of its element.
func fillNames[K ~string, V any](elements map[K]V, name func(*V) *K) {
	for key, element := range elements {
		if ownName := name(&element); *ownName == "" {
			*ownName = key
			elements[key] = element
		}
	}
}

// decoderPath converts the path of a FieldError, such as "kinds.0", into the form
// that the decoder uses, such as "kinds[0]".
func decoderPath(path string) string {
	var joined string
	for _, part := range strings.Split(path, ".") {
		if position, err := strconv.Atoi(part); err == nil {
			joined += "[" + strconv.Itoa(position) + "]"
			continue
		}
		joined = joinPath(joined, part)
	}
	return joined
}
