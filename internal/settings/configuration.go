package settings

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"

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
	checkEach(d, "adapters", c.Adapters, func(a *configuration.Adapter) *fleet.AdapterName { return &a.Name }, d.checkAdapter)
	checkEach(d, "kinds", c.Kinds, func(k *configuration.Kind) *configuration.KindName { return &k.Name }, d.checkKind)
	checkEach(d, "applications", c.Applications, func(a *configuration.Application) *configuration.ApplicationName { return &a.Name },
		func(key string, a configuration.Application) { d.checkApplication(key, a, &c) })
	checkEach(d, "engines", c.Engines, func(e *fleet.Engine) *fleet.EngineName { return &e.Name }, d.checkEngine)
	checkEach(d, "services", c.Services, func(s *configuration.Service) *configuration.ServiceName { return &s.Name }, d.checkService)
	return c, d.result()
}

// checkEach fills in the names of elements from their keys and checks them in
// the order of their names.
func checkEach[K ~string, V any](d *decoder, path string, elements map[K]V, name func(*V) *K, check func(string, V)) {
	for _, key := range slices.Sorted(maps.Keys(elements)) {
		element := elements[key]
		place := join(path, string(key))
		switch given := name(&element); *given {
		case "":
			*given = key
			elements[key] = element
		case key:
		default:
			d.fail(join(place, "name"), "is %q, expected the key %q or nothing", *given, key)
		}
		check(place, element)
	}
}

func (d *decoder) checkAdapter(key string, a configuration.Adapter) {
	if _, err := fleet.ParseAdapterReference(string(a.Name) + "@1"); err != nil {
		d.fail(key, "%v, expected a name without '@' and '#'", err)
	}
	if len(a.Versions) == 0 || a.Versions[0] < 1 || !slices.IsSorted(a.Versions) || len(slices.Compact(slices.Clone(a.Versions))) != len(a.Versions) {
		d.fail(join(key, "versions"), "expected versions from 1 in rising order")
	}
	if !slices.Contains(a.Versions, a.Current) {
		d.fail(join(key, "current"), "is %d, expected one of the versions", a.Current)
	}
}

func (d *decoder) checkKind(key string, k configuration.Kind) {
	if !slices.Contains([]configuration.Urgency{configuration.UrgencyInteractive, configuration.UrgencyPrompt, configuration.UrgencyDeferred}, k.Urgency) {
		d.fail(join(key, "urgency"), "is %q, expected interactive, prompt or deferred", k.Urgency)
	}
	if k.Repeat != configuration.RepeatAllowed && k.Repeat != configuration.RepeatForbidden {
		d.fail(join(key, "repeat"), "is %q, expected allowed or forbidden", k.Repeat)
	}
	if k.Deadline <= 0 {
		d.fail(join(key, "deadline"), "is %s, expected more", k.Deadline)
	}
	if !(k.Objective >= 0 && k.Objective <= 1) {
		d.fail(join(key, "objective"), "is %v, expected a share from 0 to 1", k.Objective)
	}
}

func (d *decoder) checkApplication(key string, a configuration.Application, c *configuration.Configuration) {
	if !isHash(a.TokenHash) {
		d.fail(join(key, "token-hash"), "is no hash, expected 64 hexadecimal digits")
	}
	for name, other := range c.Applications {
		if name < a.Name && other.TokenHash == a.TokenHash {
			d.fail(join(key, "token-hash"), "is that of application %s, expected another token", name)
		}
	}
	if len(a.Kinds) == 0 {
		d.fail(join(key, "kinds"), "expected at least one kind")
	}
	for i, name := range a.Kinds {
		if _, ok := c.Kinds[name]; !ok {
			d.fail(join(key, "kinds")+"["+strconv.Itoa(i)+"]", "%q is no kind, expected one of %v", name, slices.Sorted(maps.Keys(c.Kinds)))
		}
	}
	if a.Concurrency < 0 {
		d.fail(join(key, "concurrency"), "is %d, expected at least 0", a.Concurrency)
	}
}

func (d *decoder) checkEngine(key string, e fleet.Engine) {
	d.checkBackend(key, e.Domain, e.Address)
	if e.Slots < 1 {
		d.fail(join(key, "slots"), "is %d, expected at least 1", e.Slots)
	}
	if e.BatchSize < 1 {
		d.fail(join(key, "batch-size"), "is %d, expected at least 1", e.BatchSize)
	}
	if e.Fencing != fleet.FencingEnforced && e.Fencing != fleet.FencingIgnored {
		d.fail(join(key, "fencing"), "is %q, expected enforced or ignored", e.Fencing)
	}
}

func (d *decoder) checkService(key string, s configuration.Service) {
	for i, server := range s.Servers {
		place := join(key, "servers") + "[" + strconv.Itoa(i) + "]"
		if server.Name == "" {
			d.fail(join(place, "name"), "missing, expected a name")
		}
		d.checkBackend(place, server.Domain, server.Address)
	}
	for i, status := range s.RefusalProves {
		if status < 400 || status > 599 {
			d.fail(join(key, "refusal-proves")+"["+strconv.Itoa(i)+"]", "is %d, expected an HTTP status from 400 to 599", status)
		}
	}
}

func (d *decoder) checkBackend(key string, domain fleet.FailureDomainName, address string) {
	if domain == "" {
		d.fail(join(key, "failure-domain"), "missing, expected the name of a failure domain")
	}
	if parsed, err := netip.ParseAddrPort(address); err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		d.fail(join(key, "address"), "%q is no address, expected %s", address, expected(addressType))
	}
}
