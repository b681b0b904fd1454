// Package settings decodes and checks the settings of entry hosts and front hosts
// and the configuration of a deployment, all of them JSON with comments. It also
// generates the reference pages of the settings.
package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// Settings holds the settings that an entry host reads when it starts. The
// reference page is generated from the tags json, default, required and help.
type Settings struct {
	HostName          fleet.HostName          `json:"host-name" required:"true" help:"Name of this entry host; unique in the deployment."`
	FailureDomain     fleet.FailureDomainName `json:"failure-domain" required:"true" help:"Failure domain that the host stands in."`
	Region            fleet.RegionName        `json:"region" required:"true" help:"Region of the failure domain."`
	CallerAddress     netip.AddrPort          `json:"caller-address" required:"true" help:"Address to listen on for callers; 0.0.0.0 means all."`
	PeerAddress       netip.AddrPort          `json:"peer-address" required:"true" help:"Address to listen on for other entry hosts. They are told this address, so it cannot be 0.0.0.0."`
	PeerAddresses     []netip.AddrPort        `json:"peer-addresses" help:"Peer addresses of other entry hosts to start from. The host learns of further ones from them."`
	PlatformAddress   netip.AddrPort          `json:"platform-address" required:"true" help:"Address of the platform's services."`
	OperatorAddress   netip.AddrPort          `json:"operator-address" help:"Address to listen on for operators; 0.0.0.0 means all. Without it the host serves no operators."`
	OperatorTokenHash string                  `json:"operator-token-hash" help:"SHA-256 of the operators' token in hexadecimal. Without it the host serves operators from loopback only."`
	LogLevel          string                  `json:"log-level" default:"info" help:"Least level that is logged: trace, debug, info, warn or error."`
	MemoryMegabytes   int64                   `json:"memory-megabytes" help:"Memory that the process may use. The Go runtime collects garbage more often near seven tenths of it. Without it there is no such bound."`
	Limits            Limits                  `json:"limits" help:"Limits of this host."`
	Timings           Timings                 `json:"timings" help:"Times of leases and grants; equal on all hosts of a deployment."`
	Decisions         Decisions               `json:"decisions" required:"true" help:"What loads and placement weigh; equal on all hosts of a failure domain."`
}

// Limits bounds the requests of one entry host and the time it takes to stop.
type Limits struct {
	HostConcurrency int           `json:"host-concurrency" default:"2000" help:"Most requests in flight at this host; more are refused as overloaded."`
	GraceTime       time.Duration `json:"grace-time" default:"5s" help:"How long requests are still accepted after a stop began, so that load balancers notice it."`
	BodySize        int64         `json:"body-size" default:"1048576" help:"Most bytes of a request's body."`
	Connections     int64         `json:"connections" help:"Most connections of callers; at the bound those without progress are closed first. Without it, five eighths of the descriptors that the process may open, and at most one for each 128 KiB of memory-megabytes."`
	RequestMemory   int64         `json:"request-memory" help:"Most bytes that requests take together, beyond 16 KiB each, from their first byte until they are answered. A request that is alone is served in any case. Without it, three sixteenths of memory-megabytes, or 128 MiB."`
	ResponseMemory  int64         `json:"response-memory" default:"67108864" help:"Most bytes that responses of engines and backend servers take together while they are read, beyond 16 KiB each. A response that needs more then fails."`
}

// Timings holds the durations of leases and grants. All hosts of a deployment use
// the same values.
type Timings struct {
	LeaseDuration        time.Duration `json:"lease-duration" default:"10s" help:"How long a lease lasts after the write that took or renewed it."`
	LeaseRenewal         time.Duration `json:"lease-renewal" default:"3s" help:"Time between renewals. A lease lasts at least two renewals and the margin, so that one lost write does not end it."`
	LeaseMargin          time.Duration `json:"lease-margin" default:"1s" help:"How long before its end the holder stops using a lease."`
	GrantLimit           time.Duration `json:"grant-limit" default:"2m" help:"Longest time of a grant."`
	IsolatedServiceLimit time.Duration `json:"isolated-service-limit" default:"15m" help:"How long an owner that is cut off from the platform goes on granting resident instances."`
}

// Decisions holds the parameters of decisions on adapter loads and placement. All
// hosts of a failure domain use the same values.
type Decisions struct {
	LoadRateShare float64 `json:"load-rate-share" required:"true" help:"Loads per second that the engines of this failure domain may start together. The shares of all failure domains add up to the weight store's rate."`
	StallWeight   float64 `json:"stall-weight" default:"1" help:"Weight of load stalls against batch-weight; only the ratio of the two counts."`
	BatchWeight   float64 `json:"batch-weight" default:"1" help:"Weight of batch efficiency against stall-weight."`
}

// Decode decodes and checks the settings of an entry host. File is used in error
// messages only; data is the content of that file. A non-nil error is of type
// Problems.
func Decode(file string, data []byte) (Settings, error) {
	var s Settings
	setDefaults(reflect.ValueOf(&s).Elem())
	d := decodeFile(file, data, &s)
	if len(d.problems) == 0 {
		d.checkTopLevelStrings(&s)
		d.checkAddresses(&s)
		d.checkLimitsAndDecisions(&s)
		d.checkTimings(&s.Timings)
	}
	return s, d.sortedProblems()
}

// setDefaults sets each field of the struct target that has a default tag, in nested
// structs too. It panics on a malformed tag, which is a bug in this package.
func setDefaults(target reflect.Value) {
	for i := range target.NumField() {
		field, text := target.Field(i), target.Type().Field(i).Tag.Get("default")
		var err error
		switch {
		case field.Kind() == reflect.Struct && field.Type() != addressType:
			setDefaults(field)
		case text == "":
		case field.Type() == durationType:
			var duration time.Duration
			duration, err = time.ParseDuration(text)
			field.SetInt(int64(duration))
		case field.CanInt():
			var number int64
			number, err = strconv.ParseInt(text, 10, 64)
			field.SetInt(number)
		case field.CanFloat():
			var number float64
			number, err = strconv.ParseFloat(text, 64)
			field.SetFloat(number)
		default:
			field.SetString(text)
		}
		if err != nil {
			panic(fmt.Sprintf("settings: default of %s: %v", target.Type().Field(i).Name, err))
		}
	}
}

// checkTopLevelStrings checks the names, the token hash and the log level.
func (d *decoder) checkTopLevelStrings(s *Settings) {
	for key, name := range map[string]string{
		"host-name": string(s.HostName), "failure-domain": string(s.FailureDomain), "region": string(s.Region),
	} {
		if name == "" {
			d.addProblem(key, "is empty, expected a name")
		}
	}
	if s.OperatorTokenHash != "" && !isSHA256(s.OperatorTokenHash) {
		d.addProblem("operator-token-hash", "is no hash, expected 64 hexadecimal digits")
	}
	if level, err := zerolog.ParseLevel(s.LogLevel); err != nil || level < zerolog.TraceLevel || level > zerolog.ErrorLevel {
		d.addProblem("log-level", "%q is no level, expected trace, debug, info, warn or error", s.LogLevel)
	}
}

// checkAddresses records port 0, unspecified addresses where other hosts need the
// address of one host, and addresses used for two purposes.
func (d *decoder) checkAddresses(s *Settings) {
	keyByAddress := map[netip.AddrPort]string{}
	check := func(key string, address netip.AddrPort, allowUnspecified bool) {
		if address.Port() == 0 {
			d.addProblem(key, "port 0 is out of place, expected a port from 1")
		}
		if address.Addr().IsUnspecified() && !allowUnspecified {
			d.addProblem(key, "%s is out of place, expected the address of one host", address.Addr())
		}
		if other, ok := keyByAddress[address]; ok {
			d.addProblem(key, "%s is out of place, expected another address than %s", address, other)
		}
		keyByAddress[address] = key
	}
	check("caller-address", s.CallerAddress, true)
	check("peer-address", s.PeerAddress, false)
	check("platform-address", s.PlatformAddress, false)
	if s.OperatorAddress.IsValid() {
		check("operator-address", s.OperatorAddress, true)
		d.checkOperatorAddress(s)
	}
	for i, address := range s.PeerAddresses {
		check("peer-addresses["+strconv.Itoa(i)+"]", address, false)
	}
	if s.CallerAddress.Addr().IsUnspecified() && s.CallerAddress.Port() == s.PeerAddress.Port() {
		d.addProblem("peer-address", "port %d is out of place, expected another port than caller-address", s.PeerAddress.Port())
	}
}

// checkOperatorAddress records a port that collides with another listener on all
// interfaces. It also records an address beyond loopback without a token hash,
// because the host would refuse every call there.
func (d *decoder) checkOperatorAddress(s *Settings) {
	const key = "operator-address"
	bindsAllInterfaces := s.OperatorAddress.Addr().IsUnspecified()
	if s.OperatorAddress.Port() == s.CallerAddress.Port() && (bindsAllInterfaces || s.CallerAddress.Addr().IsUnspecified()) {
		d.addProblem(key, "port %d is out of place, expected another port than caller-address", s.OperatorAddress.Port())
	}
	if s.OperatorAddress.Port() == s.PeerAddress.Port() && bindsAllInterfaces {
		d.addProblem(key, "port %d is out of place, expected another port than peer-address", s.OperatorAddress.Port())
	}
	if s.OperatorTokenHash == "" && !bindsAllInterfaces && !s.OperatorAddress.Addr().IsLoopback() {
		d.addProblem(key, "%s is out of place, expected operator-token-hash or a loopback address", s.OperatorAddress.Addr())
	}
}

// minResponseMemory is the size of the largest response.
const minResponseMemory = 16 << 20

// checkLimitsAndDecisions checks that limits and weights are in range.
func (d *decoder) checkLimitsAndDecisions(s *Settings) {
	if s.Limits.HostConcurrency < 1 {
		d.addProblem("limits.host-concurrency", "is %d, expected at least 1", s.Limits.HostConcurrency)
	}
	if s.Limits.BodySize < 1 {
		d.addProblem("limits.body-size", "is %d, expected at least 1", s.Limits.BodySize)
	}
	if s.Limits.Connections < 0 || s.Limits.RequestMemory < 0 || s.MemoryMegabytes < 0 {
		d.addProblem("limits", "expected connections, request-memory and memory-megabytes of at least 0")
	}
	if s.Limits.ResponseMemory < minResponseMemory {
		d.addProblem("limits.response-memory", "is %d, expected at least %d", s.Limits.ResponseMemory, minResponseMemory)
	}
	// The negated comparisons are also true for NaN, so NaN is rejected as well.
	if !(s.Decisions.LoadRateShare > 0) {
		d.addProblem("decisions.load-rate-share", "is %v, expected more than 0", s.Decisions.LoadRateShare)
	}
	if !(s.Decisions.StallWeight >= 0) || !(s.Decisions.BatchWeight >= 0) || s.Decisions.StallWeight+s.Decisions.BatchWeight == 0 {
		d.addProblem("decisions.stall-weight", "expected stall-weight and batch-weight of at least 0 and one of them above 0")
	}
}

// checkTimings checks that no duration is zero and that a lease survives one lost
// renewal.
func (d *decoder) checkTimings(t *Timings) {
	for i, value := 0, reflect.ValueOf(t).Elem(); i < value.NumField(); i++ {
		if value.Field(i).Int() == 0 {
			d.addProblem("timings."+jsonKey(value.Type().Field(i)), "is zero, expected more")
		}
	}
	if t.LeaseDuration < 2*t.LeaseRenewal+t.LeaseMargin {
		d.addProblem("timings.lease-duration", "is %s, expected at least two renewals and the margin, %s", t.LeaseDuration, 2*t.LeaseRenewal+t.LeaseMargin)
	}
}

// isSHA256 reports whether text is a SHA-256 hash in hexadecimal.
func isSHA256(text string) bool {
	decoded, err := hex.DecodeString(text)
	return err == nil && len(decoded) == 32
}
