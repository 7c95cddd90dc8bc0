// Package quota keeps limits that several gateways keep together: those of organisations, and those that backend
// servers name for themselves, each by its own Limiter. What follows calls whoever has a limit an organisation.
//
// An organisation's limit is a rate and a burst, in requests or in tokens, over all gateways. One gateway,
// the organisation's owner by rendezvous hashing over the list of gateways that the leader sends, has the
// limit's bucket and grants from it (granter). A gateway asks the owner for what a request needs, and where
// more requests are expected for a little more (account). So the limit holds wherever requests arrive, and
// an organisation inside its limit is served however its requests fall on gateways.
//
// The bound rests on parts: each of n gateways stands for one n-th of the rate and lends it to the owner that
// it asks (fleet). While the owner hears of the leader it has the parts of all on the leader's list; those of
// gateways that lately went off the list are left to them. When it has not heard of the leader for OwnerTime,
// which is less than what the leader takes to put another in its place, it has the parts of those that have
// asked it lately, up to AloneTime. A gateway that reaches no owner spends its own part, as long. So two
// owners that do not know of each other grant the rate together. Whoever begins to grant begins with nothing,
// and what is granted counts as spent then and ends by itself after StockTime.
//
// A Limiter owns buckets, stocks and parts, all lost with its process. It relies on package clock, on being
// given the leader's list and when a leader was heard, and asks other gateways through an Asker. Outcomes are
// values. Amounts are in the limit's unit, times are time.Duration.
package quota
