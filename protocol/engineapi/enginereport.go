package engineapi

// An EngineReport is the answer of PathReport. Running and Waiting lag.
type EngineReport struct {
	// Start changes when the engine restarts.
	Start uint64 `json:"start"`
	// Instances are the names of the loaded instances; they do not lag.
	Instances []string `json:"instances"`
	// Running is the number of requests in the batch.
	Running int `json:"running"`
	// Waiting is the number of requests queued for the batch.
	Waiting int `json:"waiting"`
}
