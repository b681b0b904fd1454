package fleet

// A FencingMode says what an engine does with an order that carries an old
// fencing number.
type FencingMode string

// The fencing modes.
const (
	// FencingEnforced engines refuse an order with an old fencing number.
	FencingEnforced FencingMode = "enforced"
	// FencingIgnored engines carry out every order.
	FencingIgnored FencingMode = "ignored"
)

// An Engine is a model engine.
type Engine struct {
	// Name is never empty.
	Name EngineName `json:"name"`
	// Pool is the name of the backend server group, such as sprachmodelle.
	Pool string `json:"pool"`
	// FailureDomain is the failure domain that the engine stands in.
	FailureDomain FailureDomainName `json:"failure-domain"`
	// Address is the IP address and port of its HTTP interface.
	Address string `json:"address"`
	// AdapterSlots is the number of adapters that the engine holds; at least 1.
	AdapterSlots int `json:"slots"`
	// BatchSize is the number of requests that run at the same time; at least 1.
	BatchSize int `json:"batch-size"`
	// Fencing says what the engine does with old fencing numbers.
	Fencing FencingMode `json:"fencing"`
}

// An EngineReport is what an engine says of itself. Load figures lag.
type EngineReport struct {
	// Start changes when the engine restarts; all instances are then gone.
	Start StartNumber `json:"start"`
	// Instances are the loaded instances by their name on the engine.
	Instances []string `json:"instances"`
	// Running is the number of requests in the batch.
	Running int `json:"running"`
	// Waiting is the number of requests queued in the engine.
	Waiting int `json:"waiting"`
}
