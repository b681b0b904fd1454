package fleet

import "time"

// A Grant pins an instance on an engine for one request.
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
	// Epoch is the epoch of the owner that granted it.
	Epoch Epoch `json:"epoch"`
	// Request is the request that the grant is for.
	Request RequestID `json:"request"`
	// Holder is the entry host that runs the request.
	Holder HostName `json:"holder"`
	// Duration is the length of the grant. The holder counts it from before it
	// sent its demand, and the owner from when it gave the grant, so that the
	// holder's end is never later than the owner's.
	Duration time.Duration `json:"duration"`
	// LoadStall is the time that the request waited for its adapter.
	LoadStall time.Duration `json:"stalled"`
}
