package settings_test

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/internal/settings"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

var update = flag.Bool("update", false, "write the settings reference anew")

const minimal = `{
  "host-name": "a", "failure-domain": "d", "region": "r", // names
  "caller-address": "0.0.0.0:80", "peer-address": "10.0.0.1:81",
  "platform-address": "10.0.0.2:82",
  "decisions": {"load-rate-share": 1},
}`

// Guards against a misspelled or malformed setting that is silently ignored or
// replaced by its default, and against errors without the line and column of the
// wrong value.
func TestDecodeReportsPositionOfEachProblem(t *testing.T) {
	for _, test := range []struct{ name, old, replacement, want string }{
		{"no problem", "", "", ""},
		{"syntax", `"a",`, `"a"`, "host:2:20: .*expected JSON with comments"},
		{"unknown key", `"region"`, `"regoin"`, "host:1:1: region: missing, expected text\nhost:2:44: regoin: unknown key, expected one of host-name, .*"},
		{"key in upper case", `"region"`, `"Region"`, "(?s).*Region: unknown key.*"},
		{"duplicate key", `"region": "r",`, `"region": "r", "region": "s",`, "host:2:59: region: key is there twice, expected once"},
		{"wrong type", `"a"`, `7`, "host:2:16: host-name: 7 has the wrong type, expected text"},
		{"null", `"a"`, `null`, "host:2:16: host-name: null has the wrong type, expected text"},
		{"duration without unit", `"decisions"`, `"timings": {"grant-limit": 3}, "decisions"`, `host:5:30: timings.grant-limit: 3 is no duration, expected a duration with its unit, .*`},
		{"wrong unit", `"decisions"`, `"timings": {"grant-limit": "3 sec"}, "decisions"`, `host:5:30: timings.grant-limit: "3 sec" is no duration, .*`},
		{"negative duration", `"decisions"`, `"limits": {"grace-time": "-1s"}, "decisions"`, `.*limits.grace-time: "-1s" is no duration, .*`},
		{"fraction", `"decisions"`, `"limits": {"host-concurrency": 1.5}, "decisions"`, `.*host-concurrency: 1.5 has the wrong type, expected a whole number`},
		{"host name as address", `10.0.0.2:82`, `platform:82`, `host:4:23: platform-address: "platform:82" is no address, expected an IP address and a port, .*`},
		{"address without port", `10.0.0.2:82`, `10.0.0.2`, `host:4:23: platform-address: .* is no address, .*`},
		{"unspecified peer address", `10.0.0.1:81`, `0.0.0.0:81`, `host:3:51: peer-address: 0.0.0.0 is out of place, .*`},
		{"own address as peer", `"decisions"`, `"peer-addresses": ["10.0.0.3:1", "10.0.0.1:81"], "decisions"`, `host:5:36: peer-addresses\[1\]: 10.0.0.1:81 is out of place, expected another address than peer-address`},
		{"one port for callers and peers", `10.0.0.1:81`, `10.0.0.1:80`, `.*peer-address: port 80 is out of place.*`},
		{"lease shorter than two renewals", `"decisions"`, `"timings": {"lease-duration": "6s"}, "decisions"`, `.*lease-duration: is 6s, expected at least two renewals and the margin, 7s`},
		{"missing load rate share", `{"load-rate-share": 1}`, `{}`, `host:5:16: decisions.load-rate-share: missing, expected a number`},
		{"zero load rate share", `"load-rate-share": 1`, `"load-rate-share": 0`, `host:5:36: decisions.load-rate-share: is 0, expected more than 0`},
		{"unknown log level", `"decisions"`, `"log-level": "loud", "decisions"`, `.*log-level: "loud" is no level, .*`},
		{"token in place of its hash", `"decisions"`, `"operator-token-hash": "secret", "decisions"`, `.*operator-token-hash: is no hash, .*`},
		{"operator address on the port of callers", `"decisions"`, `"operator-address": "127.0.0.1:80", "decisions"`, `host:5:23: operator-address: port 80 is out of place, .*caller-address`},
		{"operator address on the address of peers", `"decisions"`, `"operator-address": "0.0.0.0:81", "decisions"`, `host:5:23: operator-address: port 81 is out of place, .*peer-address`},
		{"operator address without token", `"decisions"`, `"operator-address": "10.0.0.1:82", "decisions"`, `host:5:23: operator-address: 10.0.0.1 is out of place, expected operator-token-hash .*`},
		{"operator address on loopback without token", `"decisions"`, `"operator-address": "127.0.0.1:82", "decisions"`, ""},
		{"not an object", minimal, `[]`, `host:1:1: is no object, expected {...}(?s).*`},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := settings.Decode("host", []byte(strings.Replace(minimal, test.old, test.replacement, 1)))
			if test.want == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, test.want)
			var problems settings.Problems
			qt.Assert(t, errors.As(err, &problems), qt.IsTrue)
		})
	}
}

// Guards against default tags that the decoder does not apply: the reference page
// shows the tags, so the host would run with other values than documented.
func TestDefaultsAreApplied(t *testing.T) {
	s, err := settings.Decode("host", []byte(minimal))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.Timings.IsolatedServiceLimit, qt.Equals, 15*time.Minute)
	qt.Check(t, s.Limits.BodySize, qt.Equals, int64(1<<20))
	qt.Check(t, s.LogLevel, qt.Equals, "info")
}

// Guards against a stale example in README.md: the files of its first steps must
// pass the checks of an entry host, and the engine must be in the host's failure
// domain.
func TestFirstStepsAreAccepted(t *testing.T) {
	c := qt.New(t)
	data, err := os.ReadFile("../../examples/first-steps/entry-host.jsonc")
	c.Assert(err, qt.IsNil)
	s, err := settings.Decode("entry-host.jsonc", data)
	c.Assert(err, qt.IsNil)
	data, err = os.ReadFile("../../examples/first-steps/configuration.jsonc")
	c.Assert(err, qt.IsNil)
	first, err := settings.DecodeConfiguration("configuration.jsonc", data)
	c.Assert(err, qt.IsNil)
	c.Assert(first.Engines["engine-1"].FailureDomain, qt.Equals, s.FailureDomain)
}

// Guards against example files that the checks of an entry host reject, for example
// after a setting was renamed.
func TestExamplesAreAccepted(t *testing.T) {
	for _, deployment := range []string{"kurswerk", "medna-ploscha"} {
		t.Run(deployment, func(t *testing.T) {
			c := qt.New(t)
			directory := filepath.Join("../../examples", deployment)
			data, err := os.ReadFile(filepath.Join(directory, "entry-host.jsonc"))
			c.Assert(err, qt.IsNil)
			s, err := settings.Decode("entry-host.jsonc", data)
			c.Assert(err, qt.IsNil)
			data, err = os.ReadFile(filepath.Join(directory, "configuration.jsonc"))
			c.Assert(err, qt.IsNil)
			configuration, err := settings.DecodeConfiguration("configuration.jsonc", data)
			c.Assert(err, qt.IsNil)
			c.Check(configuration.Engines, qt.HasLen, 9)
			domains := map[fleet.FailureDomainName]int{}
			for name, engine := range configuration.Engines {
				c.Check(engine.Name, qt.Equals, name)
				domains[engine.FailureDomain]++
			}
			c.Check(domains, qt.HasLen, 3)
			c.Check(domains[s.FailureDomain], qt.Equals, 3)
		})
	}
}

// Guards against a configuration file that is accepted although it refers to a
// missing element or has a value out of range; the host would fail on it only at
// run time.
func TestDecodeConfigurationReportsInvalidFields(t *testing.T) {
	data, err := os.ReadFile("../../examples/kurswerk/configuration.jsonc")
	qt.Assert(t, err, qt.IsNil)
	for _, test := range []struct{ name, old, replacement, want string }{
		{"missing kind", `["adviser"]`, `["advisor"]`, `.*applications.adviser-desk.kinds\[0\]: application "adviser-desk" uses kind "advisor", which does not exist`},
		{"missing current version", `"current": 2`, `"current": 3`, `.*adapters.latin-grammar.current: is not one of the versions`},
		{"versions in descending order", `[1, 2]`, `[2, 1]`, `.*adapters.latin-grammar.versions\[1\]: must be higher than the version before`},
		{"duplicate version", `[1, 2]`, `[1, 2, 2]`, `.*adapters.latin-grammar.versions\[2\]: must be higher than the version before`},
		{"reserved character", `"latin-grammar"`, `"latin@grammar"`, `.*adapters.latin@grammar: .*`},
		{"unknown repeat rule", `"repeat": "forbidden"`, `"repeat": "never"`, `.*kinds.enrolment.repeat: must be allowed or forbidden`},
		{"deadline as number", `"deadline": "5s"`, `"deadline": 5000000000`, `.*kinds.catalogue.deadline: .* is no duration, .*`},
		{"host name as engine address", `10.20.1.100:8000`, `engine-1:8000`, `.*engines.sprachmodelle-1.address: .*`},
		{"name that is not the key", `"latin-grammar": {`, `"latin-grammar": {"name": "x", `, `.*adapters.latin-grammar.name: must equal the key "latin-grammar"`},
		{"refusal status outside 400 to 599", `[429]`, `[200]`, `.*services.belegung.refusal-proves\[0\]: must be an HTTP status from 400 to 599`},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := settings.DecodeConfiguration("c", []byte(strings.Replace(string(data), test.old, test.replacement, 1)))
			qt.Assert(t, err, qt.ErrorMatches, test.want)
		})
	}
}

// Guards against a reference page that differs from the struct it documents. With
// -update the test writes the pages.
func TestReferenceMatchesTheSettings(t *testing.T) {
	for _, test := range []struct{ name, page, content string }{
		{"serve", "../../docs/reference/settings.md", settings.Reference()},
		{"front", "../../docs/reference/front-settings.md", settings.FrontReference()},
	} {
		t.Run(test.name, func(t *testing.T) {
			if *update {
				qt.Assert(t, os.WriteFile(test.page, []byte(test.content), 0o644), qt.IsNil)
			}
			data, err := os.ReadFile(test.page)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(data), qt.Equals, test.content)
		})
	}
}
