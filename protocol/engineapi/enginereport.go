package engineapi

// An EngineReport is the response to a PathReport request. Running and Waiting lag
// behind the state of the engine; Instances does not.
type EngineReport struct {
	// Start is the start number of the engine, which changes when it restarts.
	Start uint64 `json:"start"`
	// Instances are the names of the loaded instances.
	Instances []string `json:"instances"`
	// Running is the number of requests in the batch.
	Running int `json:"running"`
	// Waiting is the number of requests queued for the batch.
	Waiting int `json:"waiting"`
}
