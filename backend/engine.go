package backend

import (
	"context"
	"strings"
)

// An Adapter names an adapter of a model.
type Adapter struct {
	Model, Name string
}

// ParseAdapter parses the form MODEL/NAME. Without a slash the name is empty, which means the model
// itself.
func ParseAdapter(text string) Adapter {
	model, name, _ := strings.Cut(text, "/")
	return Adapter{Model: model, Name: name}
}

// A Report is an engine's report of its state. It may be some hundred milliseconds old.
type Report struct {
	// ServerID identifies the server instance that sent the report, as Server.ID does; empty if not
	// reported.
	ServerID  string
	Residents []Resident
	// LoadingAdapters lists the adapters that are being loaded.
	LoadingAdapters []Adapter
	// OrderInProgress is set while an order is being carried out.
	OrderInProgress bool
	// Sequence is the number of orders that the engine has accepted.
	Sequence int
	// CachedInMemory and CachedOnDisk name the models whose weights the server's machine has
	// cached.
	CachedInMemory, CachedOnDisk []string
}

// An Order commands an engine to load or unload a model or, if Adapter is set, one of the model's
// adapters.
type Order struct {
	Unload         bool
	Model, Adapter string
	// Sequence is the number of orders that the engine is expected to have accepted.
	Sequence int
	// Fence is the fencing token of the leader that issues the order.
	Fence int64
}

// An OrderOutcome is the outcome of sending an order to an engine.
type OrderOutcome int

// The outcomes of an order.
const (
	// OrderUnanswered means that no response arrived: the order may still be carried out.
	OrderUnanswered OrderOutcome = iota
	// OrderAccepted means that the order is being carried out.
	OrderAccepted
	// OrderAlreadyDone means that the engine is already in the ordered state.
	OrderAlreadyDone
	// OrderConflict means that another order is in progress or the sequence does not match.
	OrderConflict
	// OrderFenced means that the engine has seen a higher fencing token.
	OrderFenced
	// OrderWrongServer means that another server now has the address.
	OrderWrongServer
	// OrderRejected means that the engine does not accept such an order.
	OrderRejected
	// OrderNotSent means that the order was not sent, since this process may not lead any more.
	OrderNotSent
)

// String returns the name of the outcome in logs.
func (o OrderOutcome) String() string {
	names := map[OrderOutcome]string{
		OrderUnanswered: "unknown", OrderAccepted: "taken", OrderAlreadyDone: "done", OrderConflict: "conflict",
		OrderFenced: "fenced", OrderWrongServer: "gone", OrderRejected: "rejected",
		OrderNotSent: "not sent",
	}
	return names[o]
}

// An EngineClient calls engines.
type EngineClient interface {
	// Report reads an engine's report.
	Report(ctx context.Context, s *Server) (Report, error)
	// Order sends an order once. The error is non-nil for OrderUnanswered and OrderRejected
	// only.
	Order(ctx context.Context, s *Server, o Order) (OrderOutcome, error)
}
