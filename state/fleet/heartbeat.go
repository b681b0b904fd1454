package fleet

import "time"

// An EngineSummary is what the owner of an engine tells the other hosts of it.
type EngineSummary struct {
	// Engine is the engine.
	Engine EngineName `json:"engine"`
	// Owner is the host that holds the lease of the engine.
	Owner HostName `json:"owner"`
	// Epoch is the epoch of the lease. Of two summaries the one with the higher
	// epoch is right; within an epoch the one with the higher Version.
	Epoch Epoch `json:"epoch"`
	// Version grows with each change of Instances within an epoch.
	Version uint64 `json:"version"`
	// Start is the start number of the engine.
	Start StartNumber `json:"start"`
	// Instances are the instances that may be granted.
	Instances []Instance `json:"instances"`
	// Running and Waiting are the engine's load as last reported.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// LoadVersion grows with each change of the load within an epoch. The owner's
	// membership monitor sets it.
	LoadVersion uint64 `json:"report"`
	// InstancesOmitted says that Instances is left out because it did not change.
	InstancesOmitted bool `json:"partial"`
	// ReceivedAt is when this host got the summary, on its own clock.
	ReceivedAt time.Time `json:"-"`
}

// A LeavingMember names an entry host or a backend server that leaves. It is never
// unlearned for the same Start.
type LeavingMember struct {
	Name  string      `json:"name"`
	Start StartNumber `json:"start"`
}

// A Heartbeat is the state of one entry host as it tells its peers.
type Heartbeat struct {
	// Host is the sender.
	Host Host `json:"host"`
	// Revision is the configuration in force at the sender; 0 means none.
	Revision uint64 `json:"revision"`
	// Engines are the engines that the sender owns.
	Engines []EngineSummary `json:"engines"`
	// Leaving lists what the sender knows to be leaving.
	Leaving []LeavingMember `json:"leaving"`
	// KnownHosts lists other hosts that the sender knows.
	KnownHosts []KnownHost `json:"known"`
	// Sequence numbers the sender's state up to which this and earlier
	// heartbeats tell it to the receiver.
	Sequence uint64 `json:"sequence"`
	// Acknowledged is the sequence of the receiver, in its process
	// AcknowledgedStart, up to which the sender has its state. Both are 0 when
	// the sender has nothing.
	Acknowledged      uint64      `json:"acknowledged"`
	AcknowledgedStart StartNumber `json:"acknowledged-start"`
	// AssumedStart is the process of the receiver whose acknowledgement the
	// sender relied on when it left out what was told before. It is 0 when
	// nothing was left out.
	AssumedStart StartNumber `json:"assumed-start"`
}

// A KnownHost is a host as another host sees it.
type KnownHost struct {
	Host Host `json:"host"`
	// Revision is the configuration in force at Host; 0 means none.
	Revision uint64 `json:"revision"`
}

// A HandOver passes an engine from its owner to the next one.
type HandOver struct {
	// Engine is the engine.
	Engine EngineName `json:"engine"`
	// Epoch is the epoch under which the next owner holds the lease.
	Epoch Epoch `json:"epoch"`
	// Start is the start number of the engine that Instances belong to.
	Start StartNumber `json:"start"`
	// Instances are resident; no order for them is in flight.
	Instances []Instance `json:"instances"`
	// Grants are the grants in force, with their remaining durations.
	Grants []Grant `json:"grants"`
	// From is the owner that hands over.
	From HostName `json:"from"`
}
