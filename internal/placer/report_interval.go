package placer

import "time"

// Pace of gateways' reports to the leader.
const (
	// reportEvery is the time between two reports of a gateway.
	reportEvery = 80 * time.Millisecond
	// gatewaysAtFullPace is the number of gateways from which on each reports less often,
	// so that the leader's load stays bounded.
	gatewaysAtFullPace = 12
	// maxReportInterval is the longest time between two reports of a gateway.
	maxReportInterval = time.Second
	// gatewayTimeout is how long a gateway without a report counts at least.
	gatewayTimeout = 2 * time.Second
	// gatewayTimeoutReports is how many reports in a row may be missing.
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
