package fleet

import "time"

// An EngineSummary is the state of an engine that its owner sends to the other
// hosts. Hosts relay the summaries of other owners.
type EngineSummary struct {
	// Engine is the engine that the summary describes.
	Engine EngineName `json:"engine"`
	// Owner is the host that holds the lease of the engine.
	Owner HostName `json:"owner"`
	// Epoch is the epoch of the lease. Of two summaries of an engine, the one with
	// the higher Epoch replaces the other; if the epochs are equal, the one with
	// the higher Version does, and then the one with the higher LoadVersion.
	Epoch Epoch `json:"epoch"`
	// Version grows with each change of Instances or Start within an epoch.
	Version uint64 `json:"version"`
	// Start is the start number of the engine process that holds Instances.
	Start StartNumber `json:"start"`
	// Instances are the loaded instances that the owner issues grants for.
	Instances []Instance `json:"instances"`
	// Running and Waiting are the numbers of running and queued requests that the
	// engine reported last.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// LoadVersion grows with each change of the load within an epoch. The owner's
	// membership monitor sets it.
	LoadVersion uint64 `json:"report"`
	// InstancesOmitted says that Instances is left out because it has not changed
	// since the receiver got it. The receiver ignores the summary if it does not
	// know the instances of the same Epoch, Version and Start.
	InstancesOmitted bool `json:"partial"`
	// ReceivedAt is when this host received the summary, on its own clock. It is
	// not sent.
	ReceivedAt time.Time `json:"-"`
}

// A LeavingMember names a process of an entry host or a backend server that is
// leaving. A process that is leaving never becomes live again.
type LeavingMember struct {
	// Name is the name of the entry host, engine or server.
	Name string `json:"name"`
	// Start identifies the process.
	Start StartNumber `json:"start"`
}

// A Heartbeat is the message that an entry host sends to its peers. It has the
// changes of the sender's state that the receiver has not acknowledged yet.
type Heartbeat struct {
	// Host is the sender.
	Host Host `json:"host"`
	// Revision is the revision of the configuration applied at the sender; 0
	// means none.
	Revision uint64 `json:"revision"`
	// Engines are engines that the sender owns, and engines of other owners that
	// the sender relays.
	Engines []EngineSummary `json:"engines"`
	// Leaving lists the processes that the sender knows to be leaving.
	Leaving []LeavingMember `json:"leaving"`
	// KnownHosts lists other hosts that the sender knows.
	KnownHosts []KnownHost `json:"known"`
	// Sequence is the number of the sender's last change that the receiver has
	// once it has received this heartbeat.
	Sequence uint64 `json:"sequence"`
	// Acknowledged is the highest Sequence that the sender has received from the
	// receiver's process AcknowledgedStart; 0 if the sender has received nothing
	// from that process. AcknowledgedStart is 0 if the sender does not know the
	// receiver.
	Acknowledged      uint64      `json:"acknowledged"`
	AcknowledgedStart StartNumber `json:"acknowledged-start"`
	// AssumedStart is the process of the receiver whose acknowledgment was the
	// reason to leave out earlier changes. A receiver with another start does not
	// count Sequence as received. It is 0 if no changes are left out.
	AssumedStart StartNumber `json:"assumed-start"`
}

// A KnownHost is a host as the sender of a heartbeat sees it. The receiver uses it
// to learn of hosts that it does not hear from directly.
type KnownHost struct {
	// Host is the host that the sender knows. Its State is HostLive if the sender confirms to the
	// receiver that the host is running, and HostUnreachable otherwise. A sender
	// confirms only what it knows at first hand, so that two hosts do not keep an
	// unreachable one live by relaying each other's reports.
	Host Host `json:"host"`
	// Revision is the revision of the configuration applied at Host; 0 means
	// that there is none, or that the State of Host is HostUnreachable.
	Revision uint64 `json:"revision"`
}

// A HandOver is the message by which the owner of an engine passes it to the next
// owner, so that loaded instances and running requests are kept.
type HandOver struct {
	// Engine is the engine that is handed over.
	Engine EngineName `json:"engine"`
	// Epoch is the epoch under which the next owner holds the lease.
	Epoch Epoch `json:"epoch"`
	// Start is the start number of the engine that Instances belong to.
	Start StartNumber `json:"start"`
	// Instances are loaded on the engine; no order for them is in flight.
	Instances []Instance `json:"instances"`
	// Grants are the grants that were not released, with their remaining
	// durations. A grant that has ended has a duration of one millisecond, so
	// that the next owner cancels its request, which may still run.
	Grants []Grant `json:"grants"`
	// From is the host that owned the engine before.
	From HostName `json:"from"`
}
