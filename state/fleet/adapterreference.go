package fleet

import (
	"fmt"
	"strconv"
	"strings"
)

// An AdapterReference names an adapter and one of its versions, or its current
// version.
type AdapterReference struct {
	// Name is never empty.
	Name AdapterName `json:"name"`
	// Version is at least 1, or 0 where the current version is meant.
	Version AdapterVersion `json:"version"`
}

// String returns the form "name@version", or "name" for version 0.
func (r AdapterReference) String() string {
	if r.Version == 0 {
		return string(r.Name)
	}
	return string(r.Name) + "@" + strconv.Itoa(int(r.Version))
}

// ParseAdapterReference parses "name@version" or "name", which gives version 0. It
// returns an error if the name is empty, if the text contains '#', which separates
// the epoch in the name of an instance, or if the version is less than 1.
func ParseAdapterReference(text string) (AdapterReference, error) {
	name, version, found := strings.Cut(text, "@")
	if name == "" {
		return AdapterReference{}, fmt.Errorf("adapter reference %q: the name is empty", text)
	}
	if strings.Contains(name, "#") || strings.Contains(version, "#") {
		return AdapterReference{}, fmt.Errorf("adapter reference %q: '#' is reserved", text)
	}
	if !found {
		return AdapterReference{Name: AdapterName(name)}, nil
	}
	number, err := strconv.Atoi(version)
	if err != nil || number < 1 {
		return AdapterReference{}, fmt.Errorf("adapter reference %q: the version must be a whole number from 1", text)
	}
	return AdapterReference{Name: AdapterName(name), Version: AdapterVersion(number)}, nil
}
