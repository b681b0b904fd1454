// Package settings reads the settings of an entry host and the configuration of
// a deployment from JSON with comments.
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

// Settings are what an entry host reads when it starts. The tags json, default,
// required and help also make the reference page.
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
	Limits            Limits                  `json:"limits" help:"Limits of this host."`
	Timings           Timings                 `json:"timings" help:"Times of leases and grants; equal on all hosts of a deployment."`
	Decisions         Decisions               `json:"decisions" required:"true" help:"What loads and placement weigh; equal on all hosts of a failure domain."`
}

// Limits are the limits of one host.
type Limits struct {
	HostConcurrency int           `json:"host-concurrency" default:"2000" help:"Most requests in flight at this host; more are refused as overloaded."`
	GraceTime       time.Duration `json:"grace-time" default:"5s" help:"How long requests are still accepted after a stop began, so that load balancers notice it."`
	BodySize        int64         `json:"body-size" default:"1048576" help:"Most bytes of a request's body."`
}

// Timings are the times of leases and grants.
type Timings struct {
	LeaseDuration        time.Duration `json:"lease-duration" default:"10s" help:"How long a lease lasts after the write that took or renewed it."`
	LeaseRenewal         time.Duration `json:"lease-renewal" default:"3s" help:"Time between renewals. A lease lasts at least two renewals and the margin, so that one lost write does not end it."`
	LeaseMargin          time.Duration `json:"lease-margin" default:"1s" help:"How long before its end the holder stops using a lease."`
	GrantLimit           time.Duration `json:"grant-limit" default:"2m" help:"Longest time of a grant."`
	IsolatedServiceLimit time.Duration `json:"isolated-service-limit" default:"15m" help:"How long an owner that is cut off from the platform goes on granting resident instances."`
}

// Decisions are what loads and placement weigh.
type Decisions struct {
	LoadRateShare float64 `json:"load-rate-share" required:"true" help:"Loads per second that the engines of this failure domain may start together. The shares of all failure domains add up to the weight store's rate."`
	StallWeight   float64 `json:"stall-weight" default:"1" help:"Weight of load stalls against batch-weight; only the ratio of the two counts."`
	BatchWeight   float64 `json:"batch-weight" default:"1" help:"Weight of batch efficiency against stall-weight."`
}

// Decode reads settings from the content of a file. Its error is of type Problems.
func Decode(file string, data []byte) (Settings, error) {
	var s Settings
	setDefaults(reflect.ValueOf(&s).Elem())
	d := decodeFile(file, data, &s)
	if len(d.problems) == 0 {
		d.checkNames(&s)
		d.checkAddresses(&s)
		d.checkLimits(&s)
		d.checkTimings(&s.Timings)
	}
	return s, d.result()
}

// setDefaults sets the fields that have a default tag.
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

func (d *decoder) checkNames(s *Settings) {
	for key, name := range map[string]string{
		"host-name": string(s.HostName), "failure-domain": string(s.FailureDomain), "region": string(s.Region),
	} {
		if name == "" {
			d.fail(key, "is empty, expected a name")
		}
	}
	if s.OperatorTokenHash != "" && !isHash(s.OperatorTokenHash) {
		d.fail("operator-token-hash", "is no hash, expected 64 hexadecimal digits")
	}
	if level, err := zerolog.ParseLevel(s.LogLevel); err != nil || level < zerolog.TraceLevel || level > zerolog.ErrorLevel {
		d.fail("log-level", "%q is no level, expected trace, debug, info, warn or error", s.LogLevel)
	}
}

func (d *decoder) checkAddresses(s *Settings) {
	taken := map[netip.AddrPort]string{}
	check := func(key string, address netip.AddrPort, anyHost bool) {
		if address.Port() == 0 {
			d.fail(key, "port 0 is out of place, expected a port from 1")
		}
		if address.Addr().IsUnspecified() && !anyHost {
			d.fail(key, "%s is out of place, expected the address of one host", address.Addr())
		}
		if other, ok := taken[address]; ok {
			d.fail(key, "%s is out of place, expected another address than %s", address, other)
		}
		taken[address] = key
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
		d.fail("peer-address", "port %d is out of place, expected another port than caller-address", s.PeerAddress.Port())
	}
}

// checkOperatorAddress refuses ports in use on all addresses, and an address at
// which every call would be refused for want of a token.
func (d *decoder) checkOperatorAddress(s *Settings) {
	const key = "operator-address"
	every := s.OperatorAddress.Addr().IsUnspecified()
	if s.OperatorAddress.Port() == s.CallerAddress.Port() && (every || s.CallerAddress.Addr().IsUnspecified()) {
		d.fail(key, "port %d is out of place, expected another port than caller-address", s.OperatorAddress.Port())
	}
	if s.OperatorAddress.Port() == s.PeerAddress.Port() && every {
		d.fail(key, "port %d is out of place, expected another port than peer-address", s.OperatorAddress.Port())
	}
	if s.OperatorTokenHash == "" && !every && !s.OperatorAddress.Addr().IsLoopback() {
		d.fail(key, "%s is out of place, expected operator-token-hash or a loopback address", s.OperatorAddress.Addr())
	}
}

func (d *decoder) checkLimits(s *Settings) {
	if s.Limits.HostConcurrency < 1 {
		d.fail("limits.host-concurrency", "is %d, expected at least 1", s.Limits.HostConcurrency)
	}
	if s.Limits.BodySize < 1 {
		d.fail("limits.body-size", "is %d, expected at least 1", s.Limits.BodySize)
	}
	// The comparisons are written so that they also refuse numbers out of range.
	if !(s.Decisions.LoadRateShare > 0) {
		d.fail("decisions.load-rate-share", "is %v, expected more than 0", s.Decisions.LoadRateShare)
	}
	if !(s.Decisions.StallWeight >= 0) || !(s.Decisions.BatchWeight >= 0) || s.Decisions.StallWeight+s.Decisions.BatchWeight == 0 {
		d.fail("decisions.stall-weight", "expected stall-weight and batch-weight of at least 0 and one of them above 0")
	}
}

func (d *decoder) checkTimings(t *Timings) {
	for i, value := 0, reflect.ValueOf(t).Elem(); i < value.NumField(); i++ {
		if value.Field(i).Int() == 0 {
			d.fail("timings."+keyOf(value.Type().Field(i)), "is zero, expected more")
		}
	}
	if t.LeaseDuration < 2*t.LeaseRenewal+t.LeaseMargin {
		d.fail("timings.lease-duration", "is %s, expected at least two renewals and the margin, %s", t.LeaseDuration, 2*t.LeaseRenewal+t.LeaseMargin)
	}
}

// isHash says whether text is a SHA-256 in hexadecimal.
func isHash(text string) bool {
	decoded, err := hex.DecodeString(text)
	return err == nil && len(decoded) == 32
}
