// Package quota enforces rate limits that apply to all gateways together: the limits of organisations, and
// those that backend servers set for themselves. Each kind has a Limiter of its own. The comments of this
// package call the holder of a limit an organisation in both cases.
//
// A limit is a rate and a burst, in requests or tokens. One gateway is the organisation's owner, chosen by
// rendezvous hashing over the leader's list of gateways. The owner has the limit's token bucket and makes
// grants from it (granter). Any other gateway requests a grant from the owner when a request needs one, and
// prefetches a small amount if it expects more requests (account). An organisation within its limit is served
// whichever gateways its requests arrive at.
//
// The limit is also enforced when gateways lose contact with each other. Each of n gateways has a share of
// 1/n of the rate, and delegates it to the owner from which it requests grants (gatewaySet). The shares of
// gateways recently removed from the list are left to these gateways. An owner in contact with the leader
// grants the shares of all listed gateways. Once OwnershipTTL and a grace period within the Tolerance have
// passed since the last contact, the owner grants only the shares of gateways that recently requested a grant
// from it. LeaderlessTTL after OwnershipTTL it grants none. OwnershipTTL is shorter than the time after which
// the leader lets another gateway become the owner. A gateway that cannot reach the owner spends its own
// share, up to the same time. Two owners that do not know of each other therefore grant no more than the rate
// together, within the Tolerance. A new owner starts with an empty bucket. A grant counts as spent when it is
// made, and expires after GrantTTL.
//
// The charge of a request that has not run can be refunded however late, without exceeding the limit in any period: the
// bucket that made the grant takes it back as if it had never been made. What would have overflowed since then is lost
// (headroomHistory), and so is what was granted by a bucket that no longer exists. Refunds reach the owner with the next
// request for a grant, or after returnDelay.
//
// A Limiter keeps its buckets, prefetched grants and shares in memory and loses them when the process ends.
// It relies on package clock, on the caller to pass on the leader's list of gateways and the time of each
// reply from the leader, and on a GrantClient to reach other gateways. Failures are reported as outcomes, not
// as errors. Amounts are in the limit's unit, rates in that unit per second, times are of type time.Duration.
package quota
