package site

import "time"

// An InFlight tells the owner of an engine which requests of a host run there.
type InFlight struct {
	Server ServerID
	// Adapters has the number of requests for each adapter; it is empty when the
	// last one has ended.
	Adapters map[Adapter]int
}

// A FollowRequest asks another host for news.
type FollowRequest struct {
	// Host asks.
	Host string
	// Positions say how far the asking host knows each table. Without any, it
	// wants no changes.
	Positions map[Table]Position
	// KnownSequence is the sequence up to which the asking host knows the residencies of
	// the answering one.
	KnownSequence uint64
	// OmitResidencies says that the asking host wants no residencies.
	OmitResidencies bool
	// InFlight has the requests on engines that the answering host owns.
	InFlight []InFlight
}

// A Residency is what the owner of an engine knows to be loaded there.
type Residency struct {
	Server Incarnation
	// Epoch is that of the owner's lease, and Sequence grows with each change of
	// any engine of one owner.
	Epoch, Sequence uint64
	// Adapters has the versions of the loaded adapters; a base model has no Name.
	Adapters map[Adapter]int
}

// A FollowReply is the answer to a FollowRequest.
type FollowReply struct {
	Changes []Changes
	// StoreAge is the time since the answering host last heard from the store.
	StoreAge time.Duration
	// Leaving says that the answering host stops and gives its leases up.
	Leaving bool
	// OrderingZones has the zones in which the answering host gives orders now.
	OrderingZones []string
	// RunningRequests has the requests on each engine that the answering host owns.
	RunningRequests map[ServerID]int
	// Residencies are those that changed since the asking host's sequence, up to
	// Sequence.
	Residencies []Residency
	Sequence    uint64
}

// A PlaceRequest asks the owner of an engine for a turn there: to have the
// adapter loaded and to read the prompt.
type PlaceRequest struct {
	// Host and Region are where the request came in.
	Host, Region string
	Server       Incarnation
	Adapter      Adapter
	// MinVersion is the lowest version that will do; 0 means any.
	MinVersion int
	// Priority is that of the waiting request; 0 is the most urgent.
	Priority int
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// SlackTime is how long the request can wait and still be answered in time; it may be
	// less than 0.
	SlackTime time.Duration
	// MaxWait is how long the request can wait.
	MaxWait time.Duration
	// MayQueue says that the request waits while the engine is full. Otherwise it is
	// refused, so that another engine can be tried.
	MayQueue bool
	// Prefetch says that no request waits: the adapter is to be loaded for later ones.
	Prefetch bool
	// AdapterMissing says that the engine denied having the adapter.
	AdapterMissing bool
}

// A Placement is the answer to a PlaceRequest that was met.
type Placement struct {
	// ReplicaWanted says that the adapter is worth another copy, nearer to the host that
	// asked or on an engine with less to do.
	ReplicaWanted bool
}
