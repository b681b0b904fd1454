package configuration

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// validChange returns a valid change that sets one entry in each map, and two in
// Draining.
func validChange() *Change {
	return &Change{
		Operation: "operation",
		Adapters:  map[fleet.AdapterName]Adapter{"a": {Name: "a", Versions: []fleet.AdapterVersion{1, 3}, Current: 3}},
		Kinds:     map[KindName]Kind{"chat": {Name: "chat", Urgency: UrgencyPrompt, Repeat: RepeatAllowed, Timeout: time.Second, Objective: 0.9}},
		Applications: map[ApplicationName]Application{
			"app": {Name: "app", TokenHash: strings.Repeat("0a", 32), Kinds: []KindName{"chat"}},
		},
		Engines: map[fleet.EngineName]fleet.Engine{
			"e": {Name: "e", FailureDomain: "d", Address: "10.0.0.1:80", AdapterSlots: 1, BatchSize: 1, Fencing: fleet.FencingIgnored},
		},
		Services: map[ServiceName]Service{
			"s": {Name: "s", Servers: []Server{{Name: "s-1", FailureDomain: "d", Address: "10.0.0.2:80"}}, NotRunStatuses: []int{429}},
		},
		Draining: map[string]bool{"e": true, "s-1": false},
	}
}

// TestValidate guards against an invalid change that is accepted and then breaks the
// hosts that apply it, and against an error that names the wrong field.
// Every case but the first has a change with one fault.
func TestValidate(t *testing.T) {
	base := (&Configuration{}).Apply(validChange())
	tests := []struct {
		name  string
		path  string
		alter func(*Change)
	}{
		{name: "valid", alter: func(*Change) {}},
		{name: "no operation", path: "operation", alter: func(c *Change) { c.Operation = "" }},
		{name: "operation with a slash", path: "operation", alter: func(c *Change) { c.Operation = "a/b" }},
		{name: "empty change", path: "change", alter: func(c *Change) { *c = Change{Operation: "o"} }},
		{name: "name differs from key", path: "adapters.a.name", alter: func(c *Change) { c.Adapters["a"] = Adapter{Name: "b", Versions: []fleet.AdapterVersion{1}, Current: 1} }},
		{name: "reserved character", path: "adapters.a@1", alter: func(c *Change) {
			c.Adapters["a@1"] = Adapter{Name: "a@1", Versions: []fleet.AdapterVersion{1}, Current: 1}
		}},
		{name: "no versions", path: "adapters.a.versions", alter: func(c *Change) { c.Adapters["a"] = Adapter{Name: "a"} }},
		{name: "versions not in rising order", path: "adapters.a.versions.1", alter: func(c *Change) {
			c.Adapters["a"] = Adapter{Name: "a", Versions: []fleet.AdapterVersion{2, 1}, Current: 1}
		}},
		{name: "current version not listed", path: "adapters.a.current", alter: func(c *Change) {
			c.Adapters["a"] = Adapter{Name: "a", Versions: []fleet.AdapterVersion{2}, Current: 1}
		}},
		{name: "unknown urgency", path: "kinds.chat.urgency", alter: func(c *Change) {
			c.Kinds["chat"] = Kind{Name: "chat", Urgency: "now", Repeat: RepeatAllowed, Timeout: 1}
		}},
		{name: "missing repeat rule", path: "kinds.chat.repeat", alter: func(c *Change) { c.Kinds["chat"] = Kind{Name: "chat", Urgency: UrgencyPrompt, Timeout: 1} }},
		{name: "missing deadline", path: "kinds.chat.deadline", alter: func(c *Change) {
			c.Kinds["chat"] = Kind{Name: "chat", Urgency: UrgencyPrompt, Repeat: RepeatForbidden}
		}},
		{name: "objective above 1", path: "kinds.chat.objective", alter: func(c *Change) {
			c.Kinds["chat"] = Kind{Name: "chat", Urgency: UrgencyPrompt, Repeat: RepeatForbidden, Timeout: 1, Objective: 2}
		}},
		{name: "token hash that is not a SHA-256", path: "applications.app.token-hash", alter: func(c *Change) {
			c.Applications["app"] = Application{Name: "app", TokenHash: "secret", Kinds: []KindName{"chat"}}
		}},
		{name: "token hash of another application", path: "applications.second.token-hash", alter: func(c *Change) {
			c.Applications["second"] = Application{Name: "second", TokenHash: strings.Repeat("0a", 32), Kinds: []KindName{"chat"}}
		}},
		{name: "application with an unknown kind", path: "applications.app.kinds.0", alter: func(c *Change) {
			c.Applications["app"] = Application{Name: "app", TokenHash: strings.Repeat("0a", 32), Kinds: []KindName{"none"}}
		}},
		{name: "retired kind in use", path: "retire-kinds.0", alter: func(c *Change) {
			*c = Change{Operation: "o", RetireKinds: []KindName{"chat"}}
		}},
		{name: "retired and set", path: "retire-engines.0", alter: func(c *Change) {
			c.RetireEngines = []fleet.EngineName{"e"}
			c.Draining = nil
		}},
		{name: "retired but unknown", path: "retire-services.0", alter: func(c *Change) { c.RetireServices = []ServiceName{"none"} }},
		{name: "engine address without an IP address", path: "engines.e.address", alter: func(c *Change) {
			c.Engines["e"] = fleet.Engine{Name: "e", FailureDomain: "d", Address: "engine:80", AdapterSlots: 1, BatchSize: 1, Fencing: fleet.FencingIgnored}
		}},
		{name: "engine without adapter slots", path: "engines.e.slots", alter: func(c *Change) {
			c.Engines["e"] = fleet.Engine{Name: "e", FailureDomain: "d", Address: "10.0.0.1:80", BatchSize: 1, Fencing: fleet.FencingIgnored}
		}},
		{name: "engine without a fencing mode", path: "engines.e.fencing", alter: func(c *Change) {
			c.Engines["e"] = fleet.Engine{Name: "e", FailureDomain: "d", Address: "10.0.0.1:80", AdapterSlots: 1, BatchSize: 1}
		}},
		{name: "service without servers", path: "services.s.servers", alter: func(c *Change) { c.Services["s"] = Service{Name: "s"} }},
		{name: "server with the name of an engine", path: "services.s.servers.0.name", alter: func(c *Change) {
			c.Services["s"] = Service{Name: "s", Servers: []Server{{Name: "e", FailureDomain: "d", Address: "10.0.0.2:80"}}}
		}},
		{name: "success status as proof of refusal", path: "services.s.refusal-proves.0", alter: func(c *Change) {
			c.Services["s"] = Service{Name: "s", Servers: []Server{{Name: "s-1", FailureDomain: "d", Address: "10.0.0.2:80"}}, NotRunStatuses: []int{200}}
		}},
		{name: "draining of an unknown server", path: "draining.x", alter: func(c *Change) { c.Draining["x"] = true }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			change := validChange()
			test.alter(change)
			err := base.Validate(change)
			if test.path == "" {
				c.Assert(err, quicktest.IsNil)
				c.Assert((*Configuration)(nil).Validate(change), quicktest.IsNil)
				return
			}
			var field *FieldError
			c.Assert(errors.As(err, &field), quicktest.IsTrue, quicktest.Commentf("%v", err))
			c.Assert(field.Path, quicktest.Equals, test.path, quicktest.Commentf("%v", err))
		})
	}
}
