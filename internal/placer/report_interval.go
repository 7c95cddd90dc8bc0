package placer

import "time"

// Intervals of the gateways' reports to the leader.
const (
	// reportEvery is the interval between two reports of a gateway in a small system.
	reportEvery = 80 * time.Millisecond
	// gatewaysAtFullPace is the number of gateways up to which the interval is shortest. Above it the
	// interval grows with their number, to bound the leader's load.
	gatewaysAtFullPace = 12
	// maxReportInterval is the maximum interval between two reports of a gateway.
	maxReportInterval = time.Second
	// gatewayTimeout is the minimum time without a report after which a gateway is removed.
	gatewayTimeout = 2 * time.Second
	// gatewayTimeoutReports is the minimum number of missed reports after which a gateway is removed.
	gatewayTimeoutReports = 4
)

// ReportInterval returns the interval between two reports of a gateway, by the number of gateways.
func ReportInterval(gateways int) time.Duration {
	return min(reportEvery*time.Duration(max(1, gateways/gatewaysAtFullPace)), maxReportInterval)
}

// gatewayTimeoutFor returns the time without a report after which a gateway is removed, by the number of
// gateways.
func gatewayTimeoutFor(gateways int) time.Duration {
	return max(gatewayTimeout, gatewayTimeoutReports*ReportInterval(gateways))
}
