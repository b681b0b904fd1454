package site

// An Order instructs an engine to load or unload an adapter or a base model. Only the
// host that holds the lease of the engine's zone sends orders.
type Order struct {
	// Unload says that the engine unloads; otherwise it loads.
	Unload bool
	// Adapter names the adapter; its Name is empty for the base model.
	Adapter Adapter
	// Version is the version to load; 0 means the newest.
	Version int
	// ExpectedOrderCount is the number of orders that the sender believes the
	// engine has accepted since its start. The engine refuses the order if its
	// own number differs.
	ExpectedOrderCount int
	// Holder is the host that sends the order and holds the lease of the zone.
	Holder string
	// Epoch is the epoch of that lease. The engine refuses an order whose epoch is
	// lower than one that it has seen.
	Epoch uint64
}

// An OrderOutcome is the result of an order, as its sender knows it.
type OrderOutcome string

// The outcomes of an order.
const (
	// OrderAccepted means that the engine is carrying the order out.
	OrderAccepted OrderOutcome = "accepted"
	// OrderAlreadySatisfied means that the engine was already in the state that
	// the order requests.
	OrderAlreadySatisfied OrderOutcome = "holds"
	// OrderConflict means that another order is in progress, or that the number
	// of accepted orders is not the expected one.
	OrderConflict OrderOutcome = "conflict"
	// OrderFenced means that the engine has seen a higher epoch.
	OrderFenced OrderOutcome = "fenced"
	// OrderMisdirected means that another server has the address.
	OrderMisdirected OrderOutcome = "misdirected"
	// OrderRefused means that the engine does not carry the order out, or that
	// the order was not sent.
	OrderRefused OrderOutcome = "refused"
	// OrderUnknown means that the order was sent and no answer came. The engine
	// may still carry it out, even seconds later.
	OrderUnknown OrderOutcome = "unknown"
)

// An EngineReport is the state of an engine as the engine reports it. The state is
// some hundred milliseconds old.
type EngineReport struct {
	// AcceptedOrderCount is the number of orders that the engine had accepted
	// since its start.
	AcceptedOrderCount int
	// ChangingBaseModel says that a base model is being loaded or unloaded.
	ChangingBaseModel bool
	// LoadedModels are the loaded base models with their loaded adapters.
	LoadedModels []LoadedModel
	// LoadingAdapters are the adapters that are being loaded, with their versions.
	LoadingAdapters map[Adapter]int
}
