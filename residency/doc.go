// Package residency decides which engine holds which models and adapters on the users'
// platform, where one leader issues all orders to engines.
//
// Plan and PlanAdapters are pure functions from what engines hold and what is asked for to
// the next moves. Every model keeps one replica; the rest of the memory is divided among
// models by their demand (ReplicaTargets), with a part for the models whose demand should
// rise next (Forecast). No plan overfills an engine, evicts a last replica or orders twice
// from one engine.
//
// The package owns no state; demand, the engines' views and the number of loads that the
// weight store allows come from the caller (package placer), which issues the orders and
// knows how old its view is. Off the platform package placement decides instead: there
// every backend server has an agent, cells are planned apart, and rows have weights.
//
// Memory is in MB, demand in prompt tokens a second, costs of moves in seconds of loading.
package residency
