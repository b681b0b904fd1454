package site

import "time"

// An InFlight has the number of requests that an entry host is running on one
// engine. The entry host sends it to the owner of the engine.
type InFlight struct {
	// Server is the engine that runs the requests.
	Server ServerID
	// Adapters has the number of running requests for each adapter. It is empty
	// in the message that follows the end of the last request.
	Adapters map[Adapter]int
	// Begun are the answers that have begun since the message before.
	Begun BegunAnswers
}

// EndedRuns are requests for one adapter that have ended on an engine.
type EndedRuns struct {
	Server  ServerID
	Adapter Adapter
	// Count is the number of requests.
	Count int
}

// BegunAnswers sums up answers of one engine that have begun.
type BegunAnswers struct {
	// Count is the number of answers, and PromptTokens the length of all their prompts.
	Count, PromptTokens int
	// Delay is the sum of the times from the send of a request to the begin of its answer.
	Delay time.Duration
}

// A FollowRequest requests from a zone owner what changed since the last FollowReply:
// rows of the store, loaded adapters and the load of its engines.
type FollowRequest struct {
	// Host is the host that sends the request.
	Host string
	// Positions are the positions up to which the sender has each table. If it
	// is empty, the reply has no changes.
	Positions map[Table]Position
	// KnownSequence is the value of FollowReply.Sequence up to which the sender
	// has the residencies of the receiver; 0 if it has none.
	KnownSequence uint64
	// OmitResidencies says that the reply has no residencies.
	OmitResidencies bool
	// InFlight has the sender's requests on engines that the receiver owns.
	InFlight []InFlight
	// LeavingServers are the servers that have told the requesting host that they leave.
	LeavingServers []Incarnation
}

// A Residency says which adapters are loaded on an engine, as its owner knows.
type Residency struct {
	// Server is the engine, in the process that holds the adapters.
	Server Incarnation
	// Epoch is the epoch of the owner's lease. Sequence is the number of the
	// owner's change that this residency comes from; one counter numbers the
	// changes of all engines of an owner.
	Epoch, Sequence uint64
	// Adapters has the versions of the loaded adapters and base models; a base
	// model has an Adapter with an empty Name.
	Adapters map[Adapter]int
}

// A FollowReply is the answer of a zone owner to a FollowRequest.
type FollowReply struct {
	// Changes are the changes of each table after the position in the request. A
	// table without changes has no rows; a table that the replying host never read
	// in full is missing.
	Changes []Changes
	// Leaving says that the replying host is stopping and releases its leases.
	Leaving bool
	// OrderingZones are the zones in which the replying host may send orders now.
	OrderingZones []string
	// RunningRequests has the number of requests of all entry hosts on each
	// engine that the replying host owns.
	RunningRequests map[ServerID]int
	// Residencies are the residencies that changed after KnownSequence of the
	// request, complete up to Sequence.
	Residencies []Residency
	// LeavingServers are the servers that the replying host knows to leave.
	LeavingServers []Incarnation
	// Sequence is the value for KnownSequence in the next request.
	Sequence uint64
}

// A PlaceRequest requests that the owner of an engine loads an adapter there and
// reports when the engine has capacity to read the prompt of a request.
type PlaceRequest struct {
	// Host and Region are the entry host that received the request and its region.
	Host, Region string
	// Server is the engine on which the adapter is to be loaded.
	Server Incarnation
	// Adapter is the adapter that the request runs on. It is empty for a server of a
	// plain service, at which the request only needs a turn.
	Adapter Adapter
	// MinVersion is the lowest acceptable version of the adapter; 0 means any.
	MinVersion int
	// Priority is the priority of the request; 0 is the most urgent.
	Priority int
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// SlackTime is the time left until the latency target of the request's route.
	// It is less than 0 if the target has passed.
	SlackTime time.Duration
	// MaxWait is how long the entry host waits for the answer.
	MaxWait time.Duration
	// TimeLeft is the time after which a turn at any server is of no use to the request,
	// which may wait at several. It is 0 if the owner is not to judge by it.
	TimeLeft time.Duration
	// MayQueue says that the request waits if the engine is full. Otherwise it is
	// refused at once, so that the entry host can try another engine.
	MayQueue bool
	// Prefetch says that the adapter is loaded for later requests and that no
	// request waits for it.
	Prefetch bool
	// AdapterMissing says that the engine rejected the request because it did not
	// have the adapter, although the owner's residency lists it.
	AdapterMissing bool
	// StatedLimit is what the server has stated to the entry host.
	StatedLimit StatedLimit
}

// A StatedLimit is what a server has stated about the requests that it takes.
type StatedLimit struct {
	// Known says that there is a statement, with or without a limit.
	Known bool
	// PerSecond is the number of requests a second that the server takes from all hosts
	// together, or 0 if it takes any number.
	PerSecond float64
	// Age is the time since the statement was received.
	Age time.Duration
}

// A Placement is the answer to a PlaceRequest that the owner granted.
type Placement struct {
	// ReplicaWanted says that the adapter should be loaded on a second engine,
	// because it is often used from another region or its engine is busy.
	ReplicaWanted bool
	// Limited says that the server states a limit, so that the entry host reports in its
	// next requests what the server states.
	Limited bool
}

// A QuotaRequest asks the owner of a zone for units of organisations' quotas, and gives
// back units of requests that did not run.
type QuotaRequest struct {
	// Zone is the zone whose owner is asked.
	Zone string
	// DesiredVersion is the version of the desired state that the asking host knows.
	DesiredVersion int64
	Asks           []QuotaAsk
	Returns        []QuotaReturn
}

// A QuotaAsk asks for units for one request.
type QuotaAsk struct {
	Organisation OrganisationName
	Units        float64
	// IsRepeat says that the request has run and runs again. The units are taken even if
	// there are none.
	IsRepeat bool
}

// A QuotaReturn gives back the units of a request that did not run.
type QuotaReturn struct {
	Organisation OrganisationName
	Units        float64
	// Age is the time since the units were granted.
	Age time.Duration
}

// A QuotaReply is the answer to a QuotaRequest.
type QuotaReply struct {
	// Epoch is the epoch of the owner's lease, or 0 if the replying host does not own the
	// zone and has granted nothing.
	Epoch uint64
	// DesiredVersion is the version of the desired state that the owner has applied.
	DesiredVersion int64
	// Answers has an answer to each of the asks, in their order.
	Answers []QuotaAnswer
}

// A QuotaVerdict says what has become of a QuotaAsk.
type QuotaVerdict int

// The verdicts on asks.
const (
	// QuotaUnknown means that the owner does not know the organisation, or that its zone
	// holds no part of the quota.
	QuotaUnknown QuotaVerdict = iota
	// QuotaGranted means that the units may be used now.
	QuotaGranted
	// QuotaRefused means that the owner's part of the quota has no such room.
	QuotaRefused
)

// A QuotaAnswer is the answer to a QuotaAsk.
type QuotaAnswer struct {
	Verdict QuotaVerdict
	// Room is the number of units that the owner has left. Repeats take it below 0.
	Room float64
	// RetryAfter is the time after which the refused units are available, with those that
	// were refused before.
	RetryAfter time.Duration
}
