package fleet

import (
	"fmt"
	"strconv"
	"strings"
)

// An Instance is an adapter version that one owner of an engine has loaded there.
// Two owners never use the same instance name, because the epoch is part of it.
type Instance struct {
	// Adapter is the exact version; its Version is at least 1.
	Adapter AdapterReference `json:"adapter"`
	// Epoch is the epoch of the lease under which the instance was loaded.
	Epoch Epoch `json:"epoch"`
}

// String returns the form "name@version#epoch", which is the name of the
// instance on the engine.
func (i Instance) String() string {
	return i.Adapter.String() + "#" + strconv.FormatUint(uint64(i.Epoch), 10)
}

// ParseInstance parses "name@version#epoch". It returns an error if a part is
// missing or is not a whole number in its range.
func ParseInstance(text string) (Instance, error) {
	adapter, epoch, found := strings.Cut(text, "#")
	if !found {
		return Instance{}, fmt.Errorf("instance %q: the epoch is missing", text)
	}
	reference, err := ParseAdapterReference(adapter)
	if err != nil {
		return Instance{}, err
	}
	if reference.Version == 0 {
		return Instance{}, fmt.Errorf("instance %q: the version is missing", text)
	}
	number, err := strconv.ParseUint(epoch, 10, 64)
	if err != nil {
		return Instance{}, fmt.Errorf("instance %q: the epoch must be a whole number", text)
	}
	return Instance{Adapter: reference, Epoch: Epoch(number)}, nil
}
