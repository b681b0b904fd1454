package fleet

// A FencingMode says what an engine does with an order whose fencing number is
// lower than one that it has seen.
type FencingMode string

// The fencing modes.
const (
	// FencingEnforced engines refuse an order with a lower fencing number.
	FencingEnforced FencingMode = "enforced"
	// FencingIgnored engines ignore the fencing number and carry out every order.
	FencingIgnored FencingMode = "ignored"
)

// An Engine is the configuration of a model engine. Operators set it.
type Engine struct {
	// Name is the key of the engine in the configuration; it is never empty.
	Name EngineName `json:"name"`
	// Pool is the name of the backend server group, such as sprachmodelle. It is
	// shown to operators only and may be empty.
	Pool string `json:"pool"`
	// FailureDomain is the failure domain that the engine is in.
	FailureDomain FailureDomainName `json:"failure-domain"`
	// Address is the IP address and port of the engine's HTTP interface.
	Address string `json:"address"`
	// AdapterSlots is the largest number of adapters that the engine holds at
	// once; at least 1.
	AdapterSlots int `json:"slots"`
	// BatchSize is the largest number of requests that the engine runs at the
	// same time; at least 1.
	BatchSize int `json:"batch-size"`
	// Fencing says what the engine does with an order of an earlier lease holder.
	Fencing FencingMode `json:"fencing"`
}

// An EngineReport is the state of an engine as the engine reports it. Running and
// Waiting lag behind the engine's true load.
type EngineReport struct {
	// Start grows when the engine restarts; all instances are then gone.
	Start StartNumber `json:"start"`
	// Instances are the names of the loaded instances, in the form that
	// ParseInstance parses.
	Instances []string `json:"instances"`
	// Running is the number of requests in the batch.
	Running int `json:"running"`
	// Waiting is the number of requests in the engine's own queue.
	Waiting int `json:"waiting"`
}
