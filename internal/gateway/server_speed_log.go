package gateway

import "go.uber.org/zap"

// States of a server's speed, as used in log lines and metrics.
const (
	speedSlow   = "slow"
	speedFast   = "fast"
	speedMedian = "median"
)

// speedState returns the state of a server with a published factor.
func speedState(factor float64) string {
	switch {
	case factor > 1:
		return speedSlow
	case factor < 1:
		return speedFast
	}
	return speedMedian
}

// serverSpeedChanged counts and logs that the published factor of a server has become 1 or other than 1. The lines are
// rate-limited.
func (l *requestLog) serverSpeedChanged(server, service string, factor float64) {
	state := speedState(factor)
	l.metrics.ServerSpeedChanged(state)
	if suppressed, ok := l.serverSpeed.allow(l.clock.Now()); ok {
		l.log.Info(msgServerSpeed, zap.String(fieldServer, server), zap.String(fieldService, service),
			zap.String(fieldState, state), zap.Float64(fieldFactor, factor), suppressed)
	}
}
