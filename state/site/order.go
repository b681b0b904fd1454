package site

// An Order loads or unloads an adapter or a base model on an engine.
type Order struct {
	// Unload tells the two kinds apart.
	Unload bool
	// Adapter names the adapter; its Name is empty for the base model.
	Adapter Adapter
	// Version is the adapter version to load; 0 means the newest.
	Version int
	// ExpectedOrderCount is the number of orders that the engine has accepted since its
	// start. The engine refuses an order that expects another number.
	ExpectedOrderCount int
	// Holder and Epoch are the host that gives the order and the epoch of its lease.
	Holder string
	Epoch  uint64
}

// An OrderOutcome is an engine's answer to an order.
type OrderOutcome string

// The outcomes of an order.
const (
	// OrderAccepted means that the order is being carried out.
	OrderAccepted OrderOutcome = "accepted"
	// OrderAlreadySatisfied means that what the order asks for is already so.
	OrderAlreadySatisfied OrderOutcome = "holds"
	// OrderConflict means that another order is in progress, or that the number
	// of accepted orders is not the expected one.
	OrderConflict OrderOutcome = "conflict"
	// OrderFenced means that the engine has seen a higher epoch.
	OrderFenced OrderOutcome = "fenced"
	// OrderMisdirected means that another server has the address.
	OrderMisdirected OrderOutcome = "misdirected"
	// OrderRefused means that the engine does not carry the order out.
	OrderRefused OrderOutcome = "refused"
	// OrderUnknown means that no answer came: the order may be carried out, also
	// seconds later.
	OrderUnknown OrderOutcome = "unknown"
)

// An EngineReport is the state of an engine some hundred milliseconds ago.
type EngineReport struct {
	// AcceptedOrderCount is the number of orders accepted since the engine's start.
	AcceptedOrderCount int
	// ChangingBaseModel says that a base model is being loaded or unloaded.
	ChangingBaseModel bool
	LoadedModels      []LoadedModel
	// LoadingAdapters are the adapters that are being loaded, with their versions.
	LoadingAdapters map[Adapter]int
}
