// Package demo runs a small deployment on loopback with stand-ins, load and
// faults, and judges the invariants by the stand-ins' own records.
package demo

import (
	"fmt"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A Deployment describes what the demo runs.
type Deployment struct {
	// Name is the name on the command line.
	Name string
	// FailureDomains are the failure domains.
	FailureDomains []FailureDomain
	// Pool and Service name the engines and the plain service.
	Pool    string
	Service configuration.ServiceName
	// Chat is the kind of streamed requests and Booking the kind that may not
	// be repeated.
	Chat, Booking configuration.KindName
	// LoadsPerSecond is the rate of the weight store.
	LoadsPerSecond float64
}

// A FailureDomain is a failure domain with its region.
type FailureDomain struct {
	Name   fleet.FailureDomainName
	Region fleet.RegionName
}

// Deployments returns the deployments that the demo knows.
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

// FindDeployment returns the deployment with the name.
func FindDeployment(name string) (Deployment, error) {
	for _, deployment := range Deployments() {
		if deployment.Name == name {
			return deployment, nil
		}
	}
	return Deployment{}, fmt.Errorf("deployment %q is not known, expected kurswerk or medna-ploscha", name)
}
