package backend

import "context"

// An Adapter names an adapter of a model.
type Adapter struct {
	Model, Name string
}

// A Report is what an engine tells of itself; it may be some hundred milliseconds old.
type Report struct {
	Residents []Resident
	// Coming lists the adapters on their way.
	LoadingAdapters []Adapter
	// Busy tells that an order is being carried out.
	OrderInProgress bool
	// Sequence is the number of orders that the engine has taken.
	Sequence int
	// InMemory and OnDisk name the models whose weights are at hand.
	CachedInMemory, CachedOnDisk []string
}

// An Order tells an engine to load or unload a model or, with Adapter, one of
// its adapters.
type Order struct {
	Unload         bool
	Model, Adapter string
	// Sequence is the number of orders that the engine is expected to have taken.
	Sequence int
	// Fence is the fencing token of the giver.
	Fence int64
}

// An Outcome is an engine's answer to an order.
type OrderOutcome int

// The outcomes of an order.
const (
	// OutcomeUnknown tells that no answer came: the order may be carried out later.
	OrderUnanswered OrderOutcome = iota
	// OutcomeTaken tells that the order is being carried out.
	OrderAccepted
	// OutcomeDone tells that nothing was left to do.
	OrderAlreadyDone
	// OutcomeConflict tells that another order is under way or the sequence differs.
	OrderConflict
	// OutcomeFenced tells that another holder has a higher fencing token.
	OrderFenced
	// OutcomeGone tells that another server has the address.
	OrderWrongServer
	// OutcomeRejected tells that the engine does not take such an order.
	OrderRejected
)

// String returns the outcome's name for logs.
func (o OrderOutcome) String() string {
	names := map[OrderOutcome]string{
		OrderUnanswered: "unknown", OrderAccepted: "taken", OrderAlreadyDone: "done", OrderConflict: "conflict",
		OrderFenced: "fenced", OrderWrongServer: "gone", OrderRejected: "rejected",
	}
	return names[o]
}

// Engines gives orders to engines and reads their reports.
type EngineClient interface {
	// Report reads what an engine tells of itself.
	Report(ctx context.Context, s *Server) (Report, error)
	// Order gives one order.
	Order(ctx context.Context, s *Server, o Order) (OrderOutcome, error)
}
