package placer

import "time"

// Pace of gateways' reports to the leader (docs/MEASUREMENTS.md, P4, P6 and G5;
// docs/design/0009, many servers).
const (
	// reportEvery is the time between two reports of a gateway. With more gateways than
	// gatewaysAtFullPace each reports less often, so that the leader's load stays
	// bounded, but at least every maxReportInterval.
	reportEvery        = 80 * time.Millisecond
	gatewaysAtFullPace = 12
	maxReportInterval  = time.Second
	// A gateway's reports no longer count after gatewayTimeout, or after
	// gatewayTimeoutReports of them did not come, whichever is later.
	gatewayTimeout        = 2 * time.Second
	gatewayTimeoutReports = 4
)

// ReportInterval returns the time between two reports of one of a number of gateways.
func ReportInterval(gateways int) time.Duration {
	return min(reportEvery*time.Duration(max(1, gateways/gatewaysAtFullPace)), maxReportInterval)
}

// gatewayTimeoutFor returns after how long without a report a gateway no longer counts.
func gatewayTimeoutFor(gateways int) time.Duration {
	return max(gatewayTimeout, gatewayTimeoutReports*ReportInterval(gateways))
}
