package backend

import (
	"context"
	"strings"
)

// An Adapter names an adapter of a model.
type Adapter struct {
	Model, Name string
}

// ParseAdapter reads the form MODEL/NAME; without a slash the name is empty, which is the model
// itself.
func ParseAdapter(text string) Adapter {
	model, name, _ := strings.Cut(text, "/")
	return Adapter{Model: model, Name: name}
}

// A Report is an engine's report on itself; it may be some hundred milliseconds old.
type Report struct {
	// ServerID names the run that reports, as Server.ID does; empty if it does not say.
	ServerID  string
	Residents []Resident
	// LoadingAdapters lists the adapters that are being loaded.
	LoadingAdapters []Adapter
	// OrderInProgress says that an order is being carried out.
	OrderInProgress bool
	// Sequence is the number of orders that the engine has taken.
	Sequence int
	// CachedInMemory and CachedOnDisk name the models whose weights its machine has cached.
	CachedInMemory, CachedOnDisk []string
}

// An Order commands an engine to load or unload a model or, with Adapter, one of its
// adapters.
type Order struct {
	Unload         bool
	Model, Adapter string
	// Sequence is the number of orders that the engine is expected to have taken.
	Sequence int
	// Fence is the fencing token of the leader that issues the order.
	Fence int64
}

// An OrderOutcome is an engine's answer to an order.
type OrderOutcome int

// The outcomes of an order.
const (
	// OrderUnanswered says that no answer came: the order may be carried out later.
	OrderUnanswered OrderOutcome = iota
	// OrderAccepted says that the order is being carried out.
	OrderAccepted
	// OrderAlreadyDone says that nothing is left to do.
	OrderAlreadyDone
	// OrderConflict says that another order is under way or the sequence differs.
	OrderConflict
	// OrderFenced says that the engine has seen a higher fencing token.
	OrderFenced
	// OrderWrongServer says that another server has the address.
	OrderWrongServer
	// OrderRejected says that the engine does not take such an order.
	OrderRejected
)

// String returns the outcome's name in logs.
func (o OrderOutcome) String() string {
	names := map[OrderOutcome]string{
		OrderUnanswered: "unknown", OrderAccepted: "taken", OrderAlreadyDone: "done", OrderConflict: "conflict",
		OrderFenced: "fenced", OrderWrongServer: "gone", OrderRejected: "rejected",
	}
	return names[o]
}

// An EngineClient calls engines.
type EngineClient interface {
	// Report reads an engine's report on itself.
	Report(ctx context.Context, s *Server) (Report, error)
	// Order sends one order, once; an error goes with OrderUnanswered and OrderRejected.
	Order(ctx context.Context, s *Server, o Order) (OrderOutcome, error)
}
