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

// A FieldError says which field of a change is not valid. Validate returns it, and
// operators see it.
type FieldError struct {
	// Path is the JSON path of the field in the change, such as
	// "kinds.chat.deadline".
	Path string
	// Problem says what is wrong with the field, for example "is empty".
	Problem string
}

// Error returns the path and the problem, separated by a colon.
func (e *FieldError) Error() string {
	return e.Path + ": " + e.Problem
}

// maxNameBytes bounds names, because they are parts of table keys and HTTP headers.
const maxNameBytes = 200

// Validate returns a *FieldError for the first field of the change that is not valid
// for c, and nil if the change can be made. It does not check the revision of the
// change. A nil c stands for the empty configuration.
func (c *Configuration) Validate(change *Change) error {
	if c == nil {
		c = &Configuration{}
	}
	k := &validator{before: c, after: c.Apply(change), change: change}
	k.checkOperation()
	k.checkAdapters()
	k.checkKinds()
	k.checkApplications()
	k.checkEngines()
	k.checkServices()
	k.checkServerNames()
	checkRetired(k, "retire-adapters", change.RetireAdapters, c.Adapters, change.Adapters)
	checkRetired(k, "retire-applications", change.RetireApplications, c.Applications, change.Applications)
	checkRetired(k, "retire-kinds", change.RetireKinds, c.Kinds, change.Kinds)
	checkRetired(k, "retire-engines", change.RetireEngines, c.Engines, change.Engines)
	checkRetired(k, "retire-services", change.RetireServices, c.Services, change.Services)
	k.checkKindReferences()
	if k.firstError == nil {
		return nil
	}
	return k.firstError
}

// A validator checks one change and keeps the first error that it finds.
type validator struct {
	// before and after are the configurations without and with the change.
	before, after *Configuration
	change        *Change
	firstError    *FieldError
}

// require records an error for the field at the path if holds is false and there is
// no earlier error.
func (k *validator) require(holds bool, problem string, path ...string) {
	if !holds && k.firstError == nil {
		k.firstError = &FieldError{Path: strings.Join(path, "."), Problem: problem}
	}
}

// checkName checks the key of a map entry, and that the name within the entry equals
// the key. path is the path of the entry.
func (k *validator) checkName(key, name string, path ...string) {
	k.require(key != "", "the name is empty", path...)
	k.require(len(key) <= maxNameBytes, fmt.Sprintf("the name has more than %d bytes", maxNameBytes), path...)
	k.require(!strings.ContainsAny(key, "@#/\x00\r\n"), "the name has one of the reserved characters @ # / NUL CR LF", path...)
	k.require(key == name, fmt.Sprintf("must equal the key %q", key), append(path, "name")...)
}

// checkOperation checks the operation ID, and that the change is not empty.
func (k *validator) checkOperation() {
	c := k.change
	k.require(c.Operation != "", "is missing", "operation")
	k.require(len(c.Operation) <= maxNameBytes && !strings.Contains(string(c.Operation), "/"),
		fmt.Sprintf("must have at most %d bytes and no slash", maxNameBytes), "operation")
	size := len(c.Adapters) + len(c.Applications) + len(c.Kinds) + len(c.Engines) + len(c.Services) + len(c.Draining) +
		len(c.RetireAdapters) + len(c.RetireApplications) + len(c.RetireKinds) + len(c.RetireEngines) + len(c.RetireServices)
	k.require(size > 0, "changes nothing", "change")
}

func (k *validator) checkAdapters() {
	for _, key := range sortedKeys(k.change.Adapters) {
		a := k.change.Adapters[key]
		k.checkName(string(key), string(a.Name), "adapters", string(key))
		k.require(len(a.Versions) > 0, "is empty", "adapters", string(key), "versions")
		for i, version := range a.Versions {
			path := []string{"adapters", string(key), "versions", strconv.Itoa(i)}
			k.require(version >= 1, "must be at least 1", path...)
			k.require(i == 0 || version > a.Versions[i-1], "must be higher than the version before", path...)
		}
		k.require(slices.Contains(a.Versions, a.Current), "is not one of the versions", "adapters", string(key), "current")
	}
}

func (k *validator) checkKinds() {
	for _, key := range sortedKeys(k.change.Kinds) {
		kind := k.change.Kinds[key]
		k.checkName(string(key), string(kind.Name), "kinds", string(key))
		k.require(kind.Urgency == UrgencyInteractive || kind.Urgency == UrgencyPrompt || kind.Urgency == UrgencyDeferred,
			"must be interactive, prompt or deferred", "kinds", string(key), "urgency")
		k.require(kind.Repeat == RepeatAllowed || kind.Repeat == RepeatForbidden,
			"must be allowed or forbidden", "kinds", string(key), "repeat")
		k.require(kind.Timeout > 0, "must be more than zero", "kinds", string(key), "deadline")
		k.require(kind.Objective >= 0 && kind.Objective <= 1, "must be from 0 to 1", "kinds", string(key), "objective")
	}
}

// checkApplications checks the applications that the change sets. Their tokens must
// differ from those of all applications, because a token identifies one.
func (k *validator) checkApplications() {
	if len(k.change.Applications) == 0 {
		return
	}
	holders := make(map[string]ApplicationName)
	for _, key := range sortedKeys(k.after.Applications) {
		a := k.after.Applications[key]
		other, taken := holders[a.TokenHash]
		k.require(!taken, fmt.Sprintf("is the same as that of %q", other), "applications", string(key), "token-hash")
		holders[a.TokenHash] = key
	}
	for _, key := range sortedKeys(k.change.Applications) {
		a := k.change.Applications[key]
		k.checkName(string(key), string(a.Name), "applications", string(key))
		hash, err := hex.DecodeString(a.TokenHash)
		k.require(err == nil && len(hash) == 32 && strings.ToLower(a.TokenHash) == a.TokenHash,
			"must be a SHA-256 in 64 lower-case hexadecimal digits", "applications", string(key), "token-hash")
		k.require(a.MaxConcurrency >= 0, "must not be negative", "applications", string(key), "concurrency")
		k.require(len(a.Kinds) > 0, "is empty", "applications", string(key), "kinds")
	}
}

func (k *validator) checkEngines() {
	for _, key := range sortedKeys(k.change.Engines) {
		e := k.change.Engines[key]
		k.checkName(string(key), string(e.Name), "engines", string(key))
		k.require(e.FailureDomain != "", "is empty", "engines", string(key), "failure-domain")
		k.checkAddress(e.Address, "engines", string(key), "address")
		k.require(e.AdapterSlots >= 1, "must be at least 1", "engines", string(key), "slots")
		k.require(e.BatchSize >= 1, "must be at least 1", "engines", string(key), "batch-size")
		k.require(e.Fencing == fleet.FencingEnforced || e.Fencing == fleet.FencingIgnored,
			"must be enforced or ignored", "engines", string(key), "fencing")
	}
}

func (k *validator) checkServices() {
	for _, key := range sortedKeys(k.change.Services) {
		s := k.change.Services[key]
		k.checkName(string(key), string(s.Name), "services", string(key))
		k.require(len(s.Servers) > 0, "is empty", "services", string(key), "servers")
		for i, server := range s.Servers {
			path := []string{"services", string(key), "servers", strconv.Itoa(i)}
			k.checkName(server.Name, server.Name, path...)
			k.require(server.FailureDomain != "", "is empty", append(path, "failure-domain")...)
			k.checkAddress(server.Address, append(path, "address")...)
		}
		for i, status := range s.NotRunStatuses {
			k.require(status >= 400 && status <= 599, "must be an HTTP status from 400 to 599",
				"services", string(key), "refusal-proves", strconv.Itoa(i))
		}
	}
}

// checkAddress checks that the address is an IP address and a port that is not 0.
func (k *validator) checkAddress(address string, path ...string) {
	parsed, err := netip.ParseAddrPort(address)
	k.require(err == nil && parsed.Port() != 0, "must be an IP address and a port other than 0, such as 10.0.0.7:8080", path...)
}

// checkServerNames checks that engines and plain servers have different names, and
// that each name in Draining is the name of one of them.
func (k *validator) checkServerNames() {
	c := k.change
	if len(c.Engines)+len(c.Services)+len(c.Draining) == 0 {
		return
	}
	used := make(map[string]bool)
	for name := range k.after.Engines {
		used[string(name)] = true
	}
	for _, key := range sortedKeys(k.after.Services) {
		for i, server := range k.after.Services[key].Servers {
			k.require(!used[server.Name], fmt.Sprintf("%q is the name of another backend server", server.Name),
				"services", string(key), "servers", strconv.Itoa(i), "name")
			used[server.Name] = true
		}
	}
	for _, name := range sortedKeys(c.Draining) {
		k.require(used[name], "is not a backend server", "draining", name)
	}
}

// checkKindReferences checks that the kinds of all applications exist after the
// change. If the change retires a kind that is in use, the error names that field.
func (k *validator) checkKindReferences() {
	if len(k.change.Applications)+len(k.change.RetireKinds) == 0 {
		return
	}
	for _, key := range sortedKeys(k.after.Applications) {
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

// checkRetired checks that the entries that a change removes exist, and that the
// change does not also set them. field is the JSON name of the list.
func checkRetired[K ~string, V any](k *validator, field string, names []K, before, set map[K]V) {
	for i, name := range names {
		_, exists := before[name]
		_, also := set[name]
		k.require(exists, fmt.Sprintf("%q does not exist", name), field, strconv.Itoa(i))
		k.require(!also, fmt.Sprintf("%q is also set", name), field, strconv.Itoa(i))
	}
}

// sortedKeys returns the keys of m in order, so that Validate always finds the same
// error first.
func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
