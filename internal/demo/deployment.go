// Package demo runs a small deployment on loopback with stand-ins, load and faults. It
// checks the invariants against the stand-ins' own records of what they did.
package demo

import (
	"fmt"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A Deployment describes the failure domains, backend servers and kinds of requests that
// the demo runs.
type Deployment struct {
	// Name selects the deployment on the command line.
	Name string
	// FailureDomains each get an engine, a plain server and two entry hosts.
	FailureDomains []FailureDomain
	// Pool is the name of the pool of engines, and Service that of the plain service.
	Pool    string
	Service configuration.ServiceName
	// Chat is the kind of streamed requests and Booking the kind that may not
	// be repeated.
	Chat, Booking configuration.KindName
	// LoadsPerSecond is the number of adapter loads per second that the weight store
	// allows.
	LoadsPerSecond float64
}

// A FailureDomain names a failure domain and the region that it belongs to.
type FailureDomain struct {
	Name   fleet.FailureDomainName
	Region fleet.RegionName
}

// Deployments returns the deployments that the demo can run.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name:           "kurswerk",
			FailureDomains: []FailureDomain{{"muc-a", "bayern-sued"}, {"muc-b", "bayern-sued"}, {"fra-a", "hessen-mitte"}},
			Pool:           "sprachmodelle",
			Service:        "belegung",
			Chat:           "chat",
			Booking:        "enrolment",
			LoadsPerSecond: 3,
		},
		{
			Name:           "medna-ploscha",
			FailureDomains: []FailureDomain{{"plovdiv-a", "thrace"}, {"haskovo-a", "thrace"}, {"ruse-a", "danube"}},
			Pool:           "quote-writers",
			Service:        "yard-ledger",
			Chat:           "quote",
			Booking:        "reservation",
			LoadsPerSecond: 2.5,
		},
	}
}

// FindDeployment returns the deployment with the name, or an error if there is none.
func FindDeployment(name string) (Deployment, error) {
	for _, deployment := range Deployments() {
		if deployment.Name == name {
			return deployment, nil
		}
	}
	return Deployment{}, fmt.Errorf("deployment %q is not known, expected kurswerk or medna-ploscha", name)
}
