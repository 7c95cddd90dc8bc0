package placer

import "time"

// Intervals of the gateways' reports to the leader.
const (
	// minReportInterval is the interval between two reports of a gateway in a small system.
	minReportInterval = 80 * time.Millisecond
	// gatewaysAtFullRate is the number of gateways up to which the interval is shortest. Above it the
	// interval grows with their number, to bound the leader's load.
	gatewaysAtFullRate = 12
	// maxReportInterval is the maximum interval between two reports of a gateway.
	maxReportInterval = time.Second
	// minGatewayTimeout is the minimum time without a report after which a gateway is removed.
	minGatewayTimeout = 2 * time.Second
	// gatewayTimeoutReports is the minimum number of missed reports after which a gateway is removed.
	gatewayTimeoutReports = 4
)

// ReportInterval returns the interval between two reports of a gateway, by the number of gateways.
func ReportInterval(gateways int) time.Duration {
	return min(minReportInterval*time.Duration(max(1, gateways/gatewaysAtFullRate)), maxReportInterval)
}

// gatewayTimeoutFor returns the time without a report after which a gateway is removed, by the number of
// gateways.
func gatewayTimeoutFor(gateways int) time.Duration {
	return max(minGatewayTimeout, gatewayTimeoutReports*ReportInterval(gateways))
}
