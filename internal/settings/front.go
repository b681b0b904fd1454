package settings

import (
	"net/netip"
	"reflect"
	"time"

	"github.com/rs/zerolog"
)

// Front holds the settings of a front host, an entry host on the users' platform
// that forwards requests to backend servers. The reference page is generated from
// the tags json, default, required and help.
type Front struct {
	HostName        string            `json:"host-name" required:"true" help:"Name of this entry host; unique in the deployment."`
	FailureDomain   string            `json:"failure-domain" required:"true" help:"Failure domain that the host stands in."`
	Regions         map[string]string `json:"regions" required:"true" help:"Region of each failure domain, by the name of the failure domain."`
	CallerAddress   netip.AddrPort    `json:"caller-address" required:"true" help:"Address to listen on for callers."`
	ReadyAddress    netip.AddrPort    `json:"ready-address" required:"true" help:"Address to listen on for the load balancer's checks."`
	PeerAddress     netip.AddrPort    `json:"peer-address" required:"true" help:"Address to listen on for other entry hosts. They are told this address."`
	PlatformAddress netip.AddrPort    `json:"platform-address" required:"true" help:"Address of the platform's store."`
	MetricsAddress  netip.AddrPort    `json:"metrics-address" help:"Address at which counters and histograms are served under /metrics. Without it they are not served."`
	LogLevel        string            `json:"log-level" default:"info" help:"Least level that is logged: trace, debug, info, warn or error."`
	MemoryMegabytes int64             `json:"memory-megabytes" default:"256" help:"Memory that the process may use."`
	LinkMegabits    float64           `json:"link-megabits" default:"1000" help:"Bandwidth of the host's link in Mbit/s. A host with a narrow link owns a failure domain only while no other one does."`
	GraceTime       time.Duration     `json:"grace-time" default:"8s" help:"Time between the request to stop and the end of the process."`
	OrderPause      time.Duration     `json:"order-pause" default:"3s" help:"How long the new owner of a failure domain's engines waits before its first order."`
	Limits          FrontLimits       `json:"limits" help:"Bounds on what callers take of the host. At a bound, connections without progress are closed first."`
	Repeats         Repeats           `json:"repeats" help:"Bounds on repeated sends; equal on all hosts of a deployment."`
	Quotas          Quotas            `json:"quotas" help:"How far organisations may exceed their quotas; equal on all hosts of a deployment."`
}

// FrontLimits bounds what callers take of a front host. Zero stands for a bound that follows from
// the memory setting and the descriptors of the process.
type FrontLimits struct {
	Connections   int64 `json:"connections" default:"0" help:"Most connections of callers. 0 means one for each 128 KiB of memory-megabytes, and at most five eighths of the descriptors that the process may open."`
	RequestMemory int64 `json:"request-memory" default:"0" help:"Most bytes that requests take together, beyond 16 KiB each, from their first byte until they are answered. A request that is alone is served in any case. 0 means three sixteenths of memory-megabytes."`
}

// Repeats limits the repeated sends of each service: those beyond the first send of
// each request.
type Repeats struct {
	Window time.Duration `json:"window" default:"10s" help:"Span in which sends are counted."`
	Share  float64       `json:"share" default:"0.2" help:"Part of the requests that may be sent once more."`
	Slack  float64       `json:"slack" default:"20" help:"Repeated sends of all hosts together that need no requests."`
}

// Quotas says how far the requests of an organisation that run may exceed its quota.
type Quotas struct {
	Window    time.Duration `json:"window" default:"8s" help:"Span in which the units of requests are counted."`
	OverShare float64       `json:"over-share" default:"0.1" help:"Part of what a quota allows in a window that may be used beyond it."`
	Slack     float64       `json:"slack" default:"0" help:"Tokens that may be used in a window beyond that. Quotas of requests have none."`
}

// DecodeFront decodes and checks the settings of a front host. File is used in
// error messages only; data is the content of that file. A non-nil error is of
// type Problems.
func DecodeFront(file string, data []byte) (Front, error) {
	var s Front
	setDefaults(reflect.ValueOf(&s).Elem())
	d := decodeFile(file, data, &s)
	if len(d.problems) == 0 {
		d.checkFront(&s)
	}
	return s, d.sortedProblems()
}

// checkFront records values of s that have the right type but cannot be used.
func (d *decoder) checkFront(s *Front) {
	if s.HostName == "" {
		d.addProblem("host-name", "is empty, expected a name")
	}
	if s.Regions[s.FailureDomain] == "" {
		d.addProblem("failure-domain", "%q has no region, expected a key of regions", s.FailureDomain)
	}
	if level, err := zerolog.ParseLevel(s.LogLevel); err != nil || level < zerolog.TraceLevel || level > zerolog.ErrorLevel {
		d.addProblem("log-level", "%q is no level, expected trace, debug, info, warn or error", s.LogLevel)
	}
	if s.MemoryMegabytes < 1 {
		d.addProblem("memory-megabytes", "is %d, expected at least 1", s.MemoryMegabytes)
	}
	if s.Limits.Connections < 0 || s.Limits.RequestMemory < 0 {
		d.addProblem("limits", "expected numbers of at least 0")
	}
	if !(s.LinkMegabits > 0) {
		d.addProblem("link-megabits", "is %g, expected a number above 0", s.LinkMegabits)
	}
	// The negated comparisons are also true for NaN, so NaN is rejected as well.
	if !(s.Repeats.Share >= 0) || !(s.Repeats.Slack >= 0) || s.Repeats.Window <= 0 {
		d.addProblem("repeats", "expected share and slack of at least 0 and a window above 0")
	}
	if !(s.Quotas.OverShare >= 0) || !(s.Quotas.Slack >= 0) || s.Quotas.Window <= 0 {
		d.addProblem("quotas", "expected over-share and slack of at least 0 and a window above 0")
	}
}
