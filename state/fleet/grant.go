package fleet

import "time"

// A Grant is the permission of an engine's owner to run one request on an instance.
// The owner keeps the instance loaded until the grant is released or has ended.
type Grant struct {
	// Engine is the engine that holds the instance.
	Engine EngineName `json:"engine"`
	// EngineStart is the start number of the engine that the grant is for; a
	// restart of the engine voids the grant.
	EngineStart StartNumber `json:"engine-start"`
	// Address is the IP address and port of the engine.
	Address string `json:"address"`
	// Instance is the pinned instance.
	Instance Instance `json:"instance"`
	// Epoch is the epoch of the lease under which the owner issued the grant.
	Epoch Epoch `json:"epoch"`
	// RunID is the id of the run that the grant is for.
	RunID RequestID `json:"request"`
	// Holder is the entry host that runs the request.
	Holder HostName `json:"holder"`
	// Duration is the length of the grant; it is more than 0. The holder counts
	// it from before it requested the grant, and the owner from when it issued the
	// grant, so that the grant never ends later for the holder than for the owner.
	Duration time.Duration `json:"duration"`
	// LoadStall is the time that the request waited at the owner for its adapter.
	LoadStall time.Duration `json:"stalled"`
}
