// Package configuration has the plain structs of the configuration that
// operators change: adapters, applications, kinds of request and backend servers.
package configuration

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A Revision is the number of a configuration. Each change raises it by 1; 0 means
// that there is no configuration.
type Revision uint64

// An OperationID identifies one change of an operator. The operator's client chooses
// it, so that a change that is sent twice is made once.
type OperationID string

// An ApplicationName names an application, a program that sends requests for callers.
type ApplicationName string

// A KindName names a kind of request.
type KindName string

// A ServiceName names a group of plain backend servers.
type ServiceName string

// An Urgency says which of several waiting requests goes first.
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
	// RepeatAllowed requests may run more than once.
	RepeatAllowed RepeatRule = "allowed"
	// RepeatForbidden requests run at most once. A host claims such a request in
	// the platform's table before it runs it.
	RepeatForbidden RepeatRule = "forbidden"
)

// An Adapter is a LoRA adapter with its versions.
type Adapter struct {
	// Name is the key of the adapter in Configuration.Adapters.
	Name fleet.AdapterName `json:"name"`
	// Versions are the versions that a request may name, in rising order; at
	// least one.
	Versions []fleet.AdapterVersion `json:"versions"`
	// Current is the version for requests that name none; it is in Versions.
	Current fleet.AdapterVersion `json:"current"`
}

// A Kind is a kind of request with its rules.
type Kind struct {
	// Name is the key of the kind in Configuration.Kinds.
	Name KindName `json:"name"`
	// Urgency says whether requests of this kind go before waiting requests of
	// other kinds.
	Urgency Urgency `json:"urgency"`
	// Repeat says whether a request of this kind may run more than once.
	Repeat RepeatRule `json:"repeat"`
	// Timeout is the longest time from the arrival of a request to its deadline;
	// it is more than zero.
	Timeout time.Duration `json:"deadline"`
	// Objective is the share of requests that should be answered by their
	// deadline, from 0 to 1.
	Objective float64 `json:"objective"`
}

// An Application is a program that sends requests, with its rights and limits.
type Application struct {
	// Name is the key of the application in Configuration.Applications.
	Name ApplicationName `json:"name"`
	// TokenHash is the SHA-256 of the application's bearer token, in 64 lower-case
	// hexadecimal digits. No two applications have the same.
	TokenHash string `json:"token-hash"`
	// Kinds are the kinds of request that the application may send; at least one.
	// The first one applies to requests that name no kind.
	Kinds []KindName `json:"kinds"`
	// MaxConcurrency is the largest number of the application's requests in
	// flight at one entry host; zero means no limit.
	MaxConcurrency int `json:"concurrency"`
}

// A Service is a group of plain backend servers.
type Service struct {
	// Name is the key of the service in Configuration.Services. It follows
	// /services/ in the path of a request.
	Name ServiceName `json:"name"`
	// Servers are the backend servers of the group; at least one.
	Servers []Server `json:"servers"`
	// NotRunStatuses lists the HTTP statuses, from 400 to 599, with which a server
	// proves that it did not run the request.
	NotRunStatuses []int `json:"refusal-proves"`
}

// A Server is one plain backend server.
type Server struct {
	// Name is unique among the engines and servers of the deployment.
	Name string `json:"name"`
	// FailureDomain is the failure domain that the server is in.
	FailureDomain fleet.FailureDomainName `json:"failure-domain"`
	// Address is the IP address and port of the server's HTTP interface.
	Address string `json:"address"`
}

// A Configuration is everything that applies at one revision. It is not
// modified once published.
type Configuration struct {
	// Revision is the revision of the configuration; at least 1 when it is applied.
	Revision Revision `json:"revision"`
	// Adapters has the LoRA adapters by name.
	Adapters map[fleet.AdapterName]Adapter `json:"adapters"`
	// Applications has the applications by name.
	Applications map[ApplicationName]Application `json:"applications"`
	// Kinds has the kinds of request by name.
	Kinds map[KindName]Kind `json:"kinds"`
	// Engines has the model engines by name.
	Engines map[fleet.EngineName]fleet.Engine `json:"engines"`
	// Services has the groups of plain backend servers by name.
	Services map[ServiceName]Service `json:"services"`
	// Draining has the value true for each engine and plain backend server that
	// receives no new work, by name. A server that no longer drains may stay in
	// the map with the value false.
	Draining map[string]bool `json:"draining"`
}
