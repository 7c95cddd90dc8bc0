// Package residency plans which models and adapters are loaded on which engines, for deployments in which one leader
// issues all orders to engines.
//
// Plan and PlanAdapters compute the next moves from the models and adapters that each engine holds and from their
// demand. They keep no state between calls. Every model keeps at least one replica, with two exceptions: models that
// can be loaded within the latency objective of their requests, and models whose weights are cached on the engine's
// machine while their demand is not expected to rise. The remaining memory is divided among the models in proportion
// to a power of their demand. Forecast raises the demand of the models that are expected to be requested next, to the
// extent that demand has been observed to move along the operators' list of models (SequenceEstimator). A plan never
// exceeds an engine's memory, never evicts the last replica of a model that needs one, and has at most one move for
// each engine. While engines run several software versions, the last replica at a version stays as long as streams need it
// there, unless a model has no replica at all.
//
// The only state that the package owns is what a SequenceEstimator has observed. The caller (package placer) supplies
// demand, the state of the engines and the number of loads that the weight store accepts, and issues the orders. Where
// every backend server has an agent, package placement plans instead.
//
// Memory is in MB, demand in prompt tokens per second, and the cost of a move in seconds of loading.
package residency
