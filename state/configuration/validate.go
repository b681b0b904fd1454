package configuration

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A FieldError says which field of a change is wrong.
type FieldError struct {
	// Path is the JSON path of the field, such as "kinds.chat.deadline".
	Path string
	// Problem says what is wrong.
	Problem string
}

// Error returns the path and the problem.
func (e *FieldError) Error() string {
	return e.Path + ": " + e.Problem
}

// maximumNameBytes bounds names, which are parts of table keys and headers.
const maximumNameBytes = 200

// Validate returns a *FieldError if the change must not be made to c. The
// revision of the change is not looked at. c may be nil, which stands for the
// empty configuration.
func (c *Configuration) Validate(change *Change) error {
	if c == nil {
		c = &Configuration{}
	}
	k := &checker{before: c, after: c.Apply(change), change: change}
	k.operation()
	k.adapters()
	k.kinds()
	k.applications()
	k.engines()
	k.services()
	k.servers()
	retired(k, "retire-adapters", change.RetireAdapters, c.Adapters, change.Adapters)
	retired(k, "retire-applications", change.RetireApplications, c.Applications, change.Applications)
	retired(k, "retire-kinds", change.RetireKinds, c.Kinds, change.Kinds)
	retired(k, "retire-engines", change.RetireEngines, c.Engines, change.Engines)
	retired(k, "retire-services", change.RetireServices, c.Services, change.Services)
	k.uses()
	if k.failure == nil {
		return nil
	}
	return k.failure
}

// A checker keeps the first problem that it finds.
type checker struct {
	before, after *Configuration
	change        *Change
	failure       *FieldError
}

func (k *checker) require(holds bool, problem string, path ...string) {
	if !holds && k.failure == nil {
		k.failure = &FieldError{Path: strings.Join(path, "."), Problem: problem}
	}
}

// name checks a key and the name within its value.
func (k *checker) name(key, name string, path ...string) {
	k.require(key != "", "the name is empty", path...)
	k.require(len(key) <= maximumNameBytes, fmt.Sprintf("the name has more than %d bytes", maximumNameBytes), path...)
	k.require(!strings.ContainsAny(key, "@#/\x00\r\n"), "the name has one of the reserved characters @ # /", path...)
	k.require(key == name, fmt.Sprintf("must equal the key %q", key), append(path, "name")...)
}

func (k *checker) operation() {
	c := k.change
	k.require(c.Operation != "", "is missing", "operation")
	k.require(len(c.Operation) <= maximumNameBytes && !strings.Contains(string(c.Operation), "/"),
		fmt.Sprintf("must have at most %d bytes and no slash", maximumNameBytes), "operation")
	size := len(c.Adapters) + len(c.Applications) + len(c.Kinds) + len(c.Engines) + len(c.Services) + len(c.Draining) +
		len(c.RetireAdapters) + len(c.RetireApplications) + len(c.RetireKinds) + len(c.RetireEngines) + len(c.RetireServices)
	k.require(size > 0, "changes nothing", "change")
}

func (k *checker) adapters() {
	for _, key := range sorted(k.change.Adapters) {
		a := k.change.Adapters[key]
		k.name(string(key), string(a.Name), "adapters", string(key))
		k.require(len(a.Versions) > 0, "is empty", "adapters", string(key), "versions")
		for i, version := range a.Versions {
			path := []string{"adapters", string(key), "versions", strconv.Itoa(i)}
			k.require(version >= 1, "must be at least 1", path...)
			k.require(i == 0 || version > a.Versions[i-1], "must be higher than the version before", path...)
		}
		k.require(slices.Contains(a.Versions, a.Current), "is not one of the versions", "adapters", string(key), "current")
	}
}

func (k *checker) kinds() {
	for _, key := range sorted(k.change.Kinds) {
		kind := k.change.Kinds[key]
		k.name(string(key), string(kind.Name), "kinds", string(key))
		k.require(kind.Urgency == UrgencyInteractive || kind.Urgency == UrgencyPrompt || kind.Urgency == UrgencyDeferred,
			"must be interactive, prompt or deferred", "kinds", string(key), "urgency")
		k.require(kind.Repeat == RepeatAllowed || kind.Repeat == RepeatForbidden,
			"must be allowed or forbidden", "kinds", string(key), "repeat")
		k.require(kind.Timeout > 0, "must be more than zero", "kinds", string(key), "deadline")
		k.require(kind.Objective >= 0 && kind.Objective <= 1, "must be from 0 to 1", "kinds", string(key), "objective")
	}
}

func (k *checker) applications() {
	if len(k.change.Applications) == 0 {
		return
	}
	holders := make(map[string]ApplicationName)
	for _, key := range sorted(k.after.Applications) {
		a := k.after.Applications[key]
		other, taken := holders[a.TokenHash]
		k.require(!taken, fmt.Sprintf("is the same as that of %q", other), "applications", string(key), "token-hash")
		holders[a.TokenHash] = key
	}
	for _, key := range sorted(k.change.Applications) {
		a := k.change.Applications[key]
		k.name(string(key), string(a.Name), "applications", string(key))
		hash, err := hex.DecodeString(a.TokenHash)
		k.require(err == nil && len(hash) == 32 && strings.ToLower(a.TokenHash) == a.TokenHash,
			"must be a SHA-256 in 64 lower-case hexadecimal digits", "applications", string(key), "token-hash")
		k.require(a.MaxConcurrency >= 0, "must not be negative", "applications", string(key), "concurrency")
		k.require(len(a.Kinds) > 0, "is empty", "applications", string(key), "kinds")
	}
}

func (k *checker) engines() {
	for _, key := range sorted(k.change.Engines) {
		e := k.change.Engines[key]
		k.name(string(key), string(e.Name), "engines", string(key))
		k.require(e.FailureDomain != "", "is empty", "engines", string(key), "failure-domain")
		k.address(e.Address, "engines", string(key), "address")
		k.require(e.AdapterSlots >= 1, "must be at least 1", "engines", string(key), "slots")
		k.require(e.BatchSize >= 1, "must be at least 1", "engines", string(key), "batch-size")
		k.require(e.Fencing == fleet.FencingEnforced || e.Fencing == fleet.FencingIgnored,
			"must be enforced or ignored", "engines", string(key), "fencing")
	}
}

func (k *checker) services() {
	for _, key := range sorted(k.change.Services) {
		s := k.change.Services[key]
		k.name(string(key), string(s.Name), "services", string(key))
		k.require(len(s.Servers) > 0, "is empty", "services", string(key), "servers")
		for i, server := range s.Servers {
			path := []string{"services", string(key), "servers", strconv.Itoa(i)}
			k.name(server.Name, server.Name, path...)
			k.require(server.FailureDomain != "", "is empty", append(path, "failure-domain")...)
			k.address(server.Address, append(path, "address")...)
		}
		for i, status := range s.NotRunStatuses {
			k.require(status >= 400 && status <= 599, "must be an HTTP status from 400 to 599",
				"services", string(key), "refusal-proves", strconv.Itoa(i))
		}
	}
}

func (k *checker) address(address string, path ...string) {
	parsed, err := netip.ParseAddrPort(address)
	k.require(err == nil && parsed.Port() != 0, "must be an IP address and a port", path...)
}

// servers checks that backend servers have different names, and that what is
// drained exists.
func (k *checker) servers() {
	c := k.change
	if len(c.Engines)+len(c.Services)+len(c.Draining) == 0 {
		return
	}
	used := make(map[string]bool)
	for name := range k.after.Engines {
		used[string(name)] = true
	}
	for _, key := range sorted(k.after.Services) {
		for i, server := range k.after.Services[key].Servers {
			k.require(!used[server.Name], fmt.Sprintf("%q is the name of another backend server", server.Name),
				"services", string(key), "servers", strconv.Itoa(i), "name")
			used[server.Name] = true
		}
	}
	for _, name := range sorted(c.Draining) {
		k.require(used[name], "is not a backend server", "draining", name)
	}
}

// uses checks that the kinds of all applications exist.
func (k *checker) uses() {
	if len(k.change.Applications)+len(k.change.RetireKinds) == 0 {
		return
	}
	for _, key := range sorted(k.after.Applications) {
		for i, kind := range k.after.Applications[key].Kinds {
			_, exists := k.after.Kinds[kind]
			path := []string{"applications", string(key), "kinds", strconv.Itoa(i)}
			if retiring := slices.Index(k.change.RetireKinds, kind); retiring >= 0 {
				path = []string{"retire-kinds", strconv.Itoa(retiring)}
			}
			k.require(exists, fmt.Sprintf("application %q uses kind %q, which does not exist", key, kind), path...)
		}
	}
}

// retired checks that what a change removes exists and is not set by it.
func retired[K ~string, V any](k *checker, field string, names []K, before, set map[K]V) {
	for i, name := range names {
		_, exists := before[name]
		_, also := set[name]
		k.require(exists, fmt.Sprintf("%q does not exist", name), field, strconv.Itoa(i))
		k.require(!also, fmt.Sprintf("%q is also set", name), field, strconv.Itoa(i))
	}
}

// sorted returns the keys in order, so that the first problem is always the same.
func sorted[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
