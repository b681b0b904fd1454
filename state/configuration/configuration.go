// Package configuration has the plain structs of the configuration that
// operators change: adapters, applications, kinds of request and backend servers.
package configuration

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A Revision numbers the configuration. It only grows.
type Revision uint64

// An OperationID identifies one change of an operator, so that a repeated call
// is recognized.
type OperationID string

// An ApplicationName names an application that calls.
type ApplicationName string

// A KindName names a kind of request.
type KindName string

// A ServiceName names a group of plain services.
type ServiceName string

// An Urgency orders requests.
type Urgency string

// The urgencies, most urgent first.
const (
	UrgencyInteractive Urgency = "interactive"
	UrgencyPrompt      Urgency = "prompt"
	UrgencyDeferred    Urgency = "deferred"
)

// A RepeatRule says whether a request may run more than once.
type RepeatRule string

// The repeat rules.
const (
	RepeatAllowed   RepeatRule = "allowed"
	RepeatForbidden RepeatRule = "forbidden"
)

// An Adapter is a LoRA adapter with its versions.
type Adapter struct {
	// Name is the key.
	Name fleet.AdapterName `json:"name"`
	// Versions are the versions that may be asked for, in rising order.
	Versions []fleet.AdapterVersion `json:"versions"`
	// Current is the version for requests that name none; it is in Versions.
	Current fleet.AdapterVersion `json:"current"`
}

// A Kind is a kind of request with its rules.
type Kind struct {
	// Name is the key.
	Name KindName `json:"name"`
	// Urgency orders requests of this kind against others.
	Urgency Urgency `json:"urgency"`
	// Repeat says whether such a request may run more than once.
	Repeat RepeatRule `json:"repeat"`
	// Timeout is how long a caller waits at most; more than zero.
	Timeout time.Duration `json:"deadline"`
	// Objective is the share of requests to be answered in time, from 0 to 1.
	Objective float64 `json:"objective"`
}

// An Application is a program that calls, with what it may use.
type Application struct {
	// Name is the key.
	Name ApplicationName `json:"name"`
	// TokenHash is the SHA-256 of its bearer token in hexadecimal.
	TokenHash string `json:"token-hash"`
	// Kinds are the kinds that it may use; the first one is the default.
	Kinds []KindName `json:"kinds"`
	// MaxConcurrency is the most requests in flight at one entry host; zero means no limit.
	MaxConcurrency int `json:"concurrency"`
}

// A Service is a group of plain backend servers.
type Service struct {
	// Name is the key; it is the first part of the path of its calls.
	Name ServiceName `json:"name"`
	// Servers are the backend servers of the group.
	Servers []Server `json:"servers"`
	// NotRunStatuses lists the HTTP statuses with which a server proves that it
	// did not run the request.
	NotRunStatuses []int `json:"refusal-proves"`
}

// A Server is one plain backend server.
type Server struct {
	// Name is unique in the deployment.
	Name string `json:"name"`
	// FailureDomain is the failure domain that it stands in.
	FailureDomain fleet.FailureDomainName `json:"failure-domain"`
	// Address is its IP address and port.
	Address string `json:"address"`
}

// A Configuration is everything that is in force at one revision. It is not
// modified once published.
type Configuration struct {
	// Revision is at least 1 when the configuration is in force.
	Revision Revision `json:"revision"`
	// Adapters by name.
	Adapters map[fleet.AdapterName]Adapter `json:"adapters"`
	// Applications by name.
	Applications map[ApplicationName]Application `json:"applications"`
	// Kinds by name.
	Kinds map[KindName]Kind `json:"kinds"`
	// Engines by name.
	Engines map[fleet.EngineName]fleet.Engine `json:"engines"`
	// Services by name.
	Services map[ServiceName]Service `json:"services"`
	// Draining names the backend servers that receive no new work.
	Draining map[string]bool `json:"draining"`
}
