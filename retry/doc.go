// Package retry limits the retries that a process sends, so that retries stay a bounded part of the
// traffic during an outage.
//
// A Budget is a token bucket that each first attempt refills by a fraction of a token and each
// retry takes one token from (Dean and Barroso, "The Tail at Scale", CACM 2013); package entry uses
// it. A Window limits the retries within a sliding time window to a ratio of the first attempts
// plus a fixed number that several processes share; package gateway uses it.
//
// Both types keep their counts in memory, and the counts are lost when the process exits. They
// decide only whether a retry may be sent. Ratios are retries per first attempt.
package retry
