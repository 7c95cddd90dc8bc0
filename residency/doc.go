// Package residency decides which engine holds which models and adapters on the users'
// platform, where one leader issues all orders to engines.
//
// Plan and PlanAdapters are pure functions from what engines hold and what is asked for to
// the next moves. Every model keeps one replica, but for those that can be loaded within
// the objective of their requests, and those whose weights an engine's machine has cached
// while their demand is not expected to rise. The rest of the memory is divided among
// models by a power of their demand, with a part for the models whose demand should rise
// next (Forecast), as far as demand has shown in which order it moves (Succession). No plan
// overfills an engine, leaves a model without a way back or orders twice from one engine.
//
// The package owns no state but what a Succession has learned; demand, the engines' views
// and the number of loads that the weight store allows come from the caller (package
// placer), which issues the orders and knows how old its view is. Off the platform package
// placement decides instead: there every backend server has an agent, cells are planned
// apart, and rows have weights.
//
// Memory is in MB, demand in prompt tokens a second, costs of moves in seconds of loading.
package residency
