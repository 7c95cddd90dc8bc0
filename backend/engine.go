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
	Coming []Adapter
	// Busy tells that an order is being carried out.
	Busy bool
	// Sequence is the number of orders that the engine has taken.
	Sequence int
	// InMemory and OnDisk name the models whose weights are at hand.
	InMemory, OnDisk []string
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
type Outcome int

// The outcomes of an order.
const (
	// OutcomeUnknown tells that no answer came: the order may be carried out later.
	OutcomeUnknown Outcome = iota
	// OutcomeTaken tells that the order is being carried out.
	OutcomeTaken
	// OutcomeDone tells that nothing was left to do.
	OutcomeDone
	// OutcomeConflict tells that another order is under way or the sequence differs.
	OutcomeConflict
	// OutcomeFenced tells that another holder has a higher fencing token.
	OutcomeFenced
	// OutcomeGone tells that another server has the address.
	OutcomeGone
	// OutcomeRejected tells that the engine does not take such an order.
	OutcomeRejected
)

// String returns the outcome's name for logs.
func (o Outcome) String() string {
	names := map[Outcome]string{
		OutcomeUnknown: "unknown", OutcomeTaken: "taken", OutcomeDone: "done", OutcomeConflict: "conflict",
		OutcomeFenced: "fenced", OutcomeGone: "gone", OutcomeRejected: "rejected",
	}
	return names[o]
}

// Engines gives orders to engines and reads their reports.
type Engines interface {
	// Report reads what an engine tells of itself.
	Report(ctx context.Context, s *Server) (Report, error)
	// Order gives one order.
	Order(ctx context.Context, s *Server, o Order) (Outcome, error)
}
